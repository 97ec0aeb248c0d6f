"""HTTP/1.1 client on curio and h11.

A `ClientConnection` owns its socket and the HTTP state of one request at a
time. `fetch` and `exchange` make a single request on a new connection.
"""

import contextlib
import enum
import socket
from collections.abc import Callable

import curio
import curio.io
import h11
import msgspec

from baobabmux_node import clock, part_budget, socket_reader, sockets

_READ_BYTES = 65_536
_MAX_HEADER_BYTES = 65_536
# RFC 9112, 6.3
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
# RFC 9110, 15: the class of a status is one of five.
_MAX_STATUS = 599
# A server reads a shorter body together with its head.
_LONG_BODY_BYTES = 16_384


class ClientError(Exception):
    """Base class of the failures of a client connection."""


class ConnectError(ClientError):
    """No connection was made, so no byte was sent."""


class RefusedError(ConnectError):
    """The server's host refused the connection: nothing listens there."""


class UnreachedError(ConnectError):
    """Only this node's links failed; the server may be sound."""


class ExhaustedError(UnreachedError):
    """This process or its host has no descriptor or port left."""


class BrokenError(ClientError):
    """The connection failed after bytes may have been sent."""


class InterruptedAnswerError(BrokenError):
    """This process ended the connection before the answer was complete."""


class ProtocolError(ClientError):
    """The server violated HTTP."""


class StalledError(ClientError):
    """The server neither sent nor received data within the timeout."""


