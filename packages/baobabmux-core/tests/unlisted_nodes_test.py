"""Pattern: a node restarts during an outage of the list of nodes.

Its peers have heard of it, but the list that they read last lacks it.
"""

from baobabmux_core import membership, states

_CELL = "cell"
_ADDRESS = "127.0.0.1:7"


def _view():
    """Returns a node that knows n2 from its frames only, at second 101."""
    view = membership.Membership("n1", _CELL, 100.0)
    own = membership.VmEntry("n1", "node", _CELL, peer_address="127.0.0.1:1")
    view.apply_vm_list([own], 100.0, 100.0)
    view.record_frame("n2", 1, False, 101.0, _CELL, _ADDRESS, interval_ms=500)
    view.tick(101.0)
    assert view.state("n2") is states.MemberState.LIVE
    return view


def _tick_until(view, second):
    """Ticks eight times a second; returns the nodes with due heartbeats."""
    due = set()
    now = 101.0
    while now < second:
        now += 0.125
        view.tick(now)
        due.update(view.heartbeat_targets(now))
    return due


def test_unlisted_node_that_is_silent_gets_heartbeats():
    """Guards against a restarted node that nobody tells of its peers.

    It was forgotten after 0.75 s; without the list it had no configuration
    until the store came back.
    """
    view = _view()
    _tick_until(view, 105.0)
    assert view.state("n2") is states.MemberState.SUSPECT
    assert view.live(_CELL) == ["n1"]
    assert view.peer_address("n2") == _ADDRESS
    view.record_frame("n3", 1, False, 105.0, _CELL, "127.0.0.1:8")
    assert "n2" in _tick_until(view, 110.0)


def test_unlisted_node_that_stays_silent_is_gone():
    """Guards against heartbeats without end to nodes that were replaced."""
    view = _view()
    _tick_until(view, 125.0)
    assert view.state("n2") is states.MemberState.GONE


def test_unlisted_node_that_leaves_is_gone_once_it_is_silent():
    """Guards against heartbeats to nodes that have said that they leave."""
    view = _view()
    view.record_frame("n2", 1, True, 101.5, _CELL)
    _tick_until(view, 105.0)
    assert view.state("n2") is states.MemberState.GONE
