"""Passes requests to endpoints and their answers back as they come."""

import abc
import collections
import contextlib
import enum
import itertools
import re

import curio
import msgspec

from baobabmux_core import declarations, ids, states
from baobabmux_node import adapters, client, clock

# A handshake takes a few milliseconds; an endpoint whose first packet is lost
# or that has gone dark is given up in favour of another one.
CONNECT_TIMEOUT_SECONDS = 0.3
MAX_BODY_BYTES = 16_000_000
_MAX_EVENT_BYTES = 1_000_000
# Idle connections kept for each endpoint; more than a node uses at a time.
_MAX_IDLE = 8
# An idle connection without a known timeout is used again only so soon.
_DEFAULT_IDLE_SECONDS = 1.0
# Margin before the endpoint closes an idle connection by its own clock.
_IDLE_MARGIN_SECONDS = 0.5
_WATCH_SECONDS = 0.5

_EVENT_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)


class Verdict(enum.Enum):
    """What the head of an answer says about a call."""

    ANSWER = "answer"
    STRAY = "stray"  # It answers another request.
    NOT_RUN = "not_run"  # The endpoint refused the request.
    MISDIRECTED = "misdirected"  # Another endpoint has the address now.
    FAILED = "failed"  # The endpoint ran the request without success.
    GARBAGE = "garbage"  # It is no valid answer.


class AnswerTimeouts(msgspec.Struct, frozen=True):
    """How long a call that another endpoint may take over is waited for.

    Attributes:
        first_seconds: Until the first event, or the whole answer if it is no
            stream.
        gap_seconds: Between events.
    """

    first_seconds: float
    gap_seconds: float


class Dialect(abc.ABC):
    """How endpoints of one platform speak HTTP."""

    @abc.abstractmethod
    def request_fields(
        self, call: adapters.Call, last_event: int | None
    ) -> client.Fields:
        """Returns the header fields of a request.

        Args:
            call: The call.
            last_event: Number of the event after which a stream goes on, or
                None.
        """

    @abc.abstractmethod
    def classify(self, call: adapters.Call, head: client.Head) -> Verdict:
        """Tells what the head of an answer means."""

    @abc.abstractmethod
    def answer_headers(self, head: client.Head) -> dict[str, str]:
        """Returns the header fields of an answer for the caller."""

    @abc.abstractmethod
    def answer_timeouts(self, call: adapters.Call) -> AnswerTimeouts:
        """Returns how long a repeatable call is waited for."""

    @abc.abstractmethod
    def tokens_per_event(self, call: adapters.Call) -> int:
        """Returns how many tokens an event of a stream stands for."""


class _Idle(msgspec.Struct):
    connection: client.ClientConnection
    until: float


class ConnectionPool:
    """Idle connections by endpoint.

    Attributes:
        opened: Connections opened so far.
        reused: Requests sent on a connection that was open already.
        limits: Idle connections that each known endpoint may keep.
    """

    def __init__(self):
        self.opened = 0
        self.reused = 0
        self.limits: dict[ids.EndpointId, int] = {}
        self._idle: dict[ids.EndpointId, collections.deque[_Idle]] = {}

    async def take(
        self, endpoint: ids.EndpointId, now: float
    ) -> client.ClientConnection | None:
        """Returns a connection that is open and quiet, or None."""
        idle = self._idle.get(endpoint)
        while idle:
            entry = idle.pop()
            if entry.until > now and entry.connection.is_quiet():
                self.reused += 1
                return entry.connection
            await entry.connection.close()
        return None

    async def put(
        self,
        endpoint: ids.EndpointId,
        connection: client.ClientConnection,
        head: client.Head,
        now: float,
    ) -> None:
        """Keeps a connection whose answer has ended, or closes it."""
        seconds = _idle_seconds(head)
        if seconds <= 0 or not connection.recycle():
            await connection.close()
            return
        idle = self._idle.setdefault(endpoint, collections.deque())
        idle.append(_Idle(connection, now + seconds))
        if len(idle) > self.limits.get(endpoint, _MAX_IDLE):
            await idle.popleft().connection.close()

    async def trim(self, limits: dict[ids.EndpointId, int], now: float) -> None:
        """Closes what is too old, too many or leads to no known endpoint.

        Args:
            limits: Idle connections for each known endpoint.
            now: Current time in seconds.
        """
        self.limits = limits
        surplus = []
        for endpoint in list(self._idle):
            limit = limits.get(endpoint, 0)
            fresh: collections.deque[_Idle] = collections.deque()
            # The newest are used first, so the oldest go.
            for entry in reversed(self._idle.pop(endpoint)):
                if entry.until > now and len(fresh) < limit:
                    fresh.appendleft(entry)
                else:
                    surplus.append(entry.connection)
            if fresh:
                self._idle[endpoint] = fresh
        for connection in surplus:
            await connection.close()


