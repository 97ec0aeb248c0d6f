"""Tests that no input, however much there is of it, holds the loop.

The senders are processes of their own: one that shares the loop of the node
waits while the node works, so that its input runs dry (see
`endless_answers_test`).
"""

import contextlib
import pathlib
import socket
import struct
import subprocess
import sys

import curio
import endpoint_doubles
import h11
import pytest
from curio import kernel

from baobabmux_core import states
from baobabmux_node import (
    adapters,
    client,
    engines,
    frame_listener,
    relay,
    server,
    tunnels,
)

_FLOOD = str(pathlib.Path(__file__).with_name("flood.py"))
_BYTES = 1_000_000
# Reads and parsed parts after which others must have had a turn.
_MAX_STEPS = 64
_TIMEOUT_SECONDS = 20.0

_HEAD = b"HTTP/1.1 200 OK\r\nrequest: r\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_STREAM = _HEAD + b"content-type: text/event-stream\r\n"
_TINY_CHUNK = b"1\r\nx\r\n"
_EVENT = b"data: x\n\n"
_ANSWERS = {
    "chunks of one byte": (_HEAD + _CHUNKED, _TINY_CHUNK),
    "event in chunks of one byte": (_STREAM + _CHUNKED, _TINY_CHUNK),
    "events": (_STREAM + b"\r\n", _EVENT),
    "events in chunks": (_STREAM + _CHUNKED, b"9\r\n%b\r\n" % _EVENT),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "body": (_HEAD + b"\r\n", b"x" * 1_000),
    "blank lines": (b"", b"\r\n"),
    "refusal in chunks of one byte": (
        b"HTTP/1.1 503 x\r\nrequest: r\r\nnot-run: 1\r\n" + _CHUNKED,
        _TINY_CHUNK,
    ),
}


class _Steps(kernel.Activation):
    """Counts reads and parsed parts, from one wait of a task to the next.

    Attributes:
        count: Number of them since the last wait.
        most: Highest of these numbers.
    """

    def __init__(self, monkeypatch):
        self.most = 0
        self.count = 0
        self._patch(monkeypatch, h11.Connection, "next_event")
        self._patch(monkeypatch, socket.socket, "recv")
        self._patch(monkeypatch, engines, "_parse_event")

    def _patch(self, monkeypatch, owner, name):
        original = getattr(owner, name)

        def counted(*arguments):
            self.count += 1
            return original(*arguments)

        monkeypatch.setattr(owner, name, counted)

    def running(self, task):
        """Begins to count; the kernel of curio calls it."""
        self.count = 0

    def suspended(self, task, trap):
        """Ends to count; the kernel of curio calls it."""
        self.most = max(self.most, self.count)


@contextlib.contextmanager
def _flood(mode, *arguments):
    """Starts a sender; returns its port and its process."""
    words = [a.hex() if isinstance(a, bytes) else str(a) for a in arguments]
    with subprocess.Popen(
        [sys.executable, _FLOOD, mode, *words], stdout=subprocess.PIPE
    ) as process:
        try:
            yield int(process.stdout.readline()), process
        finally:
            process.kill()


_ADAPTERS = {
    "relay": lambda: relay.RelayAdapter(
        endpoint_doubles.Dialect(_TIMEOUT_SECONDS)
    ),
    "plain": adapters.PlainServiceAdapter,
    "engine": engines.ModelEngineAdapter,
}


@pytest.mark.parametrize("adapter", _ADAPTERS)
@pytest.mark.parametrize("shape", _ANSWERS)
def test_answer_of_an_endpoint_does_not_hold_the_loop(
    shape, adapter, monkeypatch
):
    """Guards against an endpoint that stops its node (CONFIG)."""
    steps = _Steps(monkeypatch)
    with _flood("serve", *_ANSWERS[shape], _BYTES) as (port, _):
        result = curio.run(
            _ADAPTERS[adapter]().run,
            endpoint_doubles.call(f"127.0.0.1:{port}", _TIMEOUT_SECONDS),
            endpoint_doubles.Sink(),
            activations=[steps],
        )
    assert isinstance(result.outcome, states.Outcome)
    assert 0 < steps.most <= _MAX_STEPS


@pytest.mark.parametrize("shape", ["chunks of one byte", "interim answers"])
def test_answer_to_a_call_of_the_node_does_not_hold_the_loop(
    shape, monkeypatch
):
    """Guards against a store or a peer that stops a node."""
    steps = _Steps(monkeypatch)

    async def fetch(address):
        with contextlib.suppress(client.ClientError):
            await client.fetch(address, "GET", "/", timeout=_TIMEOUT_SECONDS)

    with _flood("serve", *_ANSWERS[shape], _BYTES) as (port, _):
        curio.run(fetch, f"127.0.0.1:{port}", activations=[steps])
    assert 0 < steps.most <= _MAX_STEPS