class Framing(enum.Enum):
    """What delimits the body of an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"  # The body ends with the connection.


class Head(msgspec.Struct, frozen=True):
    """Status and headers of an answer.

    Attributes:
        status: HTTP status code.
        headers: Header fields by lower-case name, each with its last value.
    """

    status: int
    headers: dict[str, str]


Fields = list[tuple[bytes | str, bytes | str]]
"""Header fields in order."""


def new_http() -> h11.Connection:
    """Returns the HTTP state of a new connection."""
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=_MAX_HEADER_BYTES
    )


class ClientConnection:
    """One connection, for one request at a time.

    Attributes:
        address: IP number and port, as `IP:PORT`.
        stall_seconds: Longest wait for one send or receive, or None if the
            caller of this class enforces a timeout itself.
        kept: Whether a pool keeps the connection after its request.
        awaits_head: Whether a request was sent, at least in part, and the head
            of its answer has not arrived.
        framing: What delimits the body of the answer that is being read, or
            None before its head and if it has no body.
        via: Node that carries the connection, or "" for a direct one.
        received_at: Time of the latest data on the node's clock in seconds.
        interrupted: Whether `interrupt` ended the connection.
        on_close: Called when the connection is closed.
        answer_budget: Parts of the answer that is being read, or of its event.
    """

    def __init__(self, address: str, stall_seconds: float | None = 30.0):
        self.address = address
        self.stall_seconds = stall_seconds
        self._http = new_http()
        self._request_head: h11.Request | None = None
        self._body_bytes = 0
        self.kept = False
        self.awaits_head = False
        self.framing: Framing | None = None
        self.via = ""
        self.received_at = 0.0
        self.interrupted = False
        self.on_close: Callable[[], None] | None = None
        self.answer_budget = part_budget.PartBudget()
        self._socket: curio.io.Socket | None = None
        self._reader: socket_reader.SocketReader | None = None

    async def connect(self, timeout: float) -> None:
        """Opens the connection.

        Args:
            timeout: Seconds to wait.

        Raises:
            ConnectError: No connection was made.
        """
        host, _, port = self.address.rpartition(":")
        try:
            async with curio.timeout_after(timeout):
                self._use(
                    await curio.open_connection(host.strip("[]"), int(port))
                )
        except curio.TaskTimeout as error:
            raise ConnectError(
                f"{self.address}: no connection within {timeout:g} s"
            ) from error
        except ConnectionRefusedError as error:
            raise RefusedError(f"{self.address}: {error}") from error
        except OSError as error:
            if sockets.is_exhaustion(error):
                raise ExhaustedError(f"{self.address}: {error}") from error
            raise ConnectError(f"{self.address}: {error}") from error

    async def ensure_connected(self, timeout: float) -> None:
        """Opens the connection unless it is open; see `connect`."""
        if self._socket is None:
            await self.connect(timeout)

    async def request(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a request; the server closes the connection after its answer.

        Raises:
            BrokenError: The connection failed; bytes may have been sent.
            StalledError: The server did not read the request in time.
        """
        fields = {
            "host": self.address,
            "connection": "close",
            **headers,
            "content-length": str(len(body)),
        }
        await self.send_request(method, target, list(fields.items()), body)

    async def send_request(
        self, method: str, target: str, fields: Fields, body: bytes
    ) -> None:
        """Sends a request with exactly the given header fields.

        Raises:
            BrokenError: The connection failed; bytes may have been sent.
            StalledError: The server did not read the request in time.
        """
        head = h11.Request(method=method, target=target, headers=fields)
        self._request_head = head
        self._body_bytes = len(body)
        self.kept = False
        self.begin_answer()
        self.framing = None
        data = self._http.send(head)
        if body:
            data += self._http.send(h11.Data(data=body))
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            if self.stall_seconds is None:
                await self._socket.sendall(data)
                return
            async with curio.timeout_after(self.stall_seconds):
                await self._socket.sendall(data)
        except curio.TaskTimeout as error:
            raise StalledError(self.address) from error
        except OSError as error:
            raise BrokenError(f"{self.address}: {error}") from error

    def begin_answer(self) -> None:
        """Prepares to read the head of an answer."""
        self.awaits_head = True
        self.answer_budget.restart()

    def skip_answer(self) -> None:
        """Prepares to read the next answer to the same request.

        It is called after reading an answer that belongs to another request.
        """
        left, closed = self._http.trailing_data
        self._http = new_http()
        self.begin_answer()
        # Only the method matters for reading an answer; the body that the head
        # announces was sent before.
        method = self._request_head.method
        head = h11.Request(method=method, target="/", headers=[("Host", "")])
        self._http.send(head)
        self._http.send(h11.EndOfMessage())
        self._http.receive_data(left)
        if closed:
            self._http.receive_data(b"")

    def recycle(self) -> bool:
        """Prepares the connection for another request.

        Returns:
            Whether the connection can be reused: the answer is complete, no
            bytes follow it, and neither side closes the connection.
        """
        http = self._http
        if self._socket is None or any(http.trailing_data):
            return False
        if http.our_state is not h11.DONE or http.their_state is not h11.DONE:
            return False
        http.start_next_cycle()
        return True

    def is_reusable(self) -> bool:
        """Returns whether an idle connection is open without unread bytes."""
        try:
            return self._reader.has_data() is False
        except OSError:
            return False

    def interrupt(self) -> None:
        """Shuts the socket down, which ends a pending read in another task.

        That read raises `InterruptedAnswerError`, and so do later ones: the end
        of input then says nothing about the end of the answer.
        """
        if self._socket is None:
            return
        self.interrupted = True
        with contextlib.suppress(OSError):
            self._socket._socket.shutdown(socket.SHUT_RDWR)

    def end_sending(self) -> None:
        """Ends the connection for the server; its answer can still be read."""
        with contextlib.suppress(OSError):
            self._socket._socket.shutdown(socket.SHUT_WR)

    def reset_on_close(self) -> None:
        """Makes `close` reset the connection."""
        sockets.set_reset_on_close(self._socket, True)

    async def head(self) -> Head:
        """Reads the status and the header fields of the answer.

        Raises:
            BrokenError: The connection ended before an answer.
            ProtocolError: The server violated HTTP.
            StalledError: The server sent no data within the timeout.
        """
        for _ in range(part_budget.MAX_INTERIM_ANSWERS + 1):
            event = await self._next_event()
            if isinstance(event, h11.Response):
                self.awaits_head = False
                if event.status_code > _MAX_STATUS:
                    raise ProtocolError(
                        f"{self.address}: status {event.status_code}"
                    )
                head = convert_head(event)
                if self._has_body(head.status):
                    self.framing = _framing(head.headers)
                return head
            if not isinstance(event, h11.InformationalResponse):
                raise BrokenError(
                    f"{self.address}: the connection ended before an answer"
                )
        raise ProtocolError(f"{self.address}: too many interim answers")

    def _has_body(self, status: int) -> bool:
        is_head = self._request_head.method == b"HEAD"
        return not is_head and status not in _STATUSES_WITHOUT_BODY

    async def next_part(self) -> bytes | None:
        """Reads the next part of the body; returns None at its end.

        A reader of events restarts `answer_budget` with each event.

        Raises:
            BrokenError: The body ended early.
            ProtocolError: The server violated HTTP, or the parts of the body
                are too many and too small.
            StalledError: The server sent no data within the timeout.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            if not self.answer_budget.add(len(event.data)):
                raise ProtocolError(
                    f"{self.address}: {self.answer_budget.parts} parts for"
                    f" {self.answer_budget.size} bytes"
                )
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise BrokenError(f"{self.address}: the answer ended early")

    async def step(self) -> None:
        """Counts a step of work on the answer; see `SocketReader`."""
        await self._reader.step()

    async def read(self, max_bytes: int) -> bytes:
        """Reads the complete body of the answer.

        Raises:
            ProtocolError: The body is longer than `max_bytes`.
        """
        body = bytearray()
        while (part := await self.next_part()) is not None:
            body += part
            if len(body) > max_bytes:
                raise ProtocolError(
                    f"{self.address}: body over the byte limit {max_bytes}"
                )
        return bytes(body)

    def has_arrived(self) -> bool:
        """Returns whether the server's host has received what was sent."""
        return self._socket is None or not sockets.has_lost_output(self._socket)

    async def close(self) -> None:
        """Closes the connection.

        What was sent of a request and has not arrived is dropped.
        """
        if self._socket is not None:
            if self.awaits_head:
                sockets.drop_lost_output_on_close(self._socket)
            await self._socket.close()
            self._socket = None
        if self.on_close is not None:
            self.on_close()
            self.on_close = None

    def detach(self) -> curio.io.Socket:
        """Returns the socket, which the caller closes from now on."""
        detached, self._socket = self._socket, None
        return detached

    def attach(self, connected: curio.io.Socket, via: str) -> None:
        """Takes over a socket that is connected through another node."""
        self._use(connected)
        self.via = via

    def _use(self, connected: curio.io.Socket) -> None:
        self._socket = connected
        self._reader = socket_reader.SocketReader(connected)

    async def _next_event(self):
        while True:
            await self._reader.step()
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                # h11 reports a body that ends early as a protocol error.
                if self._http.trailing_data[1]:
                    raise BrokenError(f"{self.address}: {error}") from error
                raise ProtocolError(f"{self.address}: {error}") from error
            if event is not h11.NEED_DATA:
                return event
            data = await self._receive()
            if self.interrupted:
                raise InterruptedAnswerError(
                    f"{self.address}: the connection was interrupted"
                )
            if not data:
                await self._check_end()
            self._http.receive_data(data)
            self.received_at = clock.now()

    async def _check_end(self) -> None:
        """Checks that a body which ends with its connection is complete.

        Raises:
            BrokenError: The server had not received the whole request, or has
                reset the connection, whose end then says nothing.
        """
        if self.framing is not Framing.CONNECTION or not self._body_bytes:
            return
        if sockets.has_lost_output(self._socket) or (
            self._body_bytes > _LONG_BODY_BYTES
            and await sockets.is_reset_after_end(self._socket)
        ):
            raise BrokenError(
                f"{self.address}: the answer ended before the request was read"
            )

    async def _receive(self) -> bytes:
        try:
            if self.stall_seconds is None:
                return await self._reader.receive(_READ_BYTES)
            async with curio.timeout_after(self.stall_seconds):
                return await self._reader.receive(_READ_BYTES)
        except curio.TaskTimeout as error:
            raise StalledError(self.address) from error
        except OSError as error:
            raise BrokenError(f"{self.address}: {error}") from error


