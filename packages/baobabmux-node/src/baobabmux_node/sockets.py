"""Options of TCP sockets."""

import contextlib
import socket
import struct


def set_reset_on_close(connection, enabled: bool) -> None:
    """Chooses whether a connection is reset when it is closed.

    It is then also reset if the process is killed. Data that is not sent yet
    is lost with a reset.

    Args:
        connection: Socket of curio or of the standard library.
        enabled: Whether it is reset.
    """
    linger = struct.pack("ii", int(enabled), 0)
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
