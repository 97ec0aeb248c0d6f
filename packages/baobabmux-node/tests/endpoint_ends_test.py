"""Tests of the detection of endpoints that have ended."""

import socket
import types

import curio
import pytest

from baobabmux_core import catalogue, states
from baobabmux_node import (
    adapters,
    client,
    endpoint_ends,
    paths,
    tunnels,
)

_ENDPOINT = "e1"


class _Host:
    """The parts of a node that the detection uses."""

    def __init__(self, address):
        self.recorded = []
        self.ended = []
        self.unfinished = (7,)
        endpoint = types.SimpleNamespace(address=address)
        self.configuration = types.SimpleNamespace(
            endpoints={_ENDPOINT: endpoint}
        )
        self.scheduler = self.ends = self
        self.driver = self
        self.events = self
        self.metrics = types.SimpleNamespace(
            endpoint_ends=types.SimpleNamespace(labels=lambda evidence: self),
            tunnels=types.SimpleNamespace(labels=lambda outcome: self),
        )
        self.paths = paths.EndpointPaths(self)

        self.carriers = list
        # What the nodes that are asked for a tunnel answer.
        self.answers = {}
        self.paths.tunnels = self

    async def open(self, peer, endpoint, address, stall_seconds, request=""):
        if self.answers[peer] is None:
            return client.ClientConnection(address)
        raise tunnels.TunnelError(self.answers[peer])

    def inc(self):
        """Counts an end or a tunnel."""

    def record(self, kind, **fields):
        if kind is catalogue.EventKind.LINK_CHANGED:
            return
        assert kind is catalogue.EventKind.ENDPOINT_ENDED
        self.recorded.append((fields["endpoint"], fields["evidence"]))

    def unfinished_contents(self, endpoint, now):
        return self.unfinished

    def unfinished_parts(self, endpoint, now):
        return ()

    def endpoint_ended(self, endpoint, now, *, certain):
        self.ended.append((endpoint, certain))
        return []

    async def apply(self, decided):
        assert decided == []


async def _attempt(host, outcome, refused=False):
    """Ends an attempt and waits longer than the probes take."""
    ends = endpoint_ends.EndpointEnds(host)
    result = adapters.Result(outcome, refused=refused)
    await ends.attempt_ended(_ENDPOINT, result)
    await curio.sleep(0.4)


def _closed_address():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return f"127.0.0.1:{listener.getsockname()[1]}"


@pytest.mark.parametrize(
    "outcome", [states.Outcome.BROKEN, states.Outcome.GARBAGE]
)
def test_endpoint_that_refuses_connections_has_ended(outcome):
    """Guards against an end that nobody notices."""
    host = _Host(_closed_address())
    curio.run(_attempt, host, outcome)
    assert host.ended == [(_ENDPOINT, True)]
    assert host.recorded == [(_ENDPOINT, "refused")]


_REFUSED = tunnels.Failure.REFUSED
_SILENT = tunnels.Failure.SILENT
_UNSUITABLE = tunnels.Failure.UNSUITABLE


@pytest.mark.parametrize(
    ("answers", "has_ended"),
    [
        ([None], False),
        ([_REFUSED], True),
        ([_SILENT], False),
        ([_UNSUITABLE, _UNSUITABLE], False),
        ([_UNSUITABLE, _REFUSED], True),
        ([_REFUSED, None], False),
    ],
)
def test_endpoint_that_refuses_one_node_has_ended_if_another_sees_it(
    answers, has_ended
):
    """Guards against taking a lost link for the end of an endpoint.

    Requests that ran there would count as harmful. A node that reaches no
    endpoint has no evidence.
    """
    host = _Host(_closed_address())
    host.answers = dict(zip(("n2", "n3"), answers, strict=False))
    host.carriers = lambda: list(host.answers)
    curio.run(_attempt, host, states.Outcome.BROKEN)
    assert host.ended == [(_ENDPOINT, True)] * has_ended


def test_endpoint_that_accepts_connections_has_not_ended():
    """Guards against taking a reset connection for an end."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host = _Host(f"127.0.0.1:{listener.getsockname()[1]}")
        curio.run(_attempt, host, states.Outcome.BROKEN)
    assert host.ended == []


@pytest.mark.parametrize(
    "outcome", [states.Outcome.COMPLETED, states.Outcome.REJECTED]
)
def test_endpoint_is_not_probed_after_an_answer(outcome):
    """Guards against connections that cost an endpoint work."""
    host = _Host(_closed_address())
    curio.run(_attempt, host, outcome)
    assert host.ended == []


def test_refused_attempt_shows_the_end_of_an_endpoint():
    """Guards against an end that only other requests notice."""
    host = _Host(_closed_address())
    curio.run(_attempt, host, states.Outcome.NOT_SENT, True)
    assert host.ended == [(_ENDPOINT, True)]


def test_end_without_unfinished_runs_is_recorded_once():
    """Guards against a line for each connection that is refused."""

    async def many():
        ends = endpoint_ends.EndpointEnds(host)
        for _ in range(20):
            await ends.record(_ENDPOINT, endpoint_ends.Evidence.REFUSED)

    host = _Host(_closed_address())
    host.unfinished = ()
    curio.run(many)
    assert len(host.recorded) == 1
