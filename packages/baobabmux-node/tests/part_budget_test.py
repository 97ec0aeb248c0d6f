"""Tests that answers which are dear to parse are given up."""

import curio
import pytest

from baobabmux_core import states
from baobabmux_node import adapters, client, clock, part_budget, relay

_HEAD = b"HTTP/1.1 200 OK\r\nrequest: r\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_STREAM = _HEAD + b"content-type: text/event-stream\r\n" + _CHUNKED
_INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
_WHOLE = _HEAD + b"content-length: 1\r\n\r\nx"
_END = b"0\r\n\r\n"
_EVENT_PARTS = (b"data: ", b"x", b"\n", b"\n")


def _chunks(*parts):
    return b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)


class _Dialect(relay.Dialect):
    def request_fields(self, call, last_event):
        return [("Host", "x")]

    def classify(self, call, head):
        return relay.Verdict.ANSWER

    def answer_headers(self, head):
        return {}

    def answer_timeouts(self, call):
        return relay.AnswerTimeouts(20.0, 20.0)

    def tokens_per_event(self, call):
        return 1


class _Sink(adapters.Sink):
    def __init__(self):
        self.tokens = 0
        self.last_event = None
        self.size = 0

    async def head(self, status, headers):
        return

    async def data(self, data):
        self.size += len(data)

    def progress(self, tokens):
        self.tokens = tokens


async def _run(answer):
    listener = curio.tcp_server_socket("127.0.0.1", 0)

    async def serve():
        peer, _ = await listener.accept()
        async with peer:
            await peer.recv(10_000)
            await peer.sendall(answer)

    await curio.spawn(serve, daemon=True)
    call = adapters.Call(
        address=f"127.0.0.1:{listener.getsockname()[1]}",
        method="GET",
        target="/a",
        headers={},
        body=b"",
        timeout=20.0,
        permit=lambda: True,
        endpoint="r",
        repeatable=True,
        deadline=clock.now() + 20.0,
    )
    sink = _Sink()
    result = await relay.RelayAdapter(_Dialect()).run(call, sink)
    await listener.close()
    return result, sink


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
    result, _ = curio.run(_run, answer)
    assert result.outcome is states.Outcome(outcome)


def test_budget_of_a_connection_begins_anew_with_each_request():
    """Guards against a kept connection that is given up after some requests."""
    connection = client.ClientConnection("127.0.0.1:9")
    connection.answer_budget.add(1)
    connection.begin_answer()
    assert connection.answer_budget.parts == 0