@pytest.mark.parametrize("count", [1, 20])
def test_blank_lines_end_a_connection(count):
    """Guards against callers without a key that take a node's time (CONFIG)."""
    limits = server.Limits()

    async def handle(exchange):
        raise AssertionError("there is no request")

    async def send(port):
        peer = await curio.open_connection("127.0.0.1", port)
        async with peer:
            with contextlib.suppress(OSError):
                for _ in range(1_000):
                    await peer.sendall(limits.max_header_bytes // 2 * b"\r\n")
            return await peer.recv(100)

    async def serve():
        callers = server.Server("127.0.0.1", 0, handle, limits)
        callers.start()
        await curio.spawn(callers.serve, daemon=True)
        tasks = [await curio.spawn(send, callers.port) for _ in range(count)]
        for task in tasks:
            await task.wait()
        while callers.connections:
            await curio.sleep(0.01)

    async def run():
        async with curio.timeout_after(_TIMEOUT_SECONDS):
            await serve()

    curio.run(run)


def test_blank_lines_before_a_request_are_skipped():
    """Guards against a caller that ends each body with an empty line."""

    async def handle(exchange):
        await exchange.respond(200, {}, b"")

    async def run():
        callers = server.Server("127.0.0.1", 0, handle, server.Limits())
        callers.start()
        await curio.spawn(callers.serve, daemon=True)
        peer = await curio.open_connection("127.0.0.1", callers.port)
        request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"
        async with peer:
            for _ in range(10):
                await peer.sendall(b"\r\n" * 1_000 + request)
                assert (await peer.recv(1_000)).startswith(b"HTTP/1.1 200")

    curio.run(run)


_UPLOAD = b"POST / HTTP/1.1\r\nHost: x\r\n"
_REQUESTS = {
    "blank lines": (b"", b"\r\n"),
    "upload in chunks of one byte": (_UPLOAD + _CHUNKED, _TINY_CHUNK),
    "upload": (_UPLOAD + b"Content-Length: 900000\r\n\r\n", b"x" * 1_000),
    "upload that is refused": (
        b"POST /refused HTTP/1.1\r\nHost: x\r\n" + _CHUNKED,
        _TINY_CHUNK,
    ),
    "requests": (b"", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
    "head": (b"GET / HTTP/1.1\r\n", b"a: b\r\n"),
}


@pytest.mark.parametrize("shape", _REQUESTS)
def test_input_of_a_caller_does_not_hold_the_loop(shape, monkeypatch):
    """Guards against a caller that stops a node."""
    steps = _Steps(monkeypatch)

    async def handle(exchange):
        if exchange.path != "/refused":
            await exchange.read_body(4 * _BYTES)
        await exchange.respond(200, {}, b"")

    async def serve():
        callers = server.Server("127.0.0.1", 0, handle, server.Limits())
        callers.start()
        await curio.spawn(callers.serve, daemon=True)
        arguments = (callers.port, *_REQUESTS[shape], _BYTES)
        with _flood("connect", *arguments) as (_, sender):
            while sender.poll() is None or callers.connections:
                await curio.sleep(0.01)

    curio.run(serve, activations=[steps])
    assert 0 < steps.most <= _MAX_STEPS


_FRAMES = {
    "small": (b"", struct.pack(">Q", 1) + b"x"),
    "large": (struct.pack(">Q", 900_000), b"x"),
}


@pytest.mark.parametrize("shape", _FRAMES)
def test_frames_do_not_hold_the_loop(shape, monkeypatch):
    """Guards against a peer that stops a node."""
    steps = _Steps(monkeypatch)

    async def handle(frame):
        steps.count += 1
        return True

    async def serve():
        listener = frame_listener.FrameListener()
        listener.start("127.0.0.1", 0)
        await curio.spawn(listener.serve, handle, daemon=True)
        first, rest = _FRAMES[shape]
        first = b"\x00SP\x00\x00\x50\x00\x00" + first
        port = listener.address.rpartition(":")[2]
        arguments = (port, first, rest, _BYTES)
        with _flood("connect", *arguments) as (_, sender):
            while sender.poll() is None or listener.connections:
                await curio.sleep(0.01)

    curio.run(serve, activations=[steps])
    assert 0 < steps.most <= _MAX_STEPS


def test_tunnel_does_not_hold_the_loop(monkeypatch):
    """Guards against a carried connection that stops the carrying node."""
    steps = _Steps(monkeypatch)

    async def ignore(head):
        return

    async def carry(source, target):
        endpoint = await curio.open_connection("127.0.0.1", source)
        downstream = await curio.open_connection("127.0.0.1", target)
        async with endpoint, downstream:
            await endpoint.sendall(b"x")
            await tunnels._copy_answer(
                endpoint, downstream, tunnels._Copied(), ignore
            )

    flood = _flood("serve", _HEAD + b"\r\n", b"x", 100 * _BYTES)
    with flood as (source, _), _flood("drain") as (target, _):
        curio.run(carry, source, target, activations=[steps])
    assert 0 < steps.most <= _MAX_STEPS
