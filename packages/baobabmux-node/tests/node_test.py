"""Tests of how a node stops."""

import signal

import curio
import pytest

from baobabmux_core import catalogue, declarations, messages, revisions
from baobabmux_node import node, settings

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_ANY = settings.Address("127.0.0.1", 0)
_UNREACHABLE = settings.Address("127.0.0.1", 9)


def _make_node():
    return node.Node(
        settings.Settings(
            "n1", "col-a", _ANY, _ANY, _ANY, _UNREACHABLE, _UNREACHABLE
        )
    )


@pytest.fixture(autouse=True)
def _restore_signal_handlers():
    handlers = [signal.getsignal(number) for number in _SIGNALS]
    yield
    for number, handler in zip(_SIGNALS, handlers, strict=True):
        signal.signal(number, handler)


def test_failed_job_ends_the_node(monkeypatch):
    """Guards against a node that outlives a failed job.

    It would drain without end or run with some of its jobs missing.
    """
    new_node = _make_node()

    async def fail():
        raise RuntimeError("a job failed")

    monkeypatch.setattr(new_node.ports, "_poll_vms", fail)
    with pytest.raises(RuntimeError, match="a job failed"):
        curio.run(new_node.run)


def test_failed_shutdown_ends_the_node(monkeypatch):
    """Guards against a node that ignores SIGTERM after a fault.

    The shutdown runs as a job; if it fails, the node must end all the same.
    """
    new_node = _make_node()

    async def fail():
        raise RuntimeError("the shutdown failed")

    monkeypatch.setattr(new_node.ports.claims, "wait_for_appends", fail)
    new_node._request_stop(0, None)
    with pytest.raises(RuntimeError, match="the shutdown failed"):
        curio.run(new_node.run)


def test_idle_node_shuts_down():
    """Guards against a shutdown that never ends on a node without requests."""
    new_node = _make_node()
    new_node._request_stop(0, None)
    curio.run(new_node.run)
    assert new_node.events.timeline.select()[-1].kind == 103


def test_state_is_sent_again_to_a_peer_that_understands_it():
    """Guards against a peer that lacks what was withheld from it.

    Until its first heartbeat a peer counts as an old build.
    """
    new_node = _make_node()
    new_node.scheduler._leaving_endpoints.add("draft-a1", 0.0)
    peers = new_node.peers.revisions
    peers.frames("n2", (messages.EndpointPaused("draft-a1", 700),))
    heartbeat = messages.Heartbeat(False, -1, revision=revisions.CURRENT)
    frame = messages.Frame("n2", 5, 1, 1, (heartbeat,))
    curio.run(new_node._receive, frame)
    sent = new_node.peers._outbox["n2"]
    assert messages.EndpointsLeaving(("draft-a1",)) in sent


def test_unknown_messages_are_logged_once_and_bounded():
    """Guards against a peer of another build that floods the log."""
    new_node = _make_node()
    unknown = tuple(f"message {tag}" for tag in range(100, 150))
    new_node.peers.unknown.record("n2", unknown)
    new_node._watch.check([])
    new_node._watch.check([])
    logged = [e for e in new_node.events.timeline.select() if e.kind == 903]
    assert len(logged) == 20
    assert logged[0].fields == {
        "unknown": "message 100",
        "peer": "n2",
        "revision": 1,
        "count": 1,
    }


def _logged(host, kind):
    return [
        event.fields
        for event in host.events.timeline.select(kinds=frozenset({kind.number}))
    ]


def test_asks_for_a_group_of_another_owner_are_logged_and_counted():
    """Guards against a group without an owner that no log shows."""
    new_node = _make_node()
    for number in range(3):
        ask = messages.Ask("pool@col-a", f"r{number}", 0, 1, -1, 1, 1, (), 7)
        new_node.scheduler.early.add(ask, "n2", 10.0)
    new_node._update_gauges(11.0)
    new_node._update_gauges(12.0)
    logged = _logged(new_node, catalogue.EventKind.ASKS_MISDIRECTED)
    assert [(e["group"], e["count"]) for e in logged] == [("pool@col-a", 3)]
    page = new_node.metrics.render()
    assert b"baobabmux_misdirected_asks_total 3.0" in page


def test_owner_that_a_node_names_is_logged_once():
    """Guards against nodes that disagree about an owner unnoticed."""
    new_node = _make_node()
    endpoint = declarations.Endpoint("pool", "col-a", "vm", "127.0.0.1:1")
    new_node.scheduler.view.configuration = declarations.Configuration(
        tiers={},
        services={"pool": declarations.Service("engine")},
        endpoints={"e": endpoint},
        routes={},
        presets={},
        active="p",
    )
    new_node._watch.check([])
    new_node._watch.check([])
    logged = _logged(new_node, catalogue.EventKind.OWNER_CHANGED)
    assert logged == [
        {"group": "pool@col-a", "owner": "n1", "previous": None, "acts": False}
    ]
