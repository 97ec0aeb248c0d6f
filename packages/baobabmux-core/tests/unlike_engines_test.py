"""Tests of a load peak of streams on a fast engine and a slow one.

The service is full, so free slots are mostly on the slow engine. A long stream
occupies such a slot for seconds and is exposed to every fault of that time; a
short one ends soon on either engine.
"""

import pytest

from baobabmux_core import declarations, grants, messages, quarantine, states

_GROUP = "drafting@cell"
_SLOTS = 2
_RATES = {"fast": 300.0, "slow": 60.0}
_LONG = 360
_SHORT = 12


class _Engines:
    """A fast engine that is full and a slow one that is empty."""

    def __init__(self):
        self.now = 100.0
        self.granted = {}
        self.owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 100.0)
        self.owner.configure(
            declarations.Configuration(
                tiers={"t0": declarations.Tier(0), "t1": declarations.Tier(1)},
                services={
                    "drafting": declarations.Service(
                        "engine",
                        isolates_suspects=False,
                        limits_slow_endpoints=False,
                    )
                },
                endpoints={
                    name: declarations.Endpoint(
                        "drafting",
                        "cell",
                        f"vm-{name}",
                        "127.0.0.1:1",
                        max_requests=_SLOTS,
                        max_tokens=1_000_000,
                        prefill_tokens_per_second=100_000.0,
                        decode_tokens_per_second=rate,
                    )
                    for name, rate in _RATES.items()
                },
                routes={},
                presets={
                    "p": declarations.Preset(short_share=0, high_tier_share=0)
                },
                active="p",
            ),
            100.0,
        )
        for number in range(_SLOTS):
            self.ask(f"first-{number}", _LONG)

    def take(self, effects):
        for effect in effects:
            if isinstance(effect.message, messages.Grant):
                message = effect.message
                self.granted[message.request] = message.endpoint

    def ask(self, request, output, tier=0, target_ms=1500):
        terms = messages.AskTerms(
            first_ms=round(2.5 * target_ms), target_ms=target_ms
        )
        ask = messages.Ask(
            _GROUP, request, tier, 1, 60_000, 100, output, (), 1, terms=terms
        )
        self.take(self.owner.ask(ask, "n1", self.now))
        return self.granted.get(request)

    def advance(self, seconds):
        self.now += seconds
        self.take(self.owner.tick(self.now))

    def end(self, request):
        release = messages.Release(
            _GROUP,
            request,
            self.granted[request],
            states.Outcome.COMPLETED.code,
            computed_tokens=100,
            output_tokens=_LONG,
            prefill_ms=10,
            decode_ms=1200,
        )
        self.take(self.owner.release(release, "n1", self.now))


@pytest.fixture
def engines():
    made = _Engines()
    assert set(made.granted.values()) == {"fast"}
    made.advance(0.9)
    return made


def test_long_stream_takes_the_fast_slot_that_is_free_soon(engines):
    """Guards against a long stream on the slow engine despite a short wait.

    A slot of the fast engine is predicted to be free soon.
    """
    assert engines.ask("long", _LONG) is None
    engines.advance(0.2)
    engines.end("first-0")
    assert engines.granted["long"] == "fast"


def test_long_stream_waits_only_shortly_for_a_fast_slot(engines):
    """Guards against a slot that stays free while a stream waits.

    The fast engine's slot is not freed when predicted, so the stream must take
    the slow one.
    """
    assert engines.ask("long", _LONG) is None
    engines.advance(0.2)
    assert "long" not in engines.granted
    engines.advance(0.4)
    assert engines.granted["long"] == "slow"


def test_short_stream_takes_the_slow_slot_meanwhile(engines):
    """Guards against a lower tier that is blocked by a choice of engines.

    A higher-tier stream passes over the free slot to wait for a faster engine.
    """
    assert engines.ask("long", _LONG) is None
    assert engines.ask("short", _SHORT, tier=1) == "slow"


def test_stream_whose_first_event_is_due_does_not_wait(engines):
    """Guards against a late first event because of a wait for a fast engine.

    The first event of the stream would be late after that wait.
    """
    assert engines.ask("long", _LONG, target_ms=150) == "slow"
