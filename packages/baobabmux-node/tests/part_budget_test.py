"""Tests that answers which are dear to parse are given up."""

import curio
import endpoint_doubles
import pytest

from baobabmux_core import states
from baobabmux_node import client, part_budget, relay

_HEAD = b"HTTP/1.1 200 OK\r\nrequest: r\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_STREAM = _HEAD + b"content-type: text/event-stream\r\n" + _CHUNKED
_INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
_WHOLE = _HEAD + b"content-length: 1\r\n\r\nx"
_END = b"0\r\n\r\n"
_TIMEOUT_SECONDS = 20.0
_EVENT_PARTS = (b"data: ", b"x", b"\n", b"\n")


def _chunks(*parts):
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


async def _run(answer):
    listener = curio.tcp_server_socket("127.0.0.1", 0)

    async def serve():
        peer, _ = await listener.accept()
        async with peer:
            await peer.recv(10_000)
            await peer.sendall(answer)

    await curio.spawn(serve, daemon=True)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    adapter = relay.RelayAdapter(endpoint_doubles.Dialect(_TIMEOUT_SECONDS))
    result = await adapter.run(
        endpoint_doubles.call(address, _TIMEOUT_SECONDS),
        endpoint_doubles.Sink(),
    )
    await listener.close()
    return result


_FREE = part_budget.FREE_PARTS
_MANY = 2 * _FREE


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        (_HEAD + _CHUNKED + _chunks(*[b"x"] * _FREE) + _END, "completed"),
        (_HEAD + _CHUNKED + _chunks(*[b"x"] * _MANY) + _END, "garbage"),
        (_HEAD + _CHUNKED + _chunks(*[b"xxxx"] * _MANY) + _END, "completed"),
        (_STREAM + _chunks(*_EVENT_PARTS * _FREE) + _END, "completed"),
        (_STREAM + _chunks(*[b"x"] * _MANY), "garbage"),
        (part_budget.MAX_INTERIM_ANSWERS * _INTERIM + _WHOLE, "completed"),
        ((part_budget.MAX_INTERIM_ANSWERS + 1) * _INTERIM, "garbage"),
    ],
    ids=[
        "free parts", "many parts", "many parts of some bytes",
        "many events in parts", "event of many parts", "interim answers",
        "many interim answers",
    ],
)  # fmt: skip
def test_answer_may_cost_in_proportion_to_what_it_brings(answer, outcome):
    """Guards against an endpoint that takes the time of all others (CONFIG).

    A sound answer in small parts is not cut.
    """
    result = curio.run(_run, answer)
    assert result.outcome is states.Outcome(outcome)


def test_budget_of_a_connection_begins_anew_with_each_request():
    """Guards against a kept connection that is given up after some requests."""
    connection = client.ClientConnection("127.0.0.1:9")
    connection.answer_budget.add(1)
    connection.begin_answer()
    assert connection.answer_budget.parts == 0
