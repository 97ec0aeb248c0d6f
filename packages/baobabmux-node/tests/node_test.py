"""Tests of how a node starts and ends."""

import signal

import curio
import pytest

from baobabmux_node import node, settings

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
_ANY = settings.Address("127.0.0.1", 0)
_NOWHERE = settings.Address("127.0.0.1", 9)


def _node():
    return node.Node(
        settings.Settings("n1", "col-a", _ANY, _ANY, _ANY, _NOWHERE, _NOWHERE)
    )


@pytest.fixture(autouse=True)
def _restore_signal_handlers():
    handlers = [signal.getsignal(number) for number in _SIGNALS]
    yield
    for number, handler in zip(_SIGNALS, handlers, strict=True):
        signal.signal(number, handler)


def test_failed_job_ends_the_node(monkeypatch):
    """Guards against a node that drains for ever or serves half."""
    made = _node()

    async def fail():
        raise RuntimeError("a job failed")

    monkeypatch.setattr(made.ports, "_poll_vms", fail)
    with pytest.raises(RuntimeError, match="a job failed"):
        curio.run(made.run)


def test_failed_shutdown_ends_the_node(monkeypatch):
    """Guards against a node that ignores SIGTERM after a fault."""
    made = _node()

    async def fail():
        raise RuntimeError("the shutdown failed")

    monkeypatch.setattr(made.ports.claims, "settle", fail)
    made._request_stop(0, None)
    with pytest.raises(RuntimeError, match="the shutdown failed"):
        curio.run(made.run)


def test_idle_node_stops():
    """Guards against a stop that waits for something that never comes."""
    made = _node()
    made._request_stop(0, None)
    curio.run(made.run)
    assert made.events.timeline.select()[-1].kind == 103
