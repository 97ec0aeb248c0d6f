"""Tests of the timer service."""

from baobabmux_core import timers


def test_paused_process_calls_a_missed_periodic_timer_once():
    """Guards against a burst of calls after a long pause."""
    service = timers.TimerService()
    calls = []
    service.every(1.0, 0.0, calls.append)
    service.run_due(10.0)
    assert calls == [10.0]
    assert service.next_due() == 11.0


def test_cancelled_timer_is_not_called():
    """Guards against a grant's expiry firing after the grant was used."""
    service = timers.TimerService()
    calls = []
    service.once(1.0, calls.append).cancel()
    assert service.run_due(5.0) == 0
    assert service.next_due() is None


def test_timers_due_shortly_after_each_other_share_one_call():
    """Pattern: an idle node that wakes up for each of its timers alone."""
    service = timers.TimerService()
    calls = []
    service.every(0.125, 10.0, calls.append)
    service.once(10.131, calls.append)
    assert service.run_due(10.125, 0.01) == 2
    assert calls == [10.125, 10.125]
    assert service.next_due() == 10.25
    assert service.run_due(10.239, 0.01) == 0