def idle_limits(
    configuration: declarations.Configuration, nodes: int
) -> dict[ids.EndpointId, int]:
    """Returns the idle connections that a node may keep to each endpoint.

    Those of all nodes and one for each running request stay within what the
    endpoint accepts, as far as every node may keep one.
    """
    found = {}
    for name, endpoint in configuration.endpoints.items():
        accepted = configuration.services[endpoint.service].max_connections
        share = (accepted - endpoint.max_requests) // max(1, nodes)
        found[name] = min(_MAX_IDLE, max(1, share)) if accepted else _MAX_IDLE
    return found


def _idle_seconds(head: client.Head) -> float:
    if "close" in head.headers.get("connection", "").lower():
        return 0.0
    match = re.search(r"timeout=(\d+)", head.headers.get("keep-alive", ""))
    if match is None:
        return _DEFAULT_IDLE_SECONDS
    return float(match[1]) - _IDLE_MARGIN_SECONDS


class _Watch:
    """Ends a connection that brings nothing for too long.

    One task watches a whole call, because a timer for each read would cost
    more than the read.
    """

    def __init__(self, connection: client.ClientConnection, due: float):
        self.due = due
        self.expired = False
        self._connection = connection

    async def run(self) -> None:
        while (left := self.due - clock.now()) > 0:
            await curio.sleep(min(left, _WATCH_SECONDS))
        self.expired = True
        self._connection.interrupt()


