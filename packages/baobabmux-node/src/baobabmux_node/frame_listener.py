"""Accepts connections of other nodes and reads their frames.

Nodes send by PUSH sockets of pynng. The receiving side is read here, because a
PULL socket of nng accepts connections, and reads whole frames, before it asks
the process: whoever reaches the port could take its descriptors and memory.

Source: SP over TCP (Scalability Protocols, mapping for TCP), protocols PUSH and
PULL version 0. Both sides send a preamble of 8 bytes; each message follows its
length, 8 bytes in network byte order.
"""

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import curio
import curio.io

from baobabmux_node import clock, memory_account, socket_reader, sockets

MAX_CONNECTIONS = 512
_MAX_FRAME_BYTES = 4_000_000
_READ_BYTES = 65_536
_BACKLOG = 512
_PUSH_PREAMBLE = b"\x00SP\x00\x00\x50\x00\x00"
_PULL_PREAMBLE = b"\x00SP\x00\x00\x51\x00\x00"
_LENGTH = struct.Struct(">Q")
# Time after which a listener without descriptors tries to accept again.
_ACCEPT_PAUSE_SECONDS = 0.05
_FRAME_TIMEOUT_SECONDS = 10.0
# Silence after which a connection of a node may be replaced. A node that still
# runs opens it anew.
_MAX_SILENCE_SECONDS = 60.0

# Handles a frame; returns whether it was one.
FrameHandler = Callable[[bytes], Awaitable[bool]]


class FrameListener:
    """Listener for other nodes.

    If all places are taken, a new connection replaces the oldest one on which
    no frame of a node has arrived. Clients that are no nodes thus cannot keep
    out a node that starts.

    Attributes:
        address: "HOST:PORT" on which it listens, set by `start`.
        max_connections: Most connections that are open at a time.
        frame_timeout_seconds: Longest time for a frame to arrive.
        memory: Account of the bodies and frames of the node.
        waits: Connections that were closed as there was no room for all.
        unfinished: Connections that were closed as a frame did not end in time.
    """

    def __init__(
        self,
        max_connections: int = MAX_CONNECTIONS,
        frame_timeout_seconds: float = _FRAME_TIMEOUT_SECONDS,
        memory: memory_account.MemoryAccount | None = None,
    ):
        """Creates a listener that does not listen yet.

        Args:
            max_connections: Most connections that are open at a time.
            frame_timeout_seconds: Longest time for a frame to arrive.
            memory: Account of the node's memory, or None for one of its own.
        """
        self.address = ""
        self.max_connections = max_connections
        self.frame_timeout_seconds = frame_timeout_seconds
        self.memory = memory or memory_account.MemoryAccount()
        self.waits = 0
        self.unfinished = 0
        # The oldest one first.
        self._open: dict[_Connection, None] = {}
        self._socket: curio.io.Socket | None = None

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._open)

    def start(self, host: str, port: int) -> None:
        """Binds the listener; the address is known afterwards."""
        is_ipv6 = ":" in host
        self._socket = curio.tcp_server_socket(
            host,
            port,
            family=socket.AF_INET6 if is_ipv6 else socket.AF_INET,
            backlog=_BACKLOG,
        )
        port = self._socket.getsockname()[1]
        self.address = f"[{host}]:{port}" if is_ipv6 else f"{host}:{port}"

    async def serve(self, handle: FrameHandler) -> None:
        """Passes the frames of all connections to a handler until cancelled."""
        async with self._socket:
            while True:
                client = await self._accept()
                if await self._make_room():
                    connection = _Connection(client, self.memory)
                    self._open[connection] = None
                    connection.task = await curio.spawn(
                        self._serve, connection, handle, daemon=True
                    )
                else:
                    await client.close()
                # A crowd of connections must not hold up those that are open.
                await curio.sleep(0)

    def close(self) -> None:
        """Closes the connections."""
        for connection in self._open:
            connection.close()

    def close_unfinished(self, now: float) -> None:
        """Closes the connections whose frames do not end in time.

        Args:
            now: Time on the node's clock in seconds.
        """
        for connection in self._open:
            began_at = connection.frame_began_at
            if (
                began_at is not None
                and now - began_at > self.frame_timeout_seconds
            ):
                self.unfinished += 1
                connection.close()

    async def _accept(self) -> curio.io.Socket:
        while True:
            try:
                client, _ = await self._socket.accept()
                return client
            except OSError as error:
                if sockets.is_listener_error(error):
                    raise
                if sockets.is_exhaustion(error):
                    await curio.sleep(_ACCEPT_PAUSE_SECONDS)

    async def _make_room(self) -> bool:
        """Returns whether there is a place for a new connection."""
        if self.connections < self.max_connections:
            return True
        self.waits += 1
        now = clock.now()
        replaced = next((c for c in self._open if c.may_be_replaced(now)), None)
        if replaced is None:
            return False
        await replaced.task.cancel()
        return True

    async def _serve(
        self, connection: "_Connection", handle: FrameHandler
    ) -> None:
        try:
            async with connection.client:
                await connection.run(handle)
        except (OSError, EOFError, memory_account.NoRoomError):
            pass
        finally:
            connection.holding.release()
            self._open.pop(connection, None)


