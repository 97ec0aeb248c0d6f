"""TCP listener that can refuse and reset connections, and accept them again.

A `Listener` owns its port, the task that accepts connections and the open
connections.
"""

import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable

import curio
import curio.io

ConnectionHandler = Callable[[curio.io.Socket], Awaitable[None]]

_HOST = "127.0.0.1"
_BACKLOG = 512
# With a linger time of zero, close() sends a reset, as the host of a killed
# process does when more data arrives for its connection.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Listener:
    """Accepts connections at a port that the operating system chooses.

    A second socket stays bound to the port without listening. It prevents the
    system from giving the port to another process while connections are
    refused.

    Attributes:
        address: IP number and port.
    """

    def __init__(self, handle: ConnectionHandler):
        self._handle = handle
        self._port_holder = _bound_socket(0)
        self._port = self._port_holder.getsockname()[1]
        self.address = f"{_HOST}:{self._port}"
        self._accept_task: curio.Task | None = None
        self._connections: dict[curio.Task, curio.io.Socket] = {}
        # Sockets that keep new connections waiting.
        self._silencers: list[socket.socket] = []

    async def admit(self) -> None:
        """Starts to accept connections; has no effect if it already does."""
        self._end_silence()
        if self._accept_task is not None:
            return
        listening = _bound_socket(self._port)
        listening.listen(_BACKLOG)
        listening.setblocking(False)
        self._accept_task = await curio.spawn(
            self._accept, curio.io.Socket(listening), daemon=True
        )

    async def refuse(self) -> None:
        """Refuses new connections; open connections continue."""
        self._end_silence()
        if self._accept_task is not None:
            await self._accept_task.cancel()
            self._accept_task = None

    async def silence(self) -> None:
        """Lets new connections hang; open connections continue.

        The system drops the first packets of connections for which the queue
        of the listening socket has no room.
        """
        await self.refuse()
        listening = _bound_socket(self._port)
        listening.listen(0)
        filler = socket.create_connection((_HOST, self._port))
        self._silencers = [listening, filler]

    def _end_silence(self) -> None:
        for silencer in self._silencers:
            silencer.close()
        self._silencers = []

    async def drop(self) -> None:
        """Resets all connections and cancels their handlers.

        A handler that calls it is not cancelled.
        """
        current = await curio.current_task()
        for task, connection in list(self._connections.items()):
            reset(connection)
            if task is not current:
                await task.cancel(blocking=False)

    async def close(self) -> None:
        """Refuses new connections, resets the open ones, releases the port."""
        await self.refuse()
        await self.drop()
        self._port_holder.close()

    async def _accept(self, listening: curio.io.Socket) -> None:
        async with listening:
            while True:
                connection, _ = await listening.accept()
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                task = await curio.spawn(self._serve, connection, daemon=True)
                self._connections[task] = connection

    async def _serve(self, connection: curio.io.Socket) -> None:
        try:
            async with connection:
                await self._handle(connection)
        except OSError:
            pass  # The peer closed or reset the connection.
        finally:
            self._connections.pop(await curio.current_task(), None)


def reset(connection: curio.io.Socket) -> None:
    """Makes the next close of a connection send a reset."""
    with contextlib.suppress(OSError):  # It may be closed already.
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )


def _bound_socket(port: int) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((_HOST, port))
    return bound