class RelayAdapter(adapters.EndpointAdapter):
    """Runs a call at an endpoint that speaks a dialect of HTTP/1.1.

    Attributes:
        pool: Idle connections.
    """

    def __init__(self, dialect: Dialect):
        self.pool = ConnectionPool()
        self._dialect = dialect

    async def run(
        self, call: adapters.Call, sink: adapters.Sink
    ) -> adapters.Result:
        """Runs a call; see the base class."""
        connection = None
        if call.repeatable:
            # A connection that the endpoint has just dropped leaves open
            # whether the request was run, so only these may meet one.
            connection = await self.pool.take(call.endpoint, clock.now())
        if connection is None:
            connection = client.ClientConnection(call.address, None)
            self.pool.opened += 1
        watch = None
        watcher = None
        try:
            await connection.connect_once(CONNECT_TIMEOUT_SECONDS)
            if not call.permit():
                return adapters.Result(
                    states.Outcome.NOT_SENT, "no longer permitted"
                )
            if call.repeatable:
                first = self._dialect.answer_timeouts(call).first_seconds
                watch = _Watch(connection, clock.now() + first)
                watcher = await curio.spawn(watch.run, daemon=True)
            return await self._exchange(call, sink, connection, watch)
        except client.ClientError as error:
            outcome = adapters.failure_outcome(error)
            expired = watch is not None and watch.expired
            detail = "no bytes in time" if expired else str(error)
            return adapters.Result(outcome, detail, output_tokens=sink.tokens)
        finally:
            if watcher is not None:
                await watcher.cancel(blocking=False)
            await connection.close_unless_kept()

    async def _exchange(self, call, sink, connection, watch):
        fields = self._dialect.request_fields(call, sink.last_event)
        await connection.send_request(
            call.method, call.target, fields, call.body
        )
        while True:
            head = await connection.head()
            verdict = self._dialect.classify(call, head)
            if verdict is not Verdict.STRAY:
                break
            await connection.read(MAX_BODY_BYTES)
            connection.skip_answer()
        if verdict is Verdict.GARBAGE:
            return adapters.Result(
                states.Outcome.GARBAGE, f"no valid answer: {head.status}"
            )
        if verdict in (Verdict.NOT_RUN, Verdict.MISDIRECTED):
            await self._discard_body(call, connection, head)
            if verdict is Verdict.MISDIRECTED:
                return adapters.Result(
                    states.Outcome.NOT_SENT, "another endpoint has the address"
                )
            return adapters.Result(
                states.Outcome.REJECTED, f"not run: {head.status}"
            )
        if verdict is Verdict.FAILED and call.repeatable:
            await self._discard_body(call, connection, head)
            return adapters.Result(
                states.Outcome.FAILED, f"the endpoint failed: {head.status}"
            )
        streams = "text/event-stream" in head.headers.get("content-type", "")
        if streams and verdict is Verdict.ANSWER:
            await self._relay_events(call, sink, connection, watch, head)
        else:
            # A head goes out only with its whole body, so that a broken
            # answer never looks complete.
            body = await connection.read(MAX_BODY_BYTES)
            await sink.head(head.status, self._dialect.answer_headers(head))
            await sink.data(body)
            sink.progress(1)
        await self._keep(call, connection, head)
        return adapters.Result(
            states.Outcome.COMPLETED, output_tokens=sink.tokens
        )

    async def _discard_body(self, call, connection, head) -> None:
        """Reads an answer to its end, so that the connection may be kept."""
        with contextlib.suppress(client.ClientError):
            await connection.read(MAX_BODY_BYTES)
            await self._keep(call, connection, head)

    async def _keep(self, call, connection, head) -> None:
        connection.kept = True
        await self.pool.put(call.endpoint, connection, head, clock.now())

    async def _relay_events(self, call, sink, connection, watch, head) -> None:
        """Passes whole events on, each number once."""
        gap = self._dialect.answer_timeouts(call).gap_seconds
        tokens_each = self._dialect.tokens_per_event(call)
        headers = self._dialect.answer_headers(head)
        buffer = b""
        while (part := await connection.next_part()) is not None:
            buffer += part
            end = buffer.rfind(b"\n\n") + 2
            if end < 2:
                if len(buffer) > _MAX_EVENT_BYTES:
                    raise client.ProtocolError("an event is too long")
                continue
            events, buffer = buffer[:end], buffer[end:]
            events, count = _new_events(events, sink)
            if not events:
                continue
            if watch is not None:
                watch.due = clock.now() + gap
            await sink.head(head.status, headers)
            await sink.data(events)
            sink.progress(sink.tokens + count * tokens_each)
        await sink.head(head.status, headers)
        if buffer:
            await sink.data(buffer)


def _new_events(events: bytes, sink) -> tuple[bytes, int]:
    """Drops events that were passed on before.

    Args:
        events: Whole events.
        sink: Receiver; its `last_event` moves on.

    Returns:
        The new events and their number.

    Raises:
        ProtocolError: Numbers do not increase.
    """
    numbers = [int(number) for number in _EVENT_ID.findall(events)]
    if not numbers:
        return events, events.count(b"\n\n")
    last = sink.last_event
    if last is not None and numbers[0] <= last:
        kept = [
            block
            for block in events.split(b"\n\n")[:-1]
            if (found := _EVENT_ID.search(block)) and int(found[1]) > last
        ]
        events = b"".join(block + b"\n\n" for block in kept)
        numbers = [number for number in numbers if number > last]
    if any(a >= b for a, b in itertools.pairwise(numbers)):
        raise client.ProtocolError("events are out of order")
    if numbers:
        sink.last_event = numbers[-1]
    return events, len(numbers)
