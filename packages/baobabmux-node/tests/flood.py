"""Sends bytes as fast as they are taken, from a process of its own.

    flood.py serve PREFIX BLOCK BYTES      to whoever connects
    flood.py connect PORT PREFIX BLOCK BYTES
    flood.py drain                         reads from whoever connects

PREFIX and BLOCK are hexadecimal; BLOCK is repeated. Prints its port first.
"""

import contextlib
import socket
import sys

_WRITE_BYTES = 64_000
_READ_BYTES = 65_536


def _send(connection, prefix, block, size):
    part = block * max(1, _WRITE_BYTES // len(block))
    with contextlib.suppress(OSError):
        connection.sendall(prefix)
        for _ in range(size // len(part) + 1):
            connection.sendall(part)


def _listen():
    listener = socket.create_server(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    return listener.accept()[0]


def _main(mode, *arguments):
    if mode == "drain":
        with _listen() as connection, contextlib.suppress(OSError):
            while connection.recv(_READ_BYTES):
                pass
        return
    if mode == "connect":
        port, *arguments = arguments
        connection = socket.create_connection(("127.0.0.1", int(port)))
        print(port, flush=True)
    else:
        connection = _listen()
        connection.recv(_READ_BYTES)
    prefix, block, size = arguments
    with connection:
        _send(
            connection, bytes.fromhex(prefix), bytes.fromhex(block), int(size)
        )


if __name__ == "__main__":
    _main(*sys.argv[1:])
