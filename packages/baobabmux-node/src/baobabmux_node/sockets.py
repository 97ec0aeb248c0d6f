"""Options of TCP sockets."""

import contextlib
import errno
import fcntl
import resource
import socket
import struct
import sys
import termios

import curio

_EXHAUSTION = frozenset(
    {
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,  # `connect` found no free port.
    }
)
_LISTENER_ERRORS = frozenset({errno.EBADF, errno.EINVAL, errno.ENOTSOCK})
# First byte of TCP_INFO on Linux.
_TCP_ESTABLISHED = 1
_TCP_CLOSED = 7
# A side that ends a connection without having read all of its input sends a
# reset, and at times the ordinary end of its output just before.
_RESET_SECONDS = 0.02
_RESET_CHECK_SECONDS = 0.004


def is_exhaustion(error: OSError) -> bool:
    """Returns whether this host lacks a descriptor, a port or memory."""
    return error.errno in _EXHAUSTION


def is_listener_error(error: OSError) -> bool:
    """Returns whether `accept` failed as its listener cannot be used."""
    return error.errno in _LISTENER_ERRORS


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


def is_established(connection) -> bool:
    """Returns whether neither side has closed or reset a connection.

    Args:
        connection: Socket of curio or of the standard library. Where the
            state cannot be read, its connection counts as established.
    """
    return _tcp_state(connection) in (None, _TCP_ESTABLISHED)


def _tcp_state(connection) -> int | None:
    """Returns the state of a connection, or None if it cannot be read."""
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return None
    return info[0]


def has_lost_output(connection) -> bool:
    """Returns whether the peer has not received all that was sent to it.

    It is also true after a reset. The peer must have ended its output, and
    this side must not have: after both ends a connection counts as closed.

    Args:
        connection: Socket of curio or of the standard library.
    """
    if _tcp_state(connection) == _TCP_CLOSED:
        return True
    unacknowledged = bytearray(4)
    try:
        fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, unacknowledged)
    except OSError:
        return False
    return any(unacknowledged)


def drop_lost_output_on_close(connection) -> None:
    """Has `close` drop what the peer has not received.

    Otherwise the host goes on sending it: after a link was lost it would arrive
    seconds later, at a peer that may have left meanwhile.

    Args:
        connection: Socket of curio or of the standard library.
    """
    if has_lost_output(connection):
        set_reset_on_close(connection, True)


async def is_reset_after_end(connection) -> bool:
    """Returns whether a reset follows the end of the peer's output at once.

    A reset that comes later cannot be told from the end of a connection whose
    data was read.

    Args:
        connection: Socket of curio of which all input was read.
    """
    waited = 0.0
    while not has_lost_output(connection):
        if waited >= _RESET_SECONDS:
            return False
        await curio.sleep(_RESET_CHECK_SECONDS)
        waited += _RESET_CHECK_SECONDS
    return True


def connections_for(descriptors: int) -> int:
    """Returns how many connections of callers leave room for the others.

    Args:
        descriptors: Descriptors that sockets may use.
    """
    return descriptors * 3 // 4


def spare_connections(limit: int, descriptors: int, share: float) -> int:
    """Returns the connections of a listener that is not for callers.

    Args:
        limit: Connections that are enough for it.
        descriptors: Descriptors that sockets may use.
        share: Part of them that is not exceeded, so that some are left to
            endpoints if all listeners are full.
    """
    return max(1, min(limit, int(descriptors * share)))


def usable_descriptors() -> int:
    """Returns how many descriptors the process may open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if descriptors == resource.RLIM_INFINITY else descriptors
