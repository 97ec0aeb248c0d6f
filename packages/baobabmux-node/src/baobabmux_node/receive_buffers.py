"""Bytes that callers have sent, until a request takes them.

Callers may send requests ahead of the answers to earlier ones. Only a bounded
part of that is read: what follows waits in the kernel and, through TCP's flow
control, at the caller.
"""

from collections.abc import Callable

import curio

from baobabmux_node import socket_reader, sockets

_CLOSE_CHECK_SECONDS = 1.0


class ReceiveBuffer:
    """Received bytes of one connection.

    Args:
        client: Socket of the connection.
        report_bound: Called when the caller has sent as far ahead as is read.

    Attributes:
        data: Bytes that no request has taken.
        ended: Whether the caller has ended its side of the connection.
        reader: Reads the socket.
    """

    def __init__(
        self, client: curio.io.Socket, report_bound: Callable[[], None]
    ):
        self.data = bytearray()
        self.ended = False
        self.reader = socket_reader.SocketReader(client)
        self._client = client
        self._report_bound = report_bound

    async def receive(self, max_bytes: int) -> bool:
        """Adds bytes that arrive; returns whether there were any.

        Without any, the caller has ended its side of the connection.

        Raises:
            OSError: The connection was reset.
        """
        data = await self.reader.receive(max_bytes)
        self.data += data
        self.ended = not data
        return bool(data)

    def take(self, max_bytes: int) -> bytes:
        """Removes and returns the first bytes."""
        taken = bytes(self.data[:max_bytes])
        del self.data[:max_bytes]
        return taken

    def put_back(self, data: bytes) -> None:
        """Adds bytes that were taken before the others."""
        if data:
            self.data[:0] = data

    async def wait_for_end(self, max_ahead_bytes: int) -> None:
        """Returns when the caller closes the connection.

        Beyond the bound nothing more is read. The end of a connection is then
        noticed once the kernel reports it: after a reset, or when the rest of
        what was sent fits into the kernel's buffer.

        Args:
            max_ahead_bytes: Most bytes that are kept for later requests.

        Raises:
            OSError: The connection was reset.
        """
        while (room := max_ahead_bytes - len(self.data)) > 0:
            if not await self.receive(room):
                return
        self._report_bound()
        while sockets.is_established(self._client):
            await curio.sleep(_CLOSE_CHECK_SECONDS)
