"""HTTP/1.1 server on curio and h11, for callers and for operators.

A `Server` owns the listener and its open connections. Each connection handles
one request at a time and passes it to the handler as an `Exchange`.
"""

import contextlib
import http
import itertools
import logging
import re
import socket
from collections.abc import Awaitable, Callable

import curio
import curio.io
import h11
import msgspec
from curio.traps import _read_wait

from baobabmux_core import errors
from baobabmux_node import (
    clock,
    idle_connections,
    memory_account,
    receive_buffers,
    responses,
    send_buffers,
    socket_reader,
    sockets,
)

_READ_BYTES = 65_536
_CLOSE_CHECK_SECONDS = 1.0
# Longest body that is sent with its head in one write.
_MAX_JOINED_BYTES = 65_536
# Requests of one connection after which other tasks get their turn.
_REQUESTS_PER_TURN = 8
# Time after which a server without descriptors tries to accept again.
_ACCEPT_PAUSE_SECONDS = 0.05
# Idle connections that are closed at once if descriptors are lacking.
_MAX_CLOSED_AT_ONCE = 16
# RFC 9112, 6.3
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_BLANK_LINES = re.compile(rb"(?:\r\n)*")
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}
_LOG = logging.getLogger(__name__)


class Limits(msgspec.Struct, frozen=True):
    """Limits of one listener.

    Attributes:
        max_header_bytes: Longest header section.
        max_body_bytes: Longest body that any handler accepts.
        max_ahead_bytes: Most bytes that are read of a caller's next requests
            while a request of the same connection is served.
        receive_timeout_seconds: Longest time to receive a header section, and
            again to receive a body.
        send_timeout_seconds: Longest time to send a part of an answer.
        idle_timeout_seconds: Longest time between requests.
        max_held_seconds: Longest time for which a slow reader holds up its
            answer, once no more of it may be kept.
        max_unread_bytes: Bound on answers that are kept for slow readers, all
            connections together.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 1_000_000
    max_ahead_bytes: int = 16_384
    receive_timeout_seconds: float = 10.0
    send_timeout_seconds: float = 20.0
    idle_timeout_seconds: float = 60.0
    max_held_seconds: float = 5.0
    max_unread_bytes: int = 8_000_000


class PeerGoneError(Exception):
    """The peer closed the connection or stopped reading."""


class RequestError(Exception):
    """A request that cannot be handled.

    Attributes:
        kind: Kind of the error.
        detail: Text for the caller that says what is wrong.
    """

    def __init__(self, kind: errors.ErrorKind, detail: str):
        super().__init__(detail)
        self.kind = kind
        self.detail = detail


class Exchange:
    """One request and its answer on a connection.

    Attributes:
        method: HTTP method.
        target: Path and query.
        headers: Header fields by lower-case name, each with its last value.
        raw_headers: All header fields in the order and spelling of the caller.
        body: Complete body, after `read_body`.
        answered: Whether the status line of an answer was sent.
        http_version: Version of HTTP of the request, such as "1.1".
    """

    def __init__(self, connection: "_Connection", request: h11.Request):
        self._connection = connection
        self.raw_headers = [
            (name, value) for name, value in request.headers.raw_items()
        ]
        self.method = request.method.decode("ascii")
        self.target = request.target.decode("ascii", "replace")
        self.http_version = request.http_version.decode("ascii")
        self.headers = {
            name.decode("ascii"): value.decode("latin-1")
            for name, value in request.headers
        }
        self.body = b""
        self.answered = False

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def is_congested(self) -> bool:
        """Whether other callers have left too many answers unread."""
        return self._connection.server.unread.is_exhausted

    async def read_body(self, max_bytes: int) -> None:
        """Reads the complete body.

        Args:
            max_bytes: Longest body to accept.

        Raises:
            RequestError: The body is too long, malformed or too slow.
            PeerGoneError: The peer closed the connection.
        """
        self.body = await self._connection.read_body(self, max_bytes)

    async def wait_for_close(self) -> None:
        """Returns when the peer closes the connection."""
        await self._connection.wait_for_close()

    async def respond(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a complete answer.

        Args:
            status: HTTP status code.
            headers: Header fields; `content-length` is added.
            body: Body of the answer.

        Raises:
            PeerGoneError: The peer closed the connection or stopped reading.
        """
        self.answered = True
        head = _response(status, {**headers, "content-length": str(len(body))})
        events = [head, h11.Data(data=body), h11.EndOfMessage()]
        if self.method == "HEAD":
            del events[1]
        if len(body) <= _MAX_JOINED_BYTES:
            await self._connection.send(*events)
            return
        # Joined to the head, a large body would be copied once more.
        for event in events:
            await self._connection.send(event)

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Sends the status line and the headers of an answer."""
        self.answered = True
        await self._connection.send(_response(status, headers))

    async def send(self, data: bytes) -> None:
        """Sends a part of the body."""
        await self._connection.send_data(data)

    async def finish(self) -> None:
        """Ends the answer."""
        await self._connection.send(h11.EndOfMessage())

    def hold(self, size: int) -> None:
        """Counts bytes of the answer that are held until it has been sent."""
        self._connection.hold(size)

    def take_over(self) -> tuple[curio.io.Socket, bytes]:
        """Returns the socket after a successful answer to CONNECT.

        Returns:
            The socket, which the server still closes after the handler, and
            the bytes that have been read from it already.
        """
        return self._connection.take_over()

    def abort(self) -> None:
        """Closes the connection before the answer is complete.

        Raises:
            PeerGoneError: Always; the server closes the connection on it.
        """
        raise PeerGoneError("the answer is incomplete")


Handler = Callable[[Exchange], Awaitable[None]]


class Server:
    """Accepts connections and calls a handler for each request.

    Attributes:
        host: IP number to listen on.
        port: Port to listen on; after `start`, the port in use.
        connections: Number of open connections. It falls to 0 once a server
            that is shutting down has answered all requests.
        busy: Number of requests that are being handled.
        limits: Limits in force; a change applies from the next request on.
        closing: Whether each connection closes after its next answer.
        finishing: Whether the server accepts no further request.
        unread: Answers that callers have not read yet.
        memory: Account of the bodies of requests and answers.
        sent_ahead: Requests beside which a caller sent further ahead than is
            read.
        max_connections: Most connections that are open at a time.
        accept_failures: How often no connection could be accepted.
        waits: How often a caller had to wait until there was room for it.
        idle_connections: Connections that wait for a request.
    """

    def __init__(
        self,
        host: str,
        port: int,
        handler: Handler,
        limits: Limits,
        max_connections: int | None = None,
        memory: memory_account.MemoryAccount | None = None,
    ):
        """Makes a server that does not listen yet.

        Args:
            host: IP number to listen on.
            port: Port to listen on, or 0 for any.
            handler: Called for each request.
            limits: Limits of requests and answers.
            max_connections: Most connections that are open at a time, or None
                for three quarters of the process's descriptors: each request
                may need a connection of its own to an endpoint.
            memory: Account of the node's memory, or None for one of its own.
        """
        self.host = host
        self.port = port
        self.connections = 0
        self.busy = 0
        self.limits = limits
        self.closing = False
        self.finishing = False
        self.unread = send_buffers.SendBudget(limits.max_unread_bytes)
        self.memory = memory or memory_account.MemoryAccount()
        self.sent_ahead = 0
        self.max_connections = (
            sockets.connections_for(sockets.usable_descriptors())
            if max_connections is None
            else max_connections
        )
        self.accept_failures = 0
        self.waits = 0
        self.idle_connections = idle_connections.IdleConnections()
        self._open: set[_Connection] = set()
        self._handler = handler
        self._socket = None

    def start(self) -> None:
        """Binds the listener; the port is known afterwards."""
        self._socket = curio.tcp_server_socket(
            self.host, self.port, backlog=512
        )
        self.port = self._socket.getsockname()[1]

    async def serve(self) -> None:
        """Accepts connections until cancelled."""
        async with self._socket:
            while True:
                client = await self._accept()
                if self.finishing:
                    await client.close()
                    continue
                # Counted before its task begins: further connections may be
                # accepted until then.
                self.connections += 1
                await curio.spawn(self._serve_connection, client, daemon=True)

    async def _accept(self) -> curio.io.Socket:
        """Returns the next connection, once there is room for it.

        Meanwhile callers wait in the listener's backlog, and idle connections
        are closed in their favour.
        """
        while True:
            excess = self.connections - self.max_connections + 1
            if excess <= 0:
                try:
                    client, _ = await self._socket.accept()
                    return client
                except OSError as error:
                    if sockets.is_listener_error(error):
                        raise
                    self.accept_failures += 1
                    if not sockets.is_exhaustion(error):
                        # The caller closed its connection meanwhile.
                        continue
                    excess = _MAX_CLOSED_AT_ONCE
            # Idle connections stay open until a caller waits for their place.
            await _read_wait(self._socket.fileno())
            self.waits += 1
            self.idle_connections.close_oldest(excess, clock.now())
            await curio.sleep(_ACCEPT_PAUSE_SECONDS)

    def finish(self) -> None:
        """Accepts no further request; requests already read are answered.

        Idle connections are not read any more. A request that arrives on one
        of them gets no answer, so its caller sees that it was not accepted. A
        request of which some bytes have arrived is accepted.
        """
        self.closing = self.finishing = True
        self.idle_connections.close_all()

    @property
    def is_finished(self) -> bool:
        """Whether the server has answered its last request."""
        return self.finishing and not self._open

    async def _serve_connection(self, client) -> None:
        connection = _Connection(client, self)
        self._open.add(connection)
        try:
            async with client:
                try:
                    await connection.run(self._handle)
                    await connection.buffer.drain()
                finally:
                    await connection.buffer.close()
        except (OSError, PeerGoneError):
            pass
        finally:
            self._open.discard(connection)
            self.idle_connections.discard(connection)
            self.connections -= 1

    async def _handle(self, exchange: Exchange) -> None:
        self.busy += 1
        try:
            await self._handler(exchange)
        finally:
            self.busy -= 1


class _Connection(idle_connections.Connection):
    """State of one connection."""

    def __init__(self, client, server: Server):
        self.client = client
        self.server = server
        self.received = receive_buffers.ReceiveBuffer(
            client, self._count_sent_ahead
        )
        self.http = self._new_http()
        self.buffer = send_buffers.SendBuffer(client, server.unread)
        self._request_body = memory_account.Holding(
            server.memory, memory_account.Use.REQUEST
        )
        self._answer_body = memory_account.Holding(
            server.memory, memory_account.Use.ANSWER
        )
        self._reading_stopped = False
        self._resets = False
        # Whether the answer to the request may have a body, and whether h11
        # frames it as chunks.
        self._has_body = True
        self._is_chunked = False

    def _count_sent_ahead(self) -> None:
        self.server.sent_ahead += 1

    def has_received(self) -> bool:
        """Returns whether bytes of the next request have arrived."""
        if self.received.data:
            return True
        try:
            return bool(self.received.reader.has_data())
        except OSError:
            return False

    def stop_reading(self) -> None:
        """Accepts no further request; a request already read is answered."""
        self._reading_stopped = True
        with contextlib.suppress(OSError):
            self.client._socket.shutdown(socket.SHUT_RD)

    @property
    def limits(self) -> Limits:
        return self.server.limits

    def _new_http(self) -> h11.Connection:
        # `_read_head` bounds the header section; this limit also bounds the
        # header lines of chunks.
        return h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self.limits.max_header_bytes + 1,
        )

    async def run(self, handler: Handler) -> None:
        for served in itertools.count(1):
            self.server.idle_connections.add(self, clock.now())
            exchange = await self._next_exchange()
            if exchange is None:
                return
            self.server.idle_connections.discard(self)
            if not await self._handle(handler, exchange):
                return
            # The request is freed while the connection waits for the next one.
            del exchange
            if not await self._prepare_reuse() or self.server.finishing:
                # An answer whose head was sent before the shutdown began has
                # no `connection: close`; the peer's next request is not read.
                return
            if self.received.data or served % _REQUESTS_PER_TURN == 0:
                # Requests that were sent ahead must not hold up the others.
                await curio.sleep(0)

    async def _handle(self, handler: Handler, exchange: Exchange) -> bool:
        """Handles a request; returns whether the connection may go on."""
        try:
            await handler(exchange)
        except RequestError as error:
            if not exchange.answered:
                await self._refuse(error.kind, error.detail)
        except PeerGoneError:
            return False
        except Exception:
            _LOG.exception("the handler of a request failed")
            if exchange.answered:
                return False
            await self._refuse(errors.ErrorKind.INTERNAL, None)
        finally:
            self._request_body.release()
            self._answer_body.release()
        return True

    async def _next_exchange(self) -> Exchange | None:
        try:
            request = await self._next_request()
        except RequestError as error:
            await self._refuse(error.kind, error.detail)
            return None
        if request is None:
            return None
        return Exchange(self, request)

    async def _next_request(self) -> h11.Request | None:
        head = await self._read_head()
        if head is None:
            return None
        _check_framing(head)
        self.http.receive_data(head)
        try:
            event = self.http.next_event()
        except h11.RemoteProtocolError as error:
            raise RequestError(
                errors.ErrorKind.BAD_REQUEST, _violation_text(error)
            ) from error
        if not isinstance(event, h11.Request):
            return None
        self._has_body = event.method not in (b"HEAD", b"CONNECT")
        return event

    async def _read_head(self) -> bytes | None:
        """Removes the next header section from `received`.

        Returns:
            The section with its empty line, or None if the peer closed the
            connection or sent nothing within the idle timeout.
        """
        deadline: float | None = None
        idle_until = await curio.clock() + self.limits.idle_timeout_seconds
        limit = self.limits.max_header_bytes
        blank_bytes = 0
        received = self.received.data
        while True:
            # Empty lines before a request line are allowed (RFC 9112, 2.2).
            if end := _BLANK_LINES.match(received).end():
                del received[:end]
                blank_bytes += end
            end = received.find(b"\r\n\r\n")
            if end >= 0 and end + 4 <= limit:
                return self.received.take(end + 4)
            if blank_bytes + len(received) > limit:
                raise RequestError(
                    errors.ErrorKind.HEADERS_TOO_LARGE,
                    f"the header section exceeds {limit} bytes",
                )
            if b"\n\n" in received:
                raise _bare_line_feed()
            now = await curio.clock()
            # The first byte starts the timeout for the complete header section.
            if deadline is None and received:
                deadline = now + self.limits.receive_timeout_seconds
            ends_at = idle_until if deadline is None else deadline
            timeout = max(ends_at - now, 0.001)
            arrived = await self._receive(limit + 1 - len(received), timeout)
            if arrived is False:
                return None
            if arrived is None:
                if deadline is None:
                    return None
                raise RequestError(
                    errors.ErrorKind.REQUEST_TIMEOUT,
                    "the header section did not arrive in time",
                )

    async def read_body(self, exchange: Exchange, max_bytes: int) -> bytes:
        length = _declared_length(exchange)
        if length is not None:
            if length > max_bytes:
                raise _too_large(max_bytes)
            await self._reserve_room(length)
        if self.http.they_are_waiting_for_100_continue:
            await self.send(
                h11.InformationalResponse(status_code=100, headers=[])
            )
        body = bytearray()
        deadline = await curio.clock() + self.limits.receive_timeout_seconds
        while True:
            await self.received.reader.step()
            try:
                event = self.http.next_event()
            except h11.RemoteProtocolError as error:
                raise RequestError(
                    errors.ErrorKind.BAD_REQUEST, _violation_text(error)
                ) from error
            if event is h11.NEED_DATA:
                if self._parse_received():
                    continue
                # Bytes of a body have room; those after it do not.
                wanted = (
                    self.limits.max_ahead_bytes
                    if length is None
                    else min(length - len(body), _READ_BYTES)
                )
                left = deadline - await curio.clock()
                arrived = await self._receive(wanted, max(left, 0.001))
                if arrived is None:
                    raise RequestError(
                        errors.ErrorKind.REQUEST_TIMEOUT,
                        "the body did not arrive in time",
                    )
                if not arrived:
                    self.http.receive_data(b"")
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > max_bytes:
                    raise _too_large(max_bytes)
                if len(body) > self._request_body.size:
                    # Few steps, however many chunks there are.
                    ahead = min(len(body), _READ_BYTES)
                    await self._reserve_room(len(body) + ahead)
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise PeerGoneError

    def _parse_received(self) -> bool:
        """Passes received bytes to h11; returns whether there were any."""
        data = self.received.take(self.limits.max_ahead_bytes)
        if data:
            self.http.receive_data(data)
        return bool(data)

    async def _reserve_room(self, size: int) -> None:
        try:
            await self._request_body.extend(size)
        except memory_account.NoRoomError as error:
            raise RequestError(
                errors.ErrorKind.OVERLOADED,
                "the node holds as many bytes of other bodies as it may",
            ) from error

    def hold(self, size: int) -> None:
        self._answer_body.add(size)

    def take_over(self) -> tuple[curio.io.Socket, bytes]:
        self.received.put_back(self.http.trailing_data[0])
        return self.client, bytes(self.received.data)

    async def wait_for_close(self) -> None:
        await self.received.wait_for_end(self.limits.max_ahead_bytes)
        # `stop_reading` shuts the socket's read side down, so the end of input
        # does not show whether the peer closed the connection.
        while self._reading_stopped and sockets.is_established(self.client):
            await curio.sleep(_CLOSE_CHECK_SECONDS)

    async def send(self, *events: h11.Event) -> None:
        """Sends events with one write."""
        await self._write(b"".join(map(self._encode, events)))

    def _encode(self, event: h11.Event) -> bytes:
        if isinstance(event, h11.Response) and (
            self.server.closing or not self._skip_received_body()
        ):
            event = h11.Response(
                status_code=event.status_code,
                headers=[*event.headers, (b"connection", b"close")],
                reason=event.reason,
            )
        try:
            data = self.http.send(event)
        except h11.LocalProtocolError as error:
            raise PeerGoneError from error
        if isinstance(event, h11.Response):
            self.buffer.held_seconds = 0.0
            self._is_chunked = self._sends_chunks(event)
            if self._ends_with_close(event):
                self._reset_on_close(True)
        elif isinstance(event, h11.EndOfMessage):
            self._reset_on_close(False)
        return data or b""

    async def send_data(self, data: bytes) -> None:
        """Sends a part of the body.

        A chunk is framed here: h11 would check the state of the connection
        again for each event of a stream, and it counts no chunked bytes.
        """
        if not self._is_chunked or self.http.our_state is not h11.SEND_BODY:
            await self.send(h11.Data(data=data))
        elif data:
            await self._write(b"%x\r\n%b\r\n" % (len(data), data))

    def _sends_chunks(self, head: h11.Response) -> bool:
        """Returns whether h11 frames the body of this answer as chunks."""
        return (
            self.http.our_state is h11.SEND_BODY
            and self._has_body
            and head.status_code not in _STATUSES_WITHOUT_BODY
            and self.http.their_http_version not in (None, b"1.0")
            and not any(name == b"content-length" for name, _ in head.headers)
        )

    async def _write(self, data: bytes) -> None:
        if not data:
            return
        try:
            await self.buffer.send(
                data,
                self.limits.send_timeout_seconds,
                self.limits.max_held_seconds,
            )
            if self._resets:
                # Only the close ends this answer, and it must not look
                # complete if the rest is never read.
                await self.buffer.drain()
        except send_buffers.SlowReaderError as error:
            await self.buffer.close()
            raise PeerGoneError from error
        except OSError as error:
            raise PeerGoneError from error

    def _skip_received_body(self) -> bool:
        """Skips the part of the body that has arrived and was not read.

        Returns:
            Whether the request has been received to its end. Otherwise its
            connection cannot be used again.
        """
        for _ in range(socket_reader.STEPS_PER_TURN):
            if self.http.their_state is not h11.SEND_BODY:
                return True
            try:
                if (
                    self.http.next_event() is h11.NEED_DATA
                    and not self._parse_received()
                ):
                    return False
            except h11.RemoteProtocolError:
                return False
        return False

    def _ends_with_close(self, head: h11.Response) -> bool:
        """Returns whether only a close shows the peer the end of an answer.

        HTTP/1.0 has no chunks.
        """
        return self.http.their_http_version == b"1.0" and not any(
            name == b"content-length" for name, _ in head.headers
        )

    def _reset_on_close(self, enabled: bool) -> None:
        if enabled is not self._resets:
            self._resets = enabled
            sockets.set_reset_on_close(self.client, enabled)

    async def _receive(self, max_bytes: int, timeout: float) -> bool | None:
        """Receives bytes.

        Args:
            max_bytes: Most bytes to receive.
            timeout: Longest time in seconds.

        Returns:
            Whether bytes arrived before the end of the connection, or None if
            neither came in time.
        """
        try:
            async with curio.timeout_after(timeout):
                return await self.received.receive(max_bytes)
        except curio.TaskTimeout:
            return None
        except OSError as error:
            raise PeerGoneError from error

    async def _refuse(self, kind: errors.ErrorKind, detail: str | None) -> None:
        """Sends an error answer and closes the connection."""
        if self.http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        status, headers, body = responses.problem(kind, "", detail)
        headers["connection"] = "close"
        headers["content-length"] = str(len(body))
        await self.send(_response(status, headers))
        await self.send(h11.Data(data=body))
        await self.send(h11.EndOfMessage())
        await self._drain()

    async def _drain(self) -> None:
        # Closing with unread input would reset the connection and could
        # destroy the answer before the peer reads it.
        try:
            async with curio.timeout_after(1.0):
                await self.buffer.drain()
                await self.client.shutdown(1)
                while await self.received.reader.receive(_READ_BYTES):
                    pass
        except (curio.TaskTimeout, OSError):
            pass

    async def _prepare_reuse(self) -> bool:
        if self.http.our_state not in (h11.DONE, h11.MUST_CLOSE):
            return False
        if self.http.their_state is h11.SEND_BODY:
            await self._drain()
            return False
        if (self.http.our_state, self.http.their_state) != (h11.DONE, h11.DONE):
            return False
        self.received.put_back(self.http.trailing_data[0])
        self.http = self._new_http()
        return not self.received.ended or bool(self.received.data)


def _declared_length(exchange: Exchange) -> int | None:
    """Returns the length of a body, or None if it comes in chunks."""
    if "transfer-encoding" in exchange.headers:
        return None
    text = exchange.headers.get("content-length", "0")
    return int(text) if text.isdigit() else None


def _check_framing(head: bytes) -> None:
    """Rejects header sections that HTTP parsers interpret differently.

    A second request can be smuggled in such a section past one of two parsers
    (RFC 9112, 11.2).

    Args:
        head: Header section, including its empty line.

    Raises:
        RequestError: A line contains a bare LF or CR, a line is folded, or
            the length of the body is given more than once.
    """
    if head.count(b"\n") != head.count(b"\r\n"):
        raise _bare_line_feed()
    if head.count(b"\r") != head.count(b"\r\n"):
        raise RequestError(
            errors.ErrorKind.BAD_REQUEST,
            "a line of the header section contains a bare CR",
        )
    content_lengths = transfer_encodings = 0
    for line in head.split(b"\r\n")[1:]:
        if line.startswith((b" ", b"\t")):
            raise RequestError(
                errors.ErrorKind.BAD_REQUEST, "a header field is folded"
            )
        name = line.partition(b":")[0].strip().lower()
        content_lengths += name == b"content-length"
        transfer_encodings += name == b"transfer-encoding"
    if content_lengths + transfer_encodings > 1:
        raise RequestError(
            errors.ErrorKind.BAD_REQUEST,
            "the length of the body is given more than once",
        )


def _bare_line_feed() -> RequestError:
    return RequestError(
        errors.ErrorKind.BAD_REQUEST,
        "a line of the header section ends with a bare LF",
    )


def _violation_text(error: h11.RemoteProtocolError) -> str:
    """Returns what is wrong with a request, without the bytes that h11 quotes.

    h11 quotes a malformed line as a Python value. Only the name of a header
    field is kept of it, because a caller can read that as plain text.
    """
    text, _, line = str(error).partition(": bytearray(b")
    name = line[1:].partition(":")[0].strip()
    letters = name.replace("-", "").replace("_", "")
    if text == "illegal header line" and letters.isalnum():
        return f"the header field {name} is malformed"
    return text


def _response(status: int, headers: dict[str, str]) -> h11.Response:
    return h11.Response(
        status_code=status,
        # h11 accepts text in ASCII only.
        headers=[
            (name, value.encode("latin-1")) for name, value in headers.items()
        ],
        reason=_REASONS.get(status, ""),
    )


def _too_large(max_bytes: int) -> RequestError:
    return RequestError(
        errors.ErrorKind.BODY_TOO_LARGE,
        f"the body exceeds {max_bytes} bytes",
    )