class _Connection:
    """One connection of a node.

    Attributes:
        client: Its socket.
        task: The task that serves it.
        holding: What is held of a frame that did not arrive in one piece.
        frame_began_at: Time in seconds at which a frame was first found to be
            incomplete, or None between frames.
        heard_at: Time in seconds of the newest frame of a node, or None before
            the first.
    """

    def __init__(
        self, client: curio.io.Socket, memory: memory_account.MemoryAccount
    ):
        self.client = client
        self.holding = memory_account.Holding(memory, memory_account.Use.FRAME)
        self.task: curio.Task | None = None
        self.frame_began_at: float | None = None
        self.heard_at: float | None = None
        self._is_handling = False
        self._reader = socket_reader.SocketReader(client)
        self._received = bytearray()

    def close(self) -> None:
        """Ends the connection; a frame that is complete is still handled."""
        self.frame_began_at = None
        with contextlib.suppress(OSError):
            self.client._socket.shutdown(socket.SHUT_RDWR)

    def may_be_replaced(self, now: float) -> bool:
        """Returns whether a new connection may take its place.

        Args:
            now: Time on the node's clock in seconds.
        """
        if self._is_handling:
            return False
        return (
            self.heard_at is None or now - self.heard_at > _MAX_SILENCE_SECONDS
        )

    async def run(self, handle: FrameHandler) -> None:
        """Reads frames until the connection ends.

        Raises:
            EOFError: The peer closed the connection.
            NoRoomError: There was no room for a frame.
            OSError: The connection was reset.
        """
        await self.client.sendall(_PULL_PREAMBLE)
        if await self._take(len(_PUSH_PREAMBLE)) != _PUSH_PREAMBLE:
            return
        self.frame_began_at = None
        while True:
            (size,) = _LENGTH.unpack(await self._take(_LENGTH.size))
            if size > _MAX_FRAME_BYTES:
                return
            await self._reader.step()
            frame = await self._take(size, begun=True)
            self.frame_began_at = None
            if not await self._handle(handle, frame):
                return
            self.holding.release()

    async def _handle(self, handle: FrameHandler, frame: bytes) -> bool:
        """Handles a frame; returns whether the connection may go on."""
        self._is_handling = True
        try:
            is_frame = await handle(frame)
        finally:
            self._is_handling = False
        if is_frame:
            self.heard_at = clock.now()
        # A node of another build may send single frames that are none here.
        return self.heard_at is not None

    async def _take(self, size: int, begun: bool = False) -> bytes:
        """Removes and returns bytes, once so many have arrived.

        Args:
            size: Number of the bytes.
            begun: Whether others, which belong to them, have been taken.
        """
        received = self._received
        while len(received) < size:
            if received or begun:
                await self._hold(len(received))
            data = await self._reader.receive(_READ_BYTES)
            if not data:
                raise EOFError
            received += data
        taken = bytes(received[:size])
        del received[:size]
        return taken

    async def _hold(self, size: int) -> None:
        """Counts the bytes of a frame that is incomplete."""
        if self.frame_began_at is None:
            self.frame_began_at = clock.now()
        await self.holding.extend(size)
