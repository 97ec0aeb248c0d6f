"""Tests of requests that callers send ahead of the answers."""

import contextlib
import random
import socket

import curio
import pytest

from baobabmux_node import receive_buffers, server, sockets

_MAX_AHEAD_BYTES = 2_000
_SENT_BYTES = 4_000_000


def _request(path, body=b""):
    length = f"Content-Length: {len(body)}"
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\n{length}\r\n\r\n"
    return head.encode() + body


class _Server:
    """A server that answers a request once the gate of its path is open.

    Attributes:
        paths: Paths of the requests in the order of their answers.
        gone: Paths of the requests whose callers left.
    """

    def __init__(self):
        self.paths = []
        self.gone = []
        self.gates = {}
        self.server = server.Server(
            "127.0.0.1",
            0,
            self._handle,
            server.Limits(
                max_header_bytes=_MAX_AHEAD_BYTES - 1,
                max_ahead_bytes=_MAX_AHEAD_BYTES,
            ),
        )

    async def _handle(self, exchange):
        await exchange.read_body(100_000)
        if gate := self.gates.get(exchange.path):
            watcher = await curio.spawn(
                self._watch, exchange, gate, daemon=True
            )
            await gate.wait()
            await watcher.cancel()
        self.paths.append(exchange.path)
        await exchange.respond(200, {}, exchange.body)

    async def _watch(self, exchange, gate):
        with contextlib.suppress(OSError):
            await exchange.wait_for_close()
        self.gone.append(exchange.path)
        await gate.set()

    async def __aenter__(self):
        self.server.start()
        self._task = await curio.spawn(self.server.serve, daemon=True)
        return self

    async def __aexit__(self, *_):
        await self._task.cancel()

    async def connect(self):
        return await curio.open_connection("127.0.0.1", self.server.port)

    def received_bytes(self):
        return sum(len(each.received.data) for each in self.server._open)


async def _read(peer, count):
    """Reads until so many answers have arrived whole."""
    data = b""
    async with curio.timeout_after(20):
        while data.count(b"HTTP/1.1 ") < count or not data.endswith(
            b"\r\n\r\n"
        ):
            data += await peer.recv(65_536)
    return data


async def _until(condition):
    async with curio.timeout_after(20):
        while not condition():
            await curio.sleep(0.01)


