"""Frames between nodes over pynng, driven by curio's loop."""

from collections.abc import Awaitable, Callable

import curio
import pynng
from curio.traps import _read_wait
from pynng import _nng

from baobabmux_core import ids, messages
from baobabmux_node import clock, wall_clock

_SEND_BUFFER_FRAMES = 64
_RECEIVE_BUFFER_FRAMES = 1024
_MAX_FRAME_BYTES = 4_000_000
# Two heartbeats either way; a connection that lives is acknowledged sooner.
_RECONNECT_SECONDS = 1.5

# Parameter numbers of nng_init_set_parameter and their values: with the
# defaults one socket starts 30 threads on 12 cores, with these 6.
_THREAD_LIMITS = ((1, 2), (2, 1), (3, 1), (4, 1), (5, 2), (6, 1), (7, 1))

Receiver = Callable[[messages.Frame], Awaitable[None]]


def limit_threads() -> None:
    """Limits the threads of the library; call before the first socket."""
    for parameter, value in _THREAD_LIMITS:
        _nng.lib.nng_init_set_parameter(parameter, value)


class _Sent:
    """What a node has not acknowledged yet.

    Attributes:
        oldest_unheard: Number of the first frame that it has not heard.
        since: Time at which that was so at the latest, in seconds.
    """

    def __init__(self, oldest_unheard: int, since: float):
        self.oldest_unheard = oldest_unheard
        self.since = since


class PeerTransport:
    """Sends and receives frames; delivery is at most once.

    Messages of one loop turn to one node travel in one frame.

    Attributes:
        node: Name of this node.
        incarnation: Start time in Unix milliseconds.
        address: Where this node listens, after `start`.
        sent_bytes: Bytes sent.
        received_bytes: Bytes received.
        dropped_frames: Frames that a full buffer or an unknown address lost.
        rejected_frames: Frames that could not be decoded.
        reconnects: Connections opened anew because they had gone silent.
    """

    def __init__(
        self,
        node: ids.NodeId,
        secret: bytes,
        address_of: Callable[[ids.NodeId], str | None],
        stamp: Callable[[], int],
    ):
        self.node = node
        self.incarnation = wall_clock.unix_ms()
        self.address = ""
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped_frames = 0
        self.rejected_frames = 0
        self._secret = secret
        self._address_of = address_of
        self._stamp = stamp
        self._sequence = 0
        self._pull = None
        self.reconnects = 0
        self._heard: dict[ids.NodeId, tuple[int, int]] = {}
        self._sent: dict[ids.NodeId, _Sent] = {}
        self._push: dict[ids.NodeId, tuple[str, pynng.Push0]] = {}
        self._outbox: dict[ids.NodeId, list[messages.AnyMessage]] = {}
        self._ready = curio.Event()

    def start(self, host: str, port: int) -> None:
        """Listens for other nodes."""
        self._pull = pynng.Pull0(
            recv_buffer_size=_RECEIVE_BUFFER_FRAMES,
            recv_max_size=_MAX_FRAME_BYTES,
        )
        self._pull.listen(f"tcp://{host}:{port}")
        self.address = str(self._pull.listeners[0].local_address)

    def enqueue(self, to: ids.NodeId, message: messages.AnyMessage) -> None:
        """Queues a message for the frame of this loop turn."""
        self._outbox.setdefault(to, []).append(message)

    async def send(self, to: ids.NodeId, message: messages.AnyMessage) -> None:
        """Queues a message and wakes the sending task."""
        self.enqueue(to, message)
        await self.notify()

    async def notify(self) -> None:
        """Wakes the sending task if messages are queued."""
        if self._outbox:
            await self._ready.set()

    async def send_frames(self) -> None:
        """Sends queued messages once each loop turn until cancelled."""
        while True:
            await self._ready.wait()
            self._ready.clear()
            # Other tasks of this turn may still queue messages.
            await curio.sleep(0)
            self.flush()

    def flush(self) -> None:
        """Sends all queued messages now."""
        outbox, self._outbox = self._outbox, {}
        for to, queued in outbox.items():
            self._send(to, tuple(queued))

    async def receive_frames(self, receiver: Receiver) -> None:
        """Passes frames to a receiver until cancelled."""
        while True:
            await _read_wait(self._pull.recv_fd)
            while (data := self._receive()) is not None:
                self.received_bytes += len(data)
                try:
                    frame = messages.decode_frame(data, self._secret)
                except messages.FrameError:
                    self.rejected_frames += 1
                    continue
                self._heard[frame.sender] = (frame.sequence, frame.incarnation)
                await receiver(frame)
            await curio.sleep(0)

    def heard_from(self, node: ids.NodeId) -> tuple[int, int]:
        """Returns number and incarnation of the newest frame from a node."""
        return self._heard.get(node, (-1, -1))

    def acknowledged(
        self, node: ids.NodeId, sequence: int, incarnation: int, now: float
    ) -> None:
        """Notes what a node has heard from this one.

        A connection may go silent without an end. When a node that is heard
        has missed frames for a while, the connection to it is opened anew.

        Args:
            node: Node that told.
            sequence: Number of the newest frame that it has.
            incarnation: Incarnation of this node that it had it from.
            now: Current time in seconds.
        """
        entry = self._push.get(node)
        sent = self._sent.get(node)
        if entry is None or sent is None:
            return
        current = incarnation == self.incarnation
        if current and sequence >= sent.oldest_unheard:
            sent.oldest_unheard = self._sequence + 1
            sent.since = now
        elif now - sent.since > _RECONNECT_SECONDS:
            self.reconnects += 1
            self.forget(node)

    def forget(self, node: ids.NodeId) -> None:
        """Closes the socket to a node that is gone."""
        self._sent.pop(node, None)
        entry = self._push.pop(node, None)
        if entry is not None:
            entry[1].close()

    def close(self) -> None:
        """Closes all sockets."""
        for node in list(self._push):
            self.forget(node)
        if self._pull is not None:
            self._pull.close()

    def _receive(self) -> bytes | None:
        try:
            return self._pull.recv(block=False)
        except pynng.TryAgain:
            return None

    def _send(
        self, to: ids.NodeId, queued: tuple[messages.AnyMessage, ...]
    ) -> None:
        socket = self._socket(to)
        self._sequence += 1
        frame = messages.Frame(
            self.node, self.incarnation, self._sequence, self._stamp(), queued
        )
        data = messages.encode_frame(frame, self._secret)
        if socket is None:
            self.dropped_frames += 1
            return
        try:
            socket.send(data, block=False)
            self.sent_bytes += len(data)
        except pynng.exceptions.NNGException:
            # A full buffer means that the peer is out of reach; the parts
            # repeat what they need answered.
            self.dropped_frames += 1

    def _socket(self, to: ids.NodeId) -> pynng.Push0 | None:
        address = self._address_of(to)
        known = self._push.get(to)
        if known is not None and (address is None or known[0] == address):
            return known[1]
        self.forget(to)
        if address is None:
            return None
        socket = pynng.Push0(send_buffer_size=_SEND_BUFFER_FRAMES)
        # A blocking dial would log a traceback when the peer is not up.
        socket.dial(f"tcp://{address}", block=False)
        self._push[to] = (address, socket)
        self._sent[to] = _Sent(self._sequence + 1, clock.now())
        return socket
