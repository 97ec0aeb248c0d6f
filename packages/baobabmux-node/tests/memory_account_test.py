"""Tests of the room for bodies: who waits, who is refused, who is served."""

import curio
import pytest

from baobabmux_node import memory_account, server

_LARGE = 40_000
_ROOM = 50_000


class _HoldingServer:
    """Answers each request to "/held" once `released` is set."""

    def __init__(self):
        self.server = server.Server(
            "127.0.0.1", 0, self._handle, server.Limits()
        )
        self.server.memory.max_bytes = _ROOM
        self.released = curio.Event()

    async def _handle(self, exchange):
        try:
            await exchange.read_body(_LARGE)
        except server.RequestError as error:
            await exchange.respond(503, {}, error.detail.encode())
            return
        if exchange.path == "/held":
            await self.released.wait()
        await exchange.respond(200, {}, str(len(exchange.body)).encode())

    async def send(self, path, size, chunked=False):
        """Sends a request and returns the connection."""
        peer = await curio.open_connection("127.0.0.1", self.server.port)
        await peer.sendall(_request(path, size, chunked))
        return peer


def _request(path, size, chunked=False):
    head = b"POST %b HTTP/1.1\r\nHost: x\r\n" % path
    if not chunked:
        return head + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
    chunks = b"a\r\n" + b"x" * 10 + b"\r\n"
    return (
        head
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + chunks * (size // 10)
        + b"0\r\n\r\n"
    )


async def _read_status(peer):
    data = b""
    while b"\r\n\r\n" not in data:
        part = await peer.recv(65536)
        assert part, "the connection was closed"
        data += part
    return data.split()[1]


def _play(scenario):
    async def run():
        served = _HoldingServer()
        served.server.start()
        await curio.spawn(served.server.serve, daemon=True)
        async with curio.timeout_after(20.0):
            await scenario(served)
            # Each connection returns its room when it has been served.
            while served.server.memory.used.total():
                await curio.sleep(0.01)

    curio.run(run)


async def _hold_one(served):
    first = await served.send(b"/held", _LARGE)
    while served.server.memory.used.total() < _LARGE:
        await curio.sleep(0.01)
    return first


@pytest.mark.parametrize("chunked", [False, True])
def test_body_without_room_is_refused(chunked):
    """Guards against bodies that exceed the memory of a node (LOST)."""

    async def scenario(served):
        first = await _hold_one(served)
        second = await served.send(b"/", _LARGE, chunked)
        assert await _read_status(second) == b"503"
        assert served.server.memory.used.total() <= _ROOM
        assert served.server.memory.refused.total() == 1
        await served.released.set()
        assert await _read_status(first) == b"200"

    _play(scenario)


def test_body_waits_for_room(monkeypatch):
    """Guards against a refusal where there is room a moment later."""
    monkeypatch.setattr(memory_account, "_MAX_WAIT_SECONDS", 10.0)

    async def scenario(served):
        first = await _hold_one(served)
        second = await served.send(b"/", _LARGE)
        await curio.sleep(0.1)
        assert served.server.memory.used.total() == _LARGE
        await served.released.set()
        for peer in (first, second):
            assert await _read_status(peer) == b"200"
        assert served.server.memory.refused.total() == 0

    _play(scenario)


@pytest.mark.parametrize("chunked", [False, True])
def test_usual_body_is_served_beside_oversized_ones(chunked):
    """Guards against oversized bodies that lock all others out."""

    async def scenario(served):
        first = await _hold_one(served)
        served.server.memory.max_bytes = _LARGE
        small = await served.send(b"/", 2_000, chunked)
        assert await _read_status(small) == b"200"
        await served.released.set()
        assert await _read_status(first) == b"200"

    _play(scenario)


def test_caller_that_leaves_returns_its_room():
    """Guards against room that is lost with each broken upload."""

    async def scenario(served):
        request = _request(b"/", _LARGE)
        async with await curio.open_connection(
            "127.0.0.1", served.server.port
        ) as peer:
            await peer.sendall(request[: len(request) // 2])
            while not served.server.memory.used.total():
                await curio.sleep(0.01)

    _play(scenario)


def test_requests_and_answers_share_the_account():
    """Guards against bounds whose sum exceeds the memory of a node (LOST)."""
    account = memory_account.MemoryAccount(1_000_000)
    request = memory_account.Holding(account, memory_account.Use.REQUEST)
    answer = memory_account.Holding(account, memory_account.Use.ANSWER)

    async def run():
        await request.extend(900_000)
        with pytest.raises(memory_account.NoRoomError):
            await answer.extend(200_000)
        assert account.refused[memory_account.Use.ANSWER] == 1
        request.release()
        await answer.extend(200_000)
        assert account.used.total() == 200_000

    curio.run(run)


def test_answer_is_counted_until_its_caller_has_it():
    """Guards against answers that are in memory but in no account."""

    async def handle(exchange):
        await exchange.read_body(0)
        exchange.hold(_LARGE)
        held.append(served.memory.used[memory_account.Use.ANSWER])
        await exchange.respond(200, {}, b"x" * _LARGE)

    async def run():
        served.start()
        await curio.spawn(served.serve, daemon=True)
        peer = await curio.open_connection("127.0.0.1", served.port)
        await peer.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        async with curio.timeout_after(20.0):
            assert await _read_status(peer) == b"200"
            while served.memory.used.total():
                await curio.sleep(0.01)
        await peer.close()

    held = []
    served = server.Server("127.0.0.1", 0, handle, server.Limits())
    curio.run(run)
    assert held == [_LARGE]
