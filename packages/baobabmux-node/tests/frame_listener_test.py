"""Tests of the listener for other nodes: frames, bounds, refusals."""

import struct

import curio
import pynng
import pytest

from baobabmux_node import clock, frame_listener

_PREAMBLE = b"\x00SP\x00\x00\x50\x00\x00"
_ANSWER = b"\x00SP\x00\x00\x51\x00\x00"
_MAX_CONNECTIONS = 2


def _framed(data):
    return struct.pack(">Q", len(data)) + data


class _Listening:
    """A listener that keeps the frames which it receives.

    Attributes:
        listener: The listener.
        frames: Frames in the order of their handling.
    """

    def __init__(self):
        self.listener = frame_listener.FrameListener(_MAX_CONNECTIONS)
        self.listener.start("127.0.0.1", 0)
        self.frames = []

    async def handle(self, frame):
        self.frames.append(frame)
        return frame.startswith(b"sound")

    async def connect(self, data=b""):
        """Opens a connection and sends the preamble and other bytes."""
        host, _, port = self.listener.address.rpartition(":")
        peer = await curio.open_connection(host, int(port))
        await peer.sendall(_PREAMBLE + data)
        return peer

    async def wait_for_frames(self, *expected):
        """Waits until the frames have been handled."""
        async with curio.timeout_after(10.0):
            while len(self.frames) < len(expected):
                await curio.sleep(0.01)
        assert self.frames == list(expected)


def _run(scenario):
    async def run():
        listening = _Listening()
        task = await curio.spawn(
            listening.listener.serve, listening.handle, daemon=True
        )
        try:
            await scenario(listening)
            assert not task.terminated
        finally:
            await task.cancel()
            listening.listener.close()

    curio.run(run)


async def _is_closed(peer):
    """Waits for what the listener sends; returns whether it closes."""
    async with curio.timeout_after(10.0):
        data = b""
        while len(data) < len(_ANSWER):
            try:
                part = await peer.recv(len(_ANSWER))
            except ConnectionResetError:
                return True
            if not part:
                return True
            data += part
        assert data == _ANSWER
    return False


async def _wait_closed(peer):
    async with curio.timeout_after(10.0):
        while not await _is_closed(peer):
            pass


def test_frames_of_a_push_socket_arrive_in_order():
    """Guards against a reader that does not understand what nng sends."""
    sent = [b"sound 1", b"", b"x" * 300_000, b"sound 2"]

    async def scenario(listening):
        with pynng.Push0(send_buffer_size=len(sent)) as socket:
            socket.dial(f"tcp://{listening.listener.address}", block=False)
            for frame in sent:
                socket.send(frame, block=False)
            await listening.wait_for_frames(*sent)

    _run(scenario)


def test_frames_arrive_however_they_are_cut():
    """Guards against frames that are lost between two reads."""
    sent = [b"sound", b"", b"sound again"]

    async def scenario(listening):
        peer = await listening.connect()
        for byte in b"".join(_framed(frame) for frame in sent):
            await peer.sendall(bytes([byte]))
            await curio.sleep(0.001)
        await listening.wait_for_frames(*sent)

    _run(scenario)


def test_frames_before_the_end_of_a_connection_are_handled():
    """Guards against the last messages of a node that stops."""

    async def scenario(listening):
        peer = await listening.connect(_framed(b"sound 1") + _framed(b"sound"))
        await peer.close()
        await listening.wait_for_frames(b"sound 1", b"sound")

    _run(scenario)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"GET / HTTP/1.1\r\n\r\n", id="other protocol"),
        pytest.param(
            _PREAMBLE + struct.pack(">Q", 2**63), id="frame beyond the limit"
        ),
    ],
)
def test_connection_of_no_node_is_closed(data):
    """Guards against memory for what is no frame."""

    async def scenario(listening):
        host, _, port = listening.listener.address.rpartition(":")
        peer = await curio.open_connection(host, int(port))
        await peer.sendall(data)
        await _wait_closed(peer)
        assert listening.frames == []

    _run(scenario)


def test_connections_are_bounded():
    """Guards against clients that take the descriptors of a node."""

    async def scenario(listening):
        peers = []
        for _ in range(5):
            peers.append(await listening.connect(_framed(b"sound")))
            assert listening.listener.connections <= _MAX_CONNECTIONS
        closed = 0
        for peer in peers:
            closed += await _is_closed(peer)
            assert listening.listener.connections <= _MAX_CONNECTIONS
        assert closed == len(peers) - _MAX_CONNECTIONS
        assert listening.listener.waits == closed
        await listening.wait_for_frames(b"sound", b"sound")

    _run(scenario)


