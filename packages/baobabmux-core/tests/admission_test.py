"""Pattern: for eight seconds, callers ask for twice as much as there is room.

Requests of a lower precedence waited behind those of a higher one until their
own deadlines: of 213 that ended so on a day, half were held for over 2.5 of
their 3 s, and their callers had no time left to come back.
"""

import heapq
import itertools

import pytest

from baobabmux_core import (
    declarations,
    effects,
    fairness,
    grants,
    messages,
    quarantine,
    states,
)

_GROUP = "pool@cell"
_SLOTS = 8
_ENDPOINTS = 4
# Prompt tokens and answer, so that each request runs for about 0.5 s.
_PROMPT, _ANSWER = 2_500, 135
_RUN_SECONDS = 0.5
_DEADLINE = 3.0
_CAPACITY = _SLOTS * _ENDPOINTS / _RUN_SECONDS
# Callers wait for a return up to this share of the time that they have left.
_PATIENCE = 1 / 3
_WAY_SECONDS = 0.01


def _configuration(keeps_returns):
    return declarations.Configuration(
        tiers={f"t{rank}": declarations.Tier(rank) for rank in range(3)},
        services={
            "pool": declarations.Service(
                "engine",
                short_tokens=0,
                isolates_suspects=False,
                limits_slow_endpoints=False,
                keeps_returns=keeps_returns,
            )
        },
        endpoints={
            f"e{index}": declarations.Endpoint(
                "pool", "cell", f"vm{index}", f"127.0.0.1:{index + 1}",
                max_requests=_SLOTS, max_tokens=1_000_000,
                prefill_tokens_per_second=50_000.0,
                decode_tokens_per_second=300.0,
            )
            for index in range(_ENDPOINTS)
        },
        routes={},
        presets={"p": declarations.Preset(short_share=0, high_tier_share=0)},
        active="p",
    )  # fmt: skip


class _Caller:
    """One request and its return, if it is told to come back."""

    def __init__(self, number, tier, born, patience=_PATIENCE):
        self.number = number
        self.tier = tier
        self.born = born
        self.patience = patience
        self.tries = 0
        self.asked_at = born
        self.told = None
        self.waited = 0.0
        self.started = None

    def ask(self, now):
        self.tries += 1
        self.asked_at = now
        left = self.born + _DEADLINE - now
        return messages.Ask(
            _GROUP, f"{self.number}-{self.tries}", self.tier,
            fairness.workspace_hash(f"w{self.number % 5}"), round(left * 1000),
            _PROMPT, _ANSWER, (), self.number,
            terms=messages.AskTerms(first_ms=round(left * 1000)),
        )  # fmt: skip


class _Day:
    """Plays callers against an owner in steps of 10 ms."""

    def __init__(self, callers, keeps_returns=True):
        self.owner = grants.GroupOwner(_GROUP, quarantine.Quarantine(), 0.0)
        self.owner.configure(_configuration(keeps_returns), 0.0)
        for name in self.owner.endpoints():
            self.owner.set_open(name, True)
        self.callers = {caller.number: caller for caller in callers}
        self.events = []
        self.order = itertools.count()
        for caller in callers:
            self.at(caller.born, "ask", caller)
        while self.events:
            at, _, kind, item = heapq.heappop(self.events)
            self.handle(kind, item, at)

    def at(self, time, kind, item):
        heapq.heappush(self.events, (time, next(self.order), kind, item))

    def handle(self, kind, item, now):
        if kind == "ask":
            if not item.tries and now < 12.0:
                self.at(now + 0.01, "tick", None)
            emitted = self.owner.ask(item.ask(now), "n1", now)
        elif kind == "end":
            emitted = self.owner.release(item, "n1", now)
        else:
            emitted = self.owner.tick(now)
        for effect in emitted:
            assert isinstance(effect, effects.Send)
            self.answer(effect.message, now)

    def answer(self, message, now):
        if isinstance(message, messages.Grant):
            caller = self.callers[int(message.request.split("-")[0])]
            caller.started = now
            release = messages.Release(
                _GROUP, message.request, message.endpoint,
                states.Outcome.COMPLETED.code, _PROMPT, _ANSWER, 50, 450,
            )  # fmt: skip
            self.at(now + _RUN_SECONDS, "end", release)
        elif isinstance(message, messages.Refusal):
            caller = self.callers[int(message.request.split("-")[0])]
            if caller.tries == 1:
                caller.waited = now - caller.asked_at
            seconds = message.retry_after_ms / 1000
            left = caller.born + _DEADLINE - now
            if caller.tries == 1 and seconds <= caller.patience * left:
                caller.told = seconds
                self.at(now + seconds + 2 * _WAY_SECONDS, "ask", caller)


def _callers(factor, seconds=8.0, tiers=(0, 1, 2), **fields):
    """Returns callers that ask for a multiple of the room, evenly."""
    rate = factor * _CAPACITY
    count = round(rate * seconds)
    return [
        _Caller(number, tiers[number % len(tiers)], number / rate, **fields)
        for number in range(count)
    ]


@pytest.fixture(scope="module")
def overload():
    return _Day(_callers(2.0))


def _served(callers):
    callers = list(callers)
    return sum(c.started is not None for c in callers) / len(callers)


def test_nobody_waits_long_to_be_refused(overload):
    """A caller needs the rest of its time to come back and be served."""
    waited = [caller.waited for caller in overload.callers.values()]
    assert max(waited) <= _PATIENCE * _DEADLINE


def test_refused_callers_are_told_a_time_that_they_wait(overload):
    refused = [c for c in overload.callers.values() if c.tries > 1 or c.waited]
    told = [c for c in refused if c.told is not None]
    assert len(told) >= 0.95 * len(refused)


def test_callers_that_keep_a_promised_time_are_served(overload):
    """A caller comes back once; a place that was named must be there."""
    returned = overload.owner.admission.returns
    assert returned.promised >= 50
    assert returned.kept >= 0.95 * returned.promised
    back = [c for c in overload.callers.values() if c.tries == 2]
    kept = sum(c.started is not None for c in back)
    assert kept >= 0.95 * returned.kept


def test_room_is_used_while_callers_are_refused(overload):
    """Guards against refusals that leave slots empty."""
    started = [c for c in overload.callers.values() if c.started is not None]
    in_time = [c for c in started if 1.0 <= c.started <= 8.0]
    assert len(in_time) >= 0.95 * 7.0 * _CAPACITY


def test_higher_tiers_are_served_before_lower_ones(overload):
    shares = [
        _served(c for c in overload.callers.values() if c.tier == tier)
        for tier in range(3)
    ]
    assert shares == sorted(shares, reverse=True)


def test_calm_callers_are_served_as_without_it():
    """Guards against refusals while there is room."""
    callers = _callers(0.7, seconds=4.0)
    day = _Day(callers)
    assert _served(day.callers.values()) == 1.0
    assert all(caller.tries == 1 for caller in callers)


def test_no_caller_is_served_less_for_it():
    """Refusing early must not cost what waiting would have brought."""
    without = _Day(_callers(2.0), keeps_returns=False)
    assert _served(_Day(_callers(2.0)).callers.values()) >= (
        0.98 * _served(without.callers.values())
    )
