"""HTTP client over blocking sockets, with one connection per call."""

import ipaddress
import socket
import time
from typing import NamedTuple

import h11

from baobabmux_ctl import exits

_CONNECT_TIMEOUT_SECONDS = 2.0
_CHUNK_BYTES = 65_536

# A node's timeline of a few thousand events is much smaller.
_MAX_BODY_BYTES = 64_000_000


class Address(NamedTuple):
    """IP address and port of a service."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the address as it is written in a flag."""
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


class Response(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: bytes


class NotSentError(Exception):
    """Nothing was sent, so the call certainly had no effect."""


class AnswerLostError(Exception):
    """The call was sent but not answered; it may have taken effect."""


def parse_address(flag: str, text: str) -> Address:
    """Parses an address from a flag.

    Args:
        flag: Name of the flag, for the error line.
        text: IP address and port, for instance `10.0.0.5:9000`.

    Raises:
        exits.CommandError: The text is not an address.
    """
    host, _, port = text.rpartition(":")
    try:
        number = ipaddress.ip_address(host.strip("[]"))
        if not (port.isascii() and port.isdigit() and 0 < int(port) < 65_536):
            raise ValueError
    except ValueError:
        raise exits.CommandError(
            exits.ExitCode.INVALID,
            f'--{flag}: "{text}" is not an IP address and port '
            "(write it like 10.0.0.5:9000)",
        ) from None
    return Address(str(number), int(port))


def call(
    address: Address,
    method: str,
    target: str,
    body: bytes = b"",
    timeout: float = 5.0,
) -> Response:
    """Sends one request and reads the answer.

    Args:
        address: Address of the service.
        method: HTTP method.
        target: Path and query.
        body: JSON body, or empty.
        timeout: Seconds for the whole answer, from when the connection is
            established.

    Returns:
        The answer, whatever its status.

    Raises:
        NotSentError: No connection could be established.
        AnswerLostError: The connection failed, the answer was malformed or
            too large, or the timeout passed.
    """
    try:
        connection = socket.create_connection(address, _CONNECT_TIMEOUT_SECONDS)
    except OSError as error:
        reason = error.strerror or str(error) or "no connection"
        raise NotSentError(reason.lower()) from error
    with connection:
        try:
            return _exchange(connection, address, method, target, body, timeout)
        except TimeoutError as error:
            raise AnswerLostError(f"no answer within {timeout:g} s") from error
        except OSError as error:
            reason = error.strerror or str(error)
            raise AnswerLostError(reason.lower()) from error
        except h11.ProtocolError as error:
            raise AnswerLostError(f"bad answer: {error}") from error


def _exchange(
    connection: socket.socket,
    address: Address,
    method: str,
    target: str,
    body: bytes,
    timeout: float,
) -> Response:
    protocol = h11.Connection(h11.CLIENT)
    headers = [("host", str(address)), ("connection", "close")]
    if body:
        headers.append(("content-type", "application/json"))
        headers.append(("content-length", str(len(body))))
    sent = protocol.send(
        h11.Request(method=method, target=target, headers=headers)
    )
    if body:
        sent += protocol.send(h11.Data(data=body))
    sent += protocol.send(h11.EndOfMessage())
    deadline = time.monotonic() + timeout
    connection.settimeout(timeout)
    connection.sendall(sent)
    return _read(connection, protocol, deadline)


def _read(
    connection: socket.socket, protocol: h11.Connection, deadline: float
) -> Response:
    status = 0
    received = bytearray()
    while True:
        event = protocol.next_event()
        if event is h11.NEED_DATA:
            # The timeout applies to the whole answer, not to each read.
            connection.settimeout(max(deadline - time.monotonic(), 0.001))
            protocol.receive_data(connection.recv(_CHUNK_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
        elif isinstance(event, h11.Data):
            received += event.data
            if len(received) > _MAX_BODY_BYTES:
                raise AnswerLostError("the answer is too large")
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, bytes(received))
        elif isinstance(event, h11.ConnectionClosed):
            raise AnswerLostError("the connection was closed")