def convert_head(response: h11.Response) -> Head:
    """Returns the head of an answer."""
    headers = {
        name.decode("ascii"): value.decode("latin-1")
        for name, value in response.headers
    }
    return Head(response.status_code, headers)


def _framing(headers: dict[str, str]) -> Framing:
    if "transfer-encoding" in headers:
        return Framing.CHUNKS
    if "content-length" in headers:
        return Framing.LENGTH
    return Framing.CONNECTION


async def fetch(
    address: str,
    method: str,
    target: str,
    body: bytes = b"",
    *,
    timeout: float = 5.0,
    max_bytes: int = 8_000_000,
) -> tuple[int, bytes]:
    """Makes one request and reads its complete answer.

    Args:
        address: IP number and port, as `IP:PORT`.
        method: HTTP method.
        target: Path and query.
        body: JSON body, or empty.
        timeout: Seconds for the whole exchange.
        max_bytes: Longest body of an answer to read.

    Returns:
        Status and body of the answer.

    Raises:
        ConnectError: No byte was sent.
        ClientError: Any other failure; the request may have taken effect.
    """
    headers = {"content-type": "application/json"} if body else {}
    head, answer = await exchange(
        address, method, target, headers, body, timeout, max_bytes
    )
    return head.status, answer


async def exchange(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
    timeout: float,
    max_bytes: int,
) -> tuple[Head, bytes]:
    """Makes one request with the given header fields; see `fetch`."""
    connection = ClientConnection(address, stall_seconds=timeout)
    try:
        await connection.connect(min(timeout, 2.0))
        async with curio.timeout_after(timeout):
            await connection.request(method, target, headers, body)
            head = await connection.head()
            return head, await connection.read(max_bytes)
    except curio.TaskTimeout as error:
        raise StalledError(address) from error
    finally:
        await connection.close()
