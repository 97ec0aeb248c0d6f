"""Pattern: a large pool under load, all decided by one owner.

59 engines of six slots get wording drafts, clause reviews and sanctions flags
of 195 nodes, at the pool's usual rate and at twice that. The cost of a decision
is counted in endpoints examined: if it grew with the pool and its queue, the
owner would fall behind the requests just when slots are short.
"""

import heapq
import random
import statistics

import pytest

from baobabmux_core import (
    capacity,
    declarations,
    grants,
    messages,
    quarantine,
    states,
)

_GROUP = "pool@cell"
_ENGINES = 59
_SLOTS = 6
_NODES = 195
_USUAL_RATE = 413.0
_SECONDS = 3.0
_TICK_SECONDS = 0.05
_TOKENS_PER_SECOND = 285.0
_PREFILL_TOKENS_PER_SECOND = 92_100.0
# Engines are unlike: the slowest and the fastest, relative to the mean.
_SPEEDS = (0.8, 1.2)
# Rates that the owner assumes before it has seen an engine run.
_DECLARED_TOKENS_PER_SECOND = 300.0
_DECLARED_PREFILL_TOKENS_PER_SECOND = 50_000.0
# Share of the requests, prompt tokens, output tokens, milliseconds to the
# target of the first event and to the deadline.
_KINDS = (
    (0.24, 6670, 384, 823, 12_340),
    (0.23, 690, 288, 809, 10_116),
    (0.53, 1860, 24, 1211, 2523),
)


class _Pool:
    """One owner, simulated engines and a simulated clock."""

    def __init__(self, engines=_ENGINES, seed=7):
        self.now = 100.0
        self.random = random.Random(seed)
        self.owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 100.0)
        self.owner.configure(
            declarations.Configuration(
                tiers={f"t{r}": declarations.Tier(r) for r in range(3)},
                services={
                    "pool": declarations.Service(
                        "engine",
                        isolates_suspects=False,
                        limits_slow_endpoints=False,
                        max_queue_requests=10_000,
                        max_queue_tokens=1_000_000_000,
                    )
                },
                endpoints={
                    f"e{index}": declarations.Endpoint(
                        "pool",
                        "cell",
                        f"vm{index}",
                        f"127.0.0.1:{index + 1}",
                        max_requests=_SLOTS,
                        max_tokens=1_000_000_000,
                        prefill_tokens_per_second=(
                            _DECLARED_PREFILL_TOKENS_PER_SECOND
                        ),
                        decode_tokens_per_second=_DECLARED_TOKENS_PER_SECOND,
                    )
                    for index in range(engines)
                },
                routes={},
                presets={
                    "p": declarations.Preset(short_share=0, high_tier_share=0)
                },
                active="p",
            ),
            100.0,
        )
        self.speeds = {
            f"e{index}": self.random.uniform(*_SPEEDS)
            for index in range(engines)
        }
        self.asked = {}
        self.granted = {}
        self.endpoints = {}
        self.refused = set()
        self.running = []

    def play(self, rate, seconds=_SECONDS):
        end = self.now + seconds
        next_ask = next_tick = self.now
        while self.now < end:
            ends = self.running[0][0] if self.running else end
            self.now = min(next_ask, next_tick, ends)
            if self.now == ends and self.running:
                self._release()
            elif self.now == next_tick:
                next_tick += _TICK_SECONDS
                self._take(self.owner.tick(self.now))
            else:
                next_ask += self.random.expovariate(rate)
                self._ask()

    def _ask(self):
        request = f"r{len(self.asked)}"
        tier = self.random.choices(range(3), [kind[0] for kind in _KINDS])[0]
        _, prompt, output, target_ms, deadline_ms = _KINDS[tier]
        self.asked[request] = (self.now, tier)
        ask = messages.Ask(
            _GROUP, request, tier, self.random.randrange(19), deadline_ms,
            prompt, output, (), len(self.asked),
            terms=messages.AskTerms(
                first_ms=4 * target_ms, target_ms=target_ms
            ),
        )  # fmt: skip
        self._take(self.owner.ask(ask, self._holder(request), self.now))

    def _release(self):
        _, request, endpoint = heapq.heappop(self.running)
        output = _KINDS[self.asked[request][1]][2]
        prefill, decode = self._times(request, endpoint)
        release = messages.Release(
            _GROUP, request, endpoint, states.Outcome.COMPLETED.code, -1,
            output, round(prefill * 1000), round(decode * 1000),
        )  # fmt: skip
        self._take(self.owner.release(release, self._holder(request), self.now))

    def _times(self, request, endpoint):
        """Returns the seconds that an engine reads and writes."""
        _, prompt, output, _, _ = _KINDS[self.asked[request][1]]
        speed = self.speeds[endpoint]
        return (
            prompt / _PREFILL_TOKENS_PER_SECOND / speed,
            output / _TOKENS_PER_SECOND / speed,
        )

    def _holder(self, request):
        return f"n{int(request[1:]) % _NODES}"

    def _take(self, emitted):
        for message in (effect.message for effect in emitted):
            if isinstance(message, messages.Grant):
                self.granted[message.request] = self.now
                self.endpoints[message.request] = message.endpoint
                seconds = sum(self._times(message.request, message.endpoint))
                ends = self.now + seconds
                heapq.heappush(
                    self.running, (ends, message.request, message.endpoint)
                )
            elif isinstance(message, messages.Refusal):
                self.refused.add(message.request)

    def on_time(self, tier):
        """Returns the share of a tier's requests that got a timely grant."""
        asked = {
            request: at
            for request, (at, of) in self.asked.items()
            if of == tier
        }
        target_seconds = _KINDS[tier][3] / 1000
        timely = sum(
            self.granted.get(request, 1e9) - at < target_seconds
            for request, at in asked.items()
        )
        return timely / len(asked)