def test_memory_of_unfinished_frames_is_bounded():
    """Guards against clients that take the memory of a node (LOST)."""

    async def scenario(listening):
        listening.listener.memory.max_bytes = 1_000_000
        part = _framed(b"x" * 900_000)[:-1]
        peers = [await listening.connect(part) for _ in range(2)]
        async with curio.timeout_after(10.0):
            while listening.listener.connections > 1:
                used = listening.listener.memory.used.total()
                assert used <= listening.listener.memory.max_bytes
                await curio.sleep(0.01)
        assert listening.listener.memory.refused.total() == 1
        for peer in peers:
            await peer.close()

    _run(scenario)


def test_room_of_a_frame_is_returned():
    """Guards against an account that fills with frames that were handled."""
    frame = b"sound" + b"x" * 600_000

    async def scenario(listening):
        listening.listener.memory.max_bytes = 1_000_000
        peer = await listening.connect()
        for _ in range(5):
            await peer.sendall(_framed(frame))
        await listening.wait_for_frames(*5 * [frame])
        await peer.close()
        async with curio.timeout_after(10.0):
            while listening.listener.connections:
                await curio.sleep(0.01)
        assert listening.listener.memory.used.total() == 0

    _run(scenario)


@pytest.mark.parametrize(
    "part",
    [
        pytest.param(_framed(b"sound")[:-1], id="frame"),
        pytest.param(_framed(b"sound")[:3], id="length"),
        pytest.param(_framed(b"sound")[:8], id="first byte"),
    ],
)
def test_frame_that_never_ends_is_given_up(part):
    """Guards against memory that is held for a frame for ever."""

    async def scenario(listening):
        listener = listening.listener
        peer = await listening.connect(_framed(b"sound") + part)
        idle = await listening.connect(_framed(b"sound"))
        await listening.wait_for_frames(b"sound", b"sound")
        now = clock.now()
        listener.close_unfinished(now)
        assert listener.unfinished == 0
        listener.close_unfinished(now + 2 * listener.frame_timeout_seconds)
        await _wait_closed(peer)
        assert listener.unfinished == 1
        await idle.sendall(_framed(b"sound again"))
        await listening.wait_for_frames(b"sound", b"sound", b"sound again")

    _run(scenario)


def test_connection_that_sends_no_frames_gives_way():
    """Guards against clients that keep out a node that starts (LOST)."""

    async def scenario(listening):
        node = await listening.connect(_framed(b"sound"))
        await listening.wait_for_frames(b"sound")
        silent = await listening.connect()
        late = await listening.connect(_framed(b"sound late"))
        await listening.wait_for_frames(b"sound", b"sound late")
        await _wait_closed(silent)
        assert listening.listener.connections == _MAX_CONNECTIONS
        await node.sendall(_framed(b"sound 2"))
        await late.sendall(_framed(b"sound 3"))
        async with curio.timeout_after(10.0):
            while len(listening.frames) < 4:
                await curio.sleep(0.01)

    _run(scenario)


def test_silent_connection_of_a_node_gives_way(monkeypatch):
    """Guards against places that connections of dead VMs keep for ever."""

    async def scenario(listening):
        silent = await listening.connect(_framed(b"sound"))
        await listening.wait_for_frames(b"sound")
        node = await listening.connect(_framed(b"sound 2"))
        await listening.wait_for_frames(b"sound", b"sound 2")
        monkeypatch.setattr(frame_listener, "_MAX_SILENCE_SECONDS", 0.0)
        late = await listening.connect(_framed(b"sound 3"))
        await listening.wait_for_frames(b"sound", b"sound 2", b"sound 3")
        await _wait_closed(silent)
        await node.sendall(_framed(b"sound 4"))
        await late.close()
        async with curio.timeout_after(10.0):
            while len(listening.frames) < 4:
                await curio.sleep(0.01)

    _run(scenario)


def test_connection_that_only_sends_other_bytes_is_closed():
    """Guards against clients that occupy a node with frames that are none."""

    async def scenario(listening):
        peer = await listening.connect(_framed(b"none") * 2)
        await _wait_closed(peer)
        assert listening.frames == [b"none"]

    _run(scenario)


def test_frame_of_a_node_that_is_unknown_here_ends_nothing():
    """Guards against connections that break off beside newer builds."""

    async def scenario(listening):
        sent = [b"sound", b"none", b"sound 2"]
        await listening.connect(b"".join(_framed(frame) for frame in sent))
        await listening.wait_for_frames(*sent)

    _run(scenario)
