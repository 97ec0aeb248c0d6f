"""Pattern: callers in three data centres of one cell, engines in each.

The owner chose the engine that ends first, whichever its data centre, so that
two of three answers crossed between data centres, where bytes are dear.
"""

import heapq
import random

from baobabmux_core import (
    declarations,
    grants,
    messages,
    quarantine,
    states,
)

_GROUP = "pool@cell"
_CENTRES = ("a", "b", "c")
_ENGINES = 6
_SLOTS = 4
_RUN_SECONDS = 0.5
_CAPACITY = _ENGINES * _SLOTS / _RUN_SECONDS


def _owner(other_centre_seconds):
    owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 100.0)
    owner.configure(
        declarations.Configuration(
            tiers={"t0": declarations.Tier(0)},
            services={
                "pool": declarations.Service(
                    "engine",
                    isolates_suspects=False,
                    limits_slow_endpoints=False,
                )
            },
            endpoints={
                f"e{index}": declarations.Endpoint(
                    "pool", "cell", f"vm{index}", f"127.0.0.1:{index + 1}",
                    max_requests=_SLOTS, max_tokens=1_000_000,
                    prefill_tokens_per_second=100_000.0,
                    decode_tokens_per_second=300.0,
                    location=_CENTRES[index % 3],
                )
                for index in range(_ENGINES)
            },
            routes={},
            presets={
                "p": declarations.Preset(
                    short_share=0,
                    high_tier_share=0,
                    other_centre_seconds=other_centre_seconds,
                )
            },
            active="p",
        ),
        100.0,
    )  # fmt: skip
    owner.location_of = lambda holder: holder
    return owner


class _Play:
    """Arrivals in all data centres, and what became of them."""

    def __init__(self, other_centre_seconds, rate, centres=_CENTRES):
        self.owner = _owner(other_centre_seconds)
        self.generator = random.Random(3)
        self.running = []
        self.centre = {}
        self.asked_at = {}
        self.crossed = 0
        self.waits = []
        self.refused = 0
        now = 100.0
        while now < 110.0:
            now += self.generator.expovariate(rate)
            while self.running and self.running[0][0] <= now:
                self._release()
            self._ask(self.generator.choice(centres), now)

    def _ask(self, centre, now):
        request = f"r{len(self.centre)}"
        self.centre[request] = centre
        self.asked_at[request] = now
        ask = messages.Ask(
            _GROUP, request, 0, 1, 12_000, 2000, 120, (), len(self.centre),
            terms=messages.AskTerms(first_ms=4000, target_ms=1000),
        )  # fmt: skip
        self._take(self.owner.ask(ask, centre, now), now)

    def _release(self):
        at, request, endpoint = heapq.heappop(self.running)
        done = messages.Release(
            _GROUP, request, endpoint, states.Outcome.COMPLETED.code, -1,
            120, 20, round(_RUN_SECONDS * 1000) - 20,
        )  # fmt: skip
        self._take(self.owner.release(done, self.centre[request], at), at)

    def _take(self, emitted, now):
        for message in (effect.message for effect in emitted):
            if isinstance(message, messages.Refusal):
                self.refused += 1
            if not isinstance(message, messages.Grant):
                continue
            location = _CENTRES[int(message.endpoint[1:]) % 3]
            self.crossed += location != self.centre[message.request]
            self.waits.append(now - self.asked_at[message.request])
            heapq.heappush(
                self.running,
                (now + _RUN_SECONDS, message.request, message.endpoint),
            )


def test_answers_stay_in_their_data_centre_while_it_has_room():
    before = _Play(0.0, 0.5 * _CAPACITY)
    after = _Play(0.05, 0.5 * _CAPACITY)
    assert after.crossed <= before.crossed / 2
    assert max(after.waits) <= 0.1
    assert not after.refused


def test_full_data_centre_uses_the_others():
    """All callers in one data centre still get the slots of all three."""
    play = _Play(0.05, 0.8 * _CAPACITY, centres=("a",))
    assert play.crossed >= len(play.centre) / 2
    assert not play.refused


def test_crossing_costs_nothing_without_the_setting():
    play = _Play(0.0, 0.5 * _CAPACITY)
    assert play.crossed >= len(play.centre) / 2
