"""Tests of the engine model: admission, shared compute, cache and faults."""

from baobabmux_bench import engines
from baobabmux_core import declarations, messages


def _engine(**changes):
    fields = {
        "service": "s",
        "data_centre": "d",
        "vm": "v",
        "address": "127.0.0.1:1",
        "max_requests": 2,
        "cache_tokens": 1000,
        "prefill_tokens_per_second": 1000.0,
        "decode_tokens_per_second": 10.0,
        **changes,
    }
    return engines.Engine("e", declarations.Endpoint(**fields))


def _job(name, prompt=1000, output=11, prefixes=()):
    parts = tuple(messages.PrefixPart(*part) for part in prefixes)
    return engines.Job(name, prompt, output, parts)


def _run_until_idle(engine):
    times = {}
    while (due := engine.next_change()) is not None:
        for change in engine.advance(due):
            times[change.step, change.job.request] = due
    return times


def test_one_request_takes_prefill_and_decode_time():
    engine = _engine()
    engine.submit(_job("a"), 0.0)
    times = _run_until_idle(engine)
    assert times[engines.Step.FIRST_TOKEN, "a"] == 1.0
    assert round(times[engines.Step.FINISHED, "a"], 6) == 2.0


def test_batch_slows_decoding_and_queue_keeps_arrival_order():
    engine = _engine()
    for name in "abc":
        engine.submit(_job(name), 0.0)
    assert list(engine.running) == ["a", "b"]
    times = _run_until_idle(engine)
    assert times[engines.Step.FIRST_TOKEN, "a"] == 2.0
    assert times[engines.Step.FINISHED, "a"] > 3.0
    assert (
        times[engines.Step.FIRST_TOKEN, "c"] > times[engines.Step.FINISHED, "a"]
    )


def test_cached_prefix_is_not_computed_again():
    engine = _engine()
    prefixes = ((1, 200), (2, 800))
    engine.submit(_job("a", prefixes=prefixes), 0.0)
    _run_until_idle(engine)
    job = _job("b", prefixes=prefixes)
    engine.submit(job, 10.0)
    _run_until_idle(engine)
    assert job.computed_tokens() == 200


def test_cache_evicts_the_least_recently_used_and_numbers_events():
    cache = engines.PrefixCache(1000)
    for digest in (2, 3, 2, 4):
        cache.store((messages.PrefixPart(digest, 400),))
    assert cache.lookup((messages.PrefixPart(3, 400),)) == 0
    assert cache.lookup((messages.PrefixPart(2, 400),)) == 400
    assert cache.used == 800
    assert [e.sequence for e in cache.take_events()] == [1, 2, 3, 4]


def test_slowdown_and_cancel_take_effect_immediately():
    engine = _engine()
    engine.submit(_job("a"), 0.0)
    engine.advance(0.5)
    engine.slowdown = 0.5
    assert engine.next_change() == 1.5
    engine.advance(1.0)
    assert engine.cancel("a", 1.0).computed_tokens() == 750
    assert engine.next_change() is None


def test_crash_loses_jobs_and_cache():
    engine = _engine()
    engine.submit(_job("a", prefixes=((1, 500),)), 0.0)
    engine.advance(1.5)
    assert [job.request for job in engine.crash(1.5)] == ["a"]
    assert engine.cache.lookup((messages.PrefixPart(1, 500),)) == 0
