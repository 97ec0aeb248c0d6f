"""Tests of endpoints that send bytes without end."""

import contextlib
import tracemalloc

import curio
import endpoint_doubles
import pytest

from baobabmux_core import states
from baobabmux_node import (
    client,
    engines,
    event_streams,
    memory_account,
    part_budget,
    relay,
    whole_answers,
)

_HEAD = b"HTTP/1.1 200 OK\r\nrequest: r\r\n"
_STREAM = _HEAD + b"content-type: text/event-stream\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_EVENT = b"id: 1\ndata: x\n\n"
# First bytes of an answer, and those that follow them without end.
_ANSWERS = {
    "no answer": (b"", b"\x00garbage"),
    "blank lines": (b"", b"\r\n"),
    "head": (_HEAD, b"a: b\r\n"),
    "header field": (_HEAD + b"a: ", b"b"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "body of unknown length": (_HEAD + b"\r\n", b"x"),
    "chunks": (_HEAD + _CHUNKED, b"3e8\r\n%s\r\n" % (1_000 * b"x")),
    "chunk size": (_HEAD + _CHUNKED, b"0"),
    "chunk extension": (_HEAD + _CHUNKED + b"1;", b"x"),
    "trailer": (_HEAD + _CHUNKED + b"0\r\n", b"a: b\r\n"),
    "event": (_STREAM + b"\r\n" + _EVENT + b"data: ", b"x"),
    "event in chunks": (
        _STREAM + _CHUNKED,
        b"3e8\r\n%s\r\n" % (1_000 * b"x"),
    ),
}
_SILENCE_SECONDS = 2.0
_LEFT_SECONDS = 5.0
_WRITE_BYTES = 64_000
# A body may have 16 MB; sockets of both ends buffer some more.
_MAX_SENT_BYTES = 40_000_000
# Memory that 8 answers at once may take in the node.
_MAX_MEMORY_BYTES = 160_000_000
_ANSWERS_AT_ONCE = 8
_MANY_ANSWERS = 24


async def _answer(connection, first, rest, sent):
    with contextlib.suppress(OSError):
        await connection.recv(10_000)
        await connection.sendall(first)
        block = rest * (_WRITE_BYTES // len(rest))
        while sum(sent) < 2 * _ANSWERS_AT_ONCE * _MAX_SENT_BYTES:
            await connection.sendall(block)
            sent.append(len(block))
    await connection.close()


async def _call(first, rest, count):
    listener = curio.tcp_server_socket("127.0.0.1", 0)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    sent = []

    async def serve():
        while True:
            connection, _ = await listener.accept()
            await curio.spawn(
                _answer, connection, first, rest, sent, daemon=True
            )

    await curio.spawn(serve, daemon=True)
    adapter = relay.RelayAdapter(endpoint_doubles.Dialect(_SILENCE_SECONDS))
    tasks = []
    for _ in range(count):
        call = endpoint_doubles.call(address, _LEFT_SECONDS)
        tasks.append(
            await curio.spawn(adapter.run, call, endpoint_doubles.Sink())
        )
    results = [await task.join() for task in tasks]
    return results, sum(sent)


@pytest.mark.parametrize("kind", _ANSWERS)
def test_bytes_without_end_are_cut_off(kind):
    """Guards against an endpoint that fills the node's memory."""
    (result,), sent = curio.run(_call, *_ANSWERS[kind], 1)
    assert result.outcome in states.BROKEN_OUTCOMES
    assert sent <= _MAX_SENT_BYTES


def _check_memory(kind, count):
    """Checks the memory and the outcomes of answers at once."""
    tracemalloc.start()
    try:
        results, _ = curio.run(_call, *_ANSWERS[kind], count)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert {r.outcome for r in results} <= states.BROKEN_OUTCOMES
    assert peak <= _MAX_MEMORY_BYTES


@pytest.mark.parametrize("kind", ["body of unknown length", "event", "head"])
def test_memory_of_endless_answers_is_bounded(kind):
    """Guards against several such answers at once."""
    _check_memory(kind, _ANSWERS_AT_ONCE)


def test_memory_of_many_endless_answers_is_bounded():
    """Guards against a bound that holds for each answer alone.

    18 such answers took 365 MB of a node's 300 MB.
    """
    _check_memory("body of unknown length", _MANY_ANSWERS)


def test_answers_of_usual_size_arrive_beside_endless_ones():
    """Guards against a bound that ends the answers of sound endpoints."""
    account = memory_account.MemoryAccount()
    account.used[memory_account.Use.REQUEST] = 1_000_000_000
    reader = whole_answers.AnswerReader(account)
    holding = reader.holding()
    connection = _Connection(100, b"xxxx")
    assert len(curio.run(reader.read, connection, holding)) == 402
    holding.release()
    assert account.used.total() == 1_000_000_000


class _Counter:
    touched = 0


class _CountedBytes(bytes):
    """Bytes that count how many are copied to join them to others."""

    def __add__(self, other):
        _Counter.touched += len(self)
        return _CountedBytes(bytes(self) + bytes(other))

    def __radd__(self, other):
        _Counter.touched += len(other)
        return _CountedBytes(bytes(other) + bytes(self))


class _CountedArray(bytearray):
    """Bytes that count how many are added, copied, moved and searched."""

    def __iadd__(self, other):
        _Counter.touched += len(other)
        self.extend(other)
        return self

    def __bytes__(self):
        _Counter.touched += len(self)
        return bytes(memoryview(self))

    def __getitem__(self, index):
        _Counter.touched += len(self)
        return super().__getitem__(index)

    def __delitem__(self, index):
        _Counter.touched += len(self)
        super().__delitem__(index)

    def find(self, searched, start=0):
        _Counter.touched += len(self) - start
        return super().find(searched, start)

    def rfind(self, searched, start=0):
        _Counter.touched += len(self) - start
        return super().rfind(searched, start)


class _Connection:
    """Yields an event in small parts."""

    framing = client.Framing.CHUNKS

    def __init__(self, parts, part):
        self.parts = [_CountedBytes(b"\n\n"), *[part] * parts]
        self.answer_budget = part_budget.PartBudget()

    async def step(self):
        return

    async def next_part(self):
        return self.parts.pop() if self.parts else None


async def _relay_events(connection):
    adapter = relay.RelayAdapter(endpoint_doubles.Dialect(_SILENCE_SECONDS))
    splitter = event_streams.EventSplitter()
    await adapter._relay_events(
        None,
        endpoint_doubles.Sink(),
        connection,
        None,
        client.Head(200, {}),
        splitter,
    )
    assert splitter.has_events


async def _read_events(connection):
    reader = engines.EventReader(connection)
    with pytest.raises(client.ProtocolError, match="not a field"):
        await reader.next_event()


@pytest.mark.parametrize("read", [_relay_events, _read_events])
def test_event_in_small_parts_costs_no_more_than_its_length(read, monkeypatch):
    """Guards against a loop that is busy with one endpoint's event.

    Each part is joined to all before it, and all are searched again.
    """
    monkeypatch.setattr(
        event_streams, "bytearray", _CountedArray, raising=False
    )
    monkeypatch.setattr(_Counter, "touched", 0)
    connection = _Connection(20_000, _CountedBytes(b"xxxx"))
    curio.run(read, connection)
    assert _Counter.touched <= 10 * 20_000 * 4
