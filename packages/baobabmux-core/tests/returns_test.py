"""Pattern: refused callers come back, each once, some early, late or never."""

import collections

import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabmux_core import returns

_SLOTS = 80
# Seconds in which as many slot seconds may be promised as the ledger allows.
_SPAN = 0.2


def _key(number):
    return (1, number)


def _promise(ledger, number, now=100.0, seconds=1.0, **fields):
    bounds = {"earliest": 0.1, "latest": 4.0, "slots": _SLOTS, **fields}
    return ledger.promise(_key(number), seconds, now=now, **bounds)


def test_returns_are_spread_over_the_time_that_callers_wait():
    """Guards against callers that all come back at the same moment."""
    ledger = returns.ReturnLedger()
    told = [_promise(ledger, number) for number in range(200)]
    kept = collections.Counter(
        round(seconds, 2) for seconds in told if seconds is not None
    )
    # A quarter of the slots, each second; the rest is for first attempts.
    assert max(kept.values()) <= 0.25 * _SLOTS * _SPAN + 1
    assert 0.8 * 20 * 4.0 <= kept.total() <= 20 * 4.0
    assert all(0.1 <= seconds <= 4.0 for seconds in kept)


def test_caller_that_keeps_the_time_finds_its_place():
    ledger = returns.ReturnLedger()
    seconds = _promise(ledger, 1)
    assert ledger.arrive(_key(1), 100.0 + seconds) is returns.Arrival.KEPT
    # A second request with the same content has none.
    assert ledger.arrive(_key(1), 100.0 + seconds) is returns.Arrival.FIRST
    assert len(ledger) == 0


def test_caller_that_comes_early_gains_and_loses_nothing():
    """Guards against callers that repeat at once and often."""
    ledger = returns.ReturnLedger()
    seconds = _promise(ledger, 1, earliest=2.0)
    for step in range(1, 10):
        now = 100.0 + 0.1 * step
        assert ledger.arrive(_key(1), now) is returns.Arrival.EARLY
        told = _promise(ledger, 1, now=now)
        assert now + told == pytest.approx(100.0 + seconds)
    assert len(ledger) == 1
    assert ledger.arrive(_key(1), 100.0 + seconds) is returns.Arrival.KEPT


def test_place_of_a_caller_that_never_comes_is_free_again():
    ledger = returns.ReturnLedger()
    while _promise(ledger, len(ledger)) is not None:
        pass
    full = len(ledger)
    assert ledger.arrive(_key(0), 110.0) is returns.Arrival.FIRST
    assert len(ledger) == 0
    assert ledger.expired == full
    assert _promise(ledger, 0, now=110.0) is not None


def test_caller_a_little_late_finds_its_place():
    """The refusal and the new request travel, and a connection is opened."""
    ledger = returns.ReturnLedger()
    seconds = _promise(ledger, 1)
    late = 100.0 + seconds + 0.5
    assert ledger.arrive(_key(1), late) is returns.Arrival.KEPT


def test_caller_that_may_not_wait_gets_no_place():
    ledger = returns.ReturnLedger()
    assert _promise(ledger, 1, earliest=0.5, latest=0.4) is None


_events = st.lists(
    st.tuples(
        st.sampled_from(["promise", "arrive", "release"]),
        st.integers(0, 5),
        st.floats(0.0, 0.7),
        st.floats(0.0, 20.0),
    ),
    max_size=120,
)


@given(_events)
def test_ledger_agrees_with_itself(events):
    """Guards against room that is lost or given twice."""
    ledger = returns.ReturnLedger()
    now = 0.0
    for kind, number, pause, seconds in events:
        now += pause
        if kind == "promise":
            _promise(ledger, number, now=now, seconds=seconds)
        elif kind == "arrive":
            ledger.arrive(_key(number), now)
        else:
            ledger.release(_key(number))
        assert len(ledger) >= 0
    ledger.arrive(_key(9), now + 100.0)
    assert len(ledger) == 0
    assert ledger.kept + ledger.expired <= ledger.promised
