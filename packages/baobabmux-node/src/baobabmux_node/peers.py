"""Transport of frames between nodes.

The module owns the sockets that send, over pynng, the queues of outgoing
messages and the record of frames that peers have not acknowledged. What arrives
is read by `frame_listener`.
"""

import collections
import functools
import logging
from collections.abc import Awaitable, Callable

import curio
import pynng
from pynng import _nng

from baobabmux_core import ids, messages, revisions
from baobabmux_node import clock, frame_listener, wall_clock

_LOG = logging.getLogger(__name__)
# Failures of a kind that are logged one by one; event 904 counts all.
_MAX_LOGGED = 20
_SEND_BUFFER_FRAMES = 64
# Two heartbeat intervals in each direction; a working connection is
# acknowledged sooner.
_ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 1.5

# Parameter numbers and values for nng_init_set_parameter. On 12 cores one
# socket starts 30 threads with the defaults and 6 with these values.
_THREAD_LIMITS = ((1, 2), (2, 1), (3, 1), (4, 1), (5, 2), (6, 1), (7, 1))

Receiver = Callable[[messages.Frame], Awaitable[None]]


def limit_threads() -> None:
    """Limits the threads of nng; to be called before the first socket."""
    for parameter, value in _THREAD_LIMITS:
        _nng.lib.nng_init_set_parameter(parameter, value)


class _Unacknowledged:
    """Frames to a node that it has not acknowledged.

    Attributes:
        oldest_frame: Lowest frame number that an acknowledgement must reach.
        confirmed_at: Time in seconds at which the socket was opened or the
            newest acknowledgement arrived.
    """

    def __init__(self, oldest_frame: int, confirmed_at: float):
        self.oldest_frame = oldest_frame
        self.confirmed_at = confirmed_at