def test_bytes_sent_ahead_are_bounded():
    async def run():
        async with _Server() as served:
            served.gates["/slow"] = curio.Event()
            peer = await served.connect()
            ahead = _request("/next") * (_SENT_BYTES // len(_request("/next")))
            sender = await curio.spawn(
                peer.sendall, _request("/slow") + ahead, daemon=True
            )
            await _until(lambda: served.server.sent_ahead)
            await curio.sleep(0.1)
            assert served.received_bytes() <= _MAX_AHEAD_BYTES
            await sender.cancel()
            await peer.close()

    curio.run(run)


def test_requests_beyond_the_bound_are_served_in_order():
    async def run():
        async with _Server() as served:
            gate = served.gates["/slow"] = curio.Event()
            peer = await served.connect()
            paths = [f"/{number}" for number in range(300)]
            data = b"".join(map(_request, ["/slow", *paths]))
            assert len(data) > 4 * _MAX_AHEAD_BYTES
            await peer.sendall(data)
            await _until(lambda: served.server.sent_ahead)
            await gate.set()
            await _read(peer, len(paths) + 1)
            assert served.paths == ["/slow", *paths]
            assert served.gone == []
            await peer.close()

    curio.run(run)


@pytest.mark.parametrize("framing", ["length", "chunks"])
def test_bodies_and_requests_after_them_are_kept_apart(framing):
    body = b"b" * 3 * _MAX_AHEAD_BYTES
    sent = _request("/first", body)
    if framing == "chunks":
        head = b"POST /first HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked"
        chunk = b"%x\r\n%b\r\n" % (len(body) // 3, body[: len(body) // 3])
        sent = head + b"\r\n\r\n" + 3 * chunk + b"0\r\n\r\n"

    async def run():
        async with _Server() as served:
            peer = await served.connect()
            await peer.sendall(sent + _request("/second") + _request("/third"))
            data = await _read(peer, 3)
            assert data.count(body) == 1
            assert served.paths == ["/first", "/second", "/third"]
            await peer.close()

    curio.run(run)


def _random_requests(generator):
    """Returns the bytes of some requests, and their paths and bodies."""
    data, expected = b"", []
    for number in range(generator.randrange(1, 12)):
        path = f"/{number}"
        body = generator.randbytes(generator.choice((0, 1, 500, 5_000)))
        expected.append((path, body))
        if generator.random() < 0.5:
            data += _request(path, body)
            continue
        data += f"POST {path} HTTP/1.1\r\nHost: x\r\n".encode()
        data += b"Transfer-Encoding: chunked\r\n\r\n"
        while body:
            size = generator.randrange(1, len(body) + 1)
            data += b"%x\r\n%b\r\n" % (size, body[:size])
            body = body[size:]
        data += b"0\r\n\r\n"
    return data, expected


@pytest.mark.parametrize("seed", range(30))
def test_requests_are_the_same_however_they_arrive(seed):
    """Guards against bytes that are lost, doubled or taken by another request.

    The handler lets some requests wait, so that bytes arrive at each moment.
    """
    generator = random.Random(seed)
    data, expected = _random_requests(generator)
    handled = []

    async def handle(exchange):
        if generator.random() < 0.3:
            await curio.sleep(0.002)
        await exchange.read_body(100_000)
        watcher = await curio.spawn(exchange.wait_for_close, daemon=True)
        await curio.sleep(generator.choice((0, 0, 0.002)))
        await watcher.cancel()
        handled.append((exchange.path, exchange.body))
        await exchange.respond(200, {}, b"")

    async def run():
        served = server.Server(
            "127.0.0.1",
            0,
            handle,
            server.Limits(
                max_header_bytes=_MAX_AHEAD_BYTES - 1,
                max_ahead_bytes=_MAX_AHEAD_BYTES,
            ),
        )
        served.start()
        task = await curio.spawn(served.serve, daemon=True)
        peer = await curio.open_connection("127.0.0.1", served.port)
        rest = data
        while rest:
            size = generator.choice((1, 7, 100, 3_000, len(rest)))
            await peer.sendall(rest[:size])
            rest = rest[size:]
            await curio.sleep(generator.choice((0, 0, 0.001)))
        await _until(lambda: len(handled) == len(expected))
        await peer.close()
        await task.cancel()

    curio.run(run)
    assert handled == expected


@pytest.mark.parametrize("ahead", [0, 10, 10_000])
def test_reset_of_a_caller_that_sends_ahead_is_noticed(ahead):
    """Guards against a request that goes on for a caller that has left."""

    async def run():
        async with _Server() as served:
            served.gates["/slow"] = curio.Event()
            peer = await served.connect()
            await peer.sendall(_request("/slow") + b"x" * ahead)
            await _until(lambda: served.received_bytes() >= min(ahead, 2_000))
            sockets.set_reset_on_close(peer, True)
            await peer.close()
            await _until(lambda: served.gone)
            assert served.gone == ["/slow"]

    curio.run(run)


def test_requests_sent_ahead_let_other_callers_be_served():
    """Guards against a loop that one connection keeps to itself."""

    async def run():
        async with _Server() as served:
            first, second = await served.connect(), await served.connect()
            await _until(lambda: served.server.connections == 2)
            ahead = 30
            await first.sendall(_request("/a") * ahead)
            await second.sendall(_request("/b"))
            await _read(second, 1)
            assert served.paths.index("/b") < ahead - 1
            await first.close()
            await second.close()

    curio.run(run)


def test_each_connection_is_counted_once_it_is_accepted():
    """Guards against callers beyond the limit that arrive all at once."""

    async def run():
        served = _Server()
        served.server.max_connections = 5
        served.server.start()
        callers = []
        for _ in range(20):
            caller = socket.socket()
            caller.connect(("127.0.0.1", served.server.port))
            callers.append(caller)
        task = await curio.spawn(served.server.serve, daemon=True)
        await curio.sleep(0.3)
        assert served.server.connections == 5
        await task.cancel()
        for caller in callers:
            caller.close()

    curio.run(run)


def test_bytes_that_are_put_back_come_first():
    buffer = receive_buffers.ReceiveBuffer(None, lambda: None)
    buffer.data += b"cd"
    buffer.put_back(b"ab")
    assert buffer.take(3) == b"abc"
    assert buffer.take(3) == b"d"