@pytest.fixture
def examined(monkeypatch):
    """Counts the endpoints for which an end was predicted."""
    counts = [0]
    predict = capacity.EndpointModel.predict

    def counted(model, *arguments):
        counts[0] += 1
        return predict(model, *arguments)

    monkeypatch.setattr(capacity.EndpointModel, "predict", counted)
    return counts


def _examined_per_request(examined, engines, load):
    examined[0] = 0
    pool = _Pool(engines)
    pool.play(load * _USUAL_RATE * engines / _ENGINES)
    return examined[0] / len(pool.asked)


@pytest.mark.parametrize("load", [1.0, 2.0])
def test_cost_of_a_request_does_not_grow_with_the_pool(examined, load):
    """The owner of 59 engines spent 6 ms a request at twice the usual load."""
    small = _examined_per_request(examined, 12, load)
    assert _examined_per_request(examined, _ENGINES, load) <= 2 * small


def test_all_engines_are_used_alike():
    pool = _Pool()
    pool.play(_USUAL_RATE)
    counts = dict.fromkeys(pool.endpoints.values(), 0)
    for endpoint in pool.endpoints.values():
        counts[endpoint] += 1
    mean = len(pool.endpoints) / _ENGINES
    assert len(counts) == _ENGINES
    assert max(counts.values()) <= 2 * mean


def test_usual_load_is_granted_at_once():
    pool = _Pool()
    pool.play(_USUAL_RATE)
    assert not pool.refused
    assert min(pool.on_time(tier) for tier in range(3)) >= 0.99


def test_overload_leaves_the_most_urgent_requests_on_time():
    """The bounded choice must not cost the top tier its slots."""
    shares = []
    for seed in (1, 2, 3, 7):
        pool = _Pool(seed=seed)
        pool.play(2 * _USUAL_RATE)
        shares.append(pool.on_time(0))
    assert statistics.fmean(shares) >= 0.99


def test_paused_endpoints_do_not_hide_the_others():
    """Guards against a wait while most endpoints would take the request.

    The endpoints that a decision examines were all paused for the holder.
    """
    pool = _Pool()
    paused = tuple(messages.Pause(f"e{index}", 5000) for index in range(40))
    ask = messages.Ask(
        _GROUP, "r", 0, 1, 12_000, 1000, 100, (), 1,
        terms=messages.AskTerms(first_ms=4000, target_ms=1000, pauses=paused),
    )  # fmt: skip
    (effect,) = pool.owner.ask(ask, "n1", pool.now)
    assert isinstance(effect.message, messages.Grant)
    assert int(effect.message.endpoint[1:]) >= 40


def test_failed_endpoints_do_not_hide_the_others():
    """A repeated request avoids the endpoints of its earlier attempts."""
    pool = _Pool()
    avoided = tuple(f"e{index}" for index in range(40))
    ask = messages.Ask(
        _GROUP, "r", 0, 1, 12_000, 1000, 100, (), 1,
        terms=messages.AskTerms(
            first_ms=4000, attempt=2, avoided=avoided, target_ms=1000
        ),
    )  # fmt: skip
    (effect,) = pool.owner.ask(ask, "n1", pool.now)
    assert isinstance(effect.message, messages.Grant)
    assert effect.message.endpoint not in avoided