class PeerTransport:
    """Sends and receives frames; delivery is at most once.

    Messages to a node that are queued in one loop iteration share a frame.

    Attributes:
        node: Name of this node.
        incarnation: Start time in Unix milliseconds.
        listener: Receives the frames of other nodes.
        sent_bytes: Bytes sent.
        received_bytes: Bytes received.
        dropped_frames: Frames dropped for a full buffer or an unknown address.
        rejected_frames: Frames that could not be decoded.
        unknown: Counts of what was unknown in the frames of other builds.
        revisions: Revisions of the peers.
        unencodable: Numbers of messages that no frame can carry, by type.
        failed_frames: Frames whose handling ended with an unexpected error.
        reconnects: Connections closed because the peer acknowledged no frames;
            the next frame opens a new one.
    """

    def __init__(
        self,
        node: ids.NodeId,
        secret: bytes,
        address_of: Callable[[ids.NodeId], str | None],
        stamp: Callable[[], int],
        listener: frame_listener.FrameListener | None = None,
    ):
        self.node = node
        self.incarnation = wall_clock.unix_ms()
        self.listener = listener or frame_listener.FrameListener()
        self.sent_bytes = 0
        self.received_bytes = 0
        self.dropped_frames = 0
        self.rejected_frames = 0
        self.unencodable: collections.Counter[str] = collections.Counter()
        self.failed_frames = 0
        self.unknown = revisions.UnknownCounts()
        self.revisions = revisions.PeerRevisions()
        self._secret = secret
        self._address_of = address_of
        self._stamp = stamp
        self._sequence = 0
        # Frames are handled one at a time.
        self._turn = curio.Lock()
        self.reconnects = 0
        self._newest_frames: dict[ids.NodeId, tuple[int, int]] = {}
        self._unacknowledged: dict[ids.NodeId, _Unacknowledged] = {}
        self._push_sockets: dict[ids.NodeId, tuple[str, pynng.Push0]] = {}
        self._outbox: dict[ids.NodeId, list[messages.AnyMessage]] = {}
        self._messages_queued = curio.Event()

    @property
    def address(self) -> str:
        """Address that this node listens on, known after `start`."""
        return self.listener.address

    def start(self, host: str, port: int) -> None:
        """Listens for other nodes."""
        self.listener.start(host, port)

    def enqueue(self, to: ids.NodeId, message: messages.AnyMessage) -> None:
        """Queues a message for the next frame to a node."""
        self._outbox.setdefault(to, []).append(message)

    async def send(self, to: ids.NodeId, message: messages.AnyMessage) -> None:
        """Queues a message and wakes the sending task."""
        self.enqueue(to, message)
        await self.notify()

    async def notify(self) -> None:
        """Wakes the sending task if messages are queued."""
        if self._outbox:
            await self._messages_queued.set()

    async def send_frames(self) -> None:
        """Sends queued messages once per loop iteration until cancelled."""
        while True:
            await self._messages_queued.wait()
            self._messages_queued.clear()
            # Other tasks of this iteration may still queue messages.
            await curio.sleep(0)
            self.flush()

    def flush(self) -> None:
        """Sends all queued messages now."""
        outbox, self._outbox = self._outbox, {}
        for to, queued in outbox.items():
            for frame_messages in self.revisions.frames(to, tuple(queued)):
                self._send(to, frame_messages)

    async def receive_frames(self, receiver: Receiver) -> None:
        """Passes frames to a receiver until cancelled."""
        await self.listener.serve(functools.partial(self._receive, receiver))

    async def _receive(self, receiver: Receiver, data: bytes) -> bool:
        """Passes a frame to a receiver; returns whether it could be decoded."""
        self.received_bytes += len(data)
        try:
            received = messages.receive_frame(data, self._secret)
        except messages.FrameError:
            self.rejected_frames += 1
            return False
        frame = received.frame
        async with self._turn:
            self.unknown.record(frame.sender, received.unknown)
            self._newest_frames[frame.sender] = (
                frame.sequence,
                frame.incarnation,
            )
            try:
                await receiver(frame)
            except Exception:
                # One frame must not end the task that reads its connection.
                self.failed_frames += 1
                if self.failed_frames <= _MAX_LOGGED:
                    _LOG.exception(
                        "a frame of %s was not handled", frame.sender
                    )
        return True

    def newest_frame_from(self, node: ids.NodeId) -> tuple[int, int]:
        """Returns number and incarnation of a node's newest frame, or -1s."""
        return self._newest_frames.get(node, (-1, -1))

    def record_acknowledgement(
        self, node: ids.NodeId, sequence: int, incarnation: int, now: float
    ) -> None:
        """Handles a node's acknowledgement of frames from this one.

        A connection may stop delivering without being closed. If a node
        still sends frames but has acknowledged none for too long, the socket to
        it is closed, and the next frame opens a new one.

        Args:
            node: Node that sent the acknowledgement.
            sequence: Number of the newest frame that it has received.
            incarnation: Incarnation of this node that sent that frame.
            now: Current time in seconds.
        """
        entry = self._push_sockets.get(node)
        unacknowledged = self._unacknowledged.get(node)
        if entry is None or unacknowledged is None:
            return
        current = incarnation == self.incarnation
        if current and sequence >= unacknowledged.oldest_frame:
            unacknowledged.oldest_frame = self._sequence + 1
            unacknowledged.confirmed_at = now
        elif (
            now - unacknowledged.confirmed_at > _ACKNOWLEDGEMENT_TIMEOUT_SECONDS
        ):
            self.reconnects += 1
            self.forget(node)

    def renew(self, node: ids.NodeId, now: float) -> None:
        """Closes the socket to a node that is silent; the next frame opens one.

        A connection that has died without a reset carries nothing any more in
        either direction, so that no acknowledgement shows it. A socket that
        was opened, or acknowledged, a moment ago is kept.

        Args:
            node: Node that has sent no frames for too long.
            now: Current time in seconds.
        """
        unacknowledged = self._unacknowledged.get(node)
        if unacknowledged is None:
            return
        age = now - unacknowledged.confirmed_at
        if age > _ACKNOWLEDGEMENT_TIMEOUT_SECONDS:
            self.reconnects += 1
            self.forget(node)

    def forget(self, node: ids.NodeId) -> None:
        """Closes the socket to a node."""
        self._unacknowledged.pop(node, None)
        entry = self._push_sockets.pop(node, None)
        if entry is not None:
            entry[1].close()

    def node_gone(self, node: ids.NodeId) -> None:
        """Drops all that is known of a node which has left for good."""
        self.forget(node)
        self.revisions.forget(node)
        self._newest_frames.pop(node, None)

    def close(self) -> None:
        """Closes all sockets."""
        for node in list(self._push_sockets):
            self.forget(node)
        self.listener.close()

    def _send(
        self, to: ids.NodeId, queued: tuple[messages.AnyMessage, ...]
    ) -> None:
        socket = self._socket(to)
        self._sequence += 1
        frame = messages.Frame(
            self.node, self.incarnation, self._sequence, self._stamp(), queued
        )
        try:
            data = messages.encode_frame(frame, self._secret)
        except (OverflowError, TypeError, ValueError) as error:
            self._send_encodable(to, queued, error)
            return
        if socket is None:
            self.dropped_frames += 1
            return
        try:
            socket.send(data, block=False)
            self.sent_bytes += len(data)
        except pynng.exceptions.NNGException:
            # A full buffer means that the peer is unreachable. Senders repeat
            # the messages that need an answer.
            self.dropped_frames += 1

    def _send_encodable(
        self,
        to: ids.NodeId,
        queued: tuple[messages.AnyMessage, ...],
        error: Exception,
    ) -> None:
        """Sends the messages of a frame that can be encoded.

        A value that a caller or an endpoint has sent may be out of range. It
        must not end the task that sends for all requests.
        """
        if len(queued) > 1:
            for message in queued:
                self._send(to, (message,))
            return
        kind = type(queued[0]).__name__
        self.unencodable[kind] += 1
        if self.unencodable[kind] <= _MAX_LOGGED:
            _LOG.error("a message %s to %s was not sent: %s", kind, to, error)

    def _socket(self, to: ids.NodeId) -> pynng.Push0 | None:
        address = self._address_of(to)
        known = self._push_sockets.get(to)
        if known is not None and (address is None or known[0] == address):
            return known[1]
        self.forget(to)
        if address is None:
            return None
        try:
            socket = _dial(address)
        except (pynng.exceptions.NNGException, ValueError):
            # The address comes from a node or the store, and may be none.
            return None
        self._push_sockets[to] = (address, socket)
        self._unacknowledged[to] = _Unacknowledged(
            self._sequence + 1, clock.now()
        )
        return socket


def _dial(address: str) -> pynng.Push0:
    """Returns a socket that connects to an address.

    Raises:
        NNGException: This is no address, or no socket is left.
        ValueError: The address contains characters that none has.
    """
    socket = pynng.Push0(send_buffer_size=_SEND_BUFFER_FRAMES)
    try:
        # A blocking dial would log a traceback if the peer is not running.
        socket.dial(f"tcp://{address}", block=False)
    except Exception:
        socket.close()
        raise
    return socket
