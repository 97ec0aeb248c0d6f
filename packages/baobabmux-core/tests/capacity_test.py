"""Tests of the estimated load and rates of one endpoint."""

import pytest

from baobabmux_core import capacity, declarations


def _model(**fields):
    declared = declarations.Endpoint(
        "s", "d", "vm", "127.0.0.1:1", max_requests=4, max_tokens=1000,
        prefill_tokens_per_second=1000.0, decode_tokens_per_second=100.0,
    )  # fmt: skip
    return capacity.EndpointModel("e", declared, **fields)


def _run(model, name, now, tokens=100, uncached=100, output=100):
    run = capacity.RunningRequest(
        name, "n", 0, tokens, uncached, output, 1, now
    )
    model.start(run)
    return run


def test_rates_are_estimated_from_completed_requests():
    """Guards against predictions that keep to a wrongly declared rate."""
    model = _model()
    for index in range(40):
        now = 10.0 * index
        run = _run(model, "r", now, uncached=1000)
        model.observe_completion(
            run, 1000, 100, prefill=2.0, decode=2.0, now=now + 4
        )
        model.end("r", now + 4)
    assert model.prefill_rate == pytest.approx(500.0, rel=0.05)
    assert model.decode_rate == pytest.approx(50.0, rel=0.05)


def test_stalled_endpoint_is_limited_until_it_is_empty():
    """Guards against more requests for an engine that no longer responds."""
    model = _model()
    _run(model, "r", 0.0)
    model.check_stall(5.0)
    assert model.limit() == 4
    model.check_stall(14.0)
    assert model.limit() == 1
    model.end("r", 15.0)
    assert model.limit() == 4


def test_stale_and_lagging_reports_do_not_close_an_endpoint():
    """Guards against counting ended requests as those of other clients.

    A load report describes a time before they ended, or is too old.
    """
    model = _model()
    for name in "abcd":
        _run(model, name, 10.0)
    for name in "abcd":
        model.end(name, 12.0)
    for now in (12.5, 13.5):
        model.apply_load_report(4, as_of=11.5, now=now)
        assert model.used(now) == 0
    for now in (25.0, 26.0):
        model.apply_load_report(9, as_of=15.0, now=now)
        assert model.used(now) == 0


def test_huge_request_runs_alone():
    """Guards against a request that waits forever.

    It needs more tokens than the limit of any endpoint.
    """
    model = _model()
    assert model.fits(5000, 0, 0.0)
    _run(model, "r", 0.0, tokens=5000)
    assert not model.fits(1, 0, 0.0)


def test_duration_of_a_plain_service_is_estimated():
    """Guards against predictions by token rates for services without tokens."""
    model = _model(plain=True)
    for now in range(60):
        run = _run(model, "r", float(now))
        model.observe_completion(
            run, -1, 0, prefill=0.5, decode=0.0, now=now + 0.5
        )
        model.end("r", now + 0.5)
    assert model.predict(0.0, 10_000, 0).end == pytest.approx(0.5, rel=0.05)
