"""Relays requests to HTTP/1.1 endpoints and streams their answers back.

The module owns the pool of idle connections to endpoints. A `Dialect` supplies
the header fields of one platform and classifies its answers.
"""

import abc
import collections
import contextlib
import enum
import functools
import re

import curio
import msgspec

from baobabmux_core import declarations, ids, states
from baobabmux_node import (
    adapters,
    client,
    clock,
    event_order,
    event_streams,
    memory_account,
    silence,
    whole_answers,
)

# A handshake takes a few milliseconds. If the first packet is lost or the
# endpoint is unreachable, the request moves to another endpoint.
CONNECT_TIMEOUT_SECONDS = 0.3
# Idle connections kept for each endpoint; a node uses fewer at a time.
_MAX_IDLE_CONNECTIONS = 8
# Idle time after which a connection without a known timeout is not reused.
_DEFAULT_IDLE_SECONDS = 1.0
# A connection expires this long before the endpoint's idle timeout, because
# the endpoint measures the timeout with its own clock.
_IDLE_MARGIN_SECONDS = 0.5


class Verdict(enum.Enum):
    """Classification of a call by the head of an answer."""

    ANSWER = "answer"
    STRAY = "stray"  # The answer belongs to another request.
    NOT_RUN = "not_run"  # The endpoint refused the request without running it.
    MISDIRECTED = "misdirected"  # Another endpoint has the address now.
    FAILED = "failed"  # The endpoint ran the request without success.
    GARBAGE = "garbage"  # The answer is not valid.


class AnswerTimeouts(msgspec.Struct, frozen=True):
    """Timeouts of a call that another endpoint may take over.

    Attributes:
        first_seconds: Longest time to the first event of a stream, or to the
            end of an answer that is not a stream.
        gap_seconds: Longest time between two events.
    """

    first_seconds: float
    gap_seconds: float


class Dialect(abc.ABC):
    """Header fields and answers of the endpoints of one platform."""

    @abc.abstractmethod
    def request_fields(
        self, call: adapters.Call, last_event: ids.EventId | None
    ) -> client.Fields:
        """Returns the header fields of a request.

        Args:
            call: The call.
            last_event: Event after which a stream resumes, or None.
        """

    @abc.abstractmethod
    def classify(self, call: adapters.Call, head: client.Head) -> Verdict:
        """Classifies an answer by its head."""

    def request_limit(self, head: client.Head) -> float | None:
        """Returns the endpoint's limit in requests a second, or None.

        Raises:
            ValueError: The answer names a limit that is not a number.
        """
        del head
        return None

    def is_leaving(self, head: client.Head) -> bool:
        """Returns whether an answer says that its endpoint is leaving."""
        del head
        return False

    @abc.abstractmethod
    def answer_headers(self, head: client.Head) -> dict[str, str]:
        """Returns the header fields of an answer for the caller."""

    @abc.abstractmethod
    def answer_timeouts(self, call: adapters.Call) -> AnswerTimeouts:
        """Returns the timeouts of a repeatable call."""

    @abc.abstractmethod
    def tokens_per_event(self, call: adapters.Call) -> int:
        """Returns the number of tokens in each event of a stream."""


class _IdleConnection(msgspec.Struct):
    connection: client.ClientConnection
    idle_since: float
    expires_at: float


class ConnectionPool:
    """Idle connections by endpoint.

    Attributes:
        opened: Number of connections opened.
        reused: Number of requests sent on a pooled connection.
        limits: Most idle connections kept to each known endpoint.
    """

    def __init__(self):
        self.opened = 0
        self.reused = 0
        self.limits: dict[ids.EndpointId, int] = {}
        self._idle: dict[
            ids.EndpointId, collections.deque[_IdleConnection]
        ] = {}

    async def take(
        self, endpoint: ids.EndpointId, now: float, idle_after: float = 0.0
    ) -> client.ClientConnection | None:
        """Returns a connection that is open and has no unread bytes, or None.

        Connections that have expired or have unread bytes are closed, and
        those that were idle before `idle_after`.
        """
        idle = self._idle.get(endpoint)
        while idle:
            entry = idle.pop()
            if (
                entry.expires_at > now
                and entry.idle_since >= idle_after
                and entry.connection.is_reusable()
            ):
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
        """Adds a connection whose answer has ended, or closes it."""
        seconds = _idle_seconds(head)
        # A tunnel is not kept: its way is only needed while a link is lost.
        if seconds <= 0 or connection.via or not connection.recycle():
            await connection.close()
            return
        idle = self._idle.setdefault(endpoint, collections.deque())
        idle.append(_IdleConnection(connection, now, now + seconds))
        if len(idle) > self.limits.get(endpoint, _MAX_IDLE_CONNECTIONS):
            await idle.popleft().connection.close()

    async def trim(self, limits: dict[ids.EndpointId, int], now: float) -> None:
        """Closes expired and surplus connections.

        Connections to endpoints without a limit are closed as well.

        Args:
            limits: Most idle connections to each known endpoint.
            now: Current time in seconds.
        """
        self.limits = limits
        surplus = []
        for endpoint in list(self._idle):
            limit = limits.get(endpoint, 0)
            fresh: collections.deque[_IdleConnection] = collections.deque()
            # `take` uses the newest first, so the oldest are closed.
            for entry in reversed(self._idle.pop(endpoint)):
                if entry.expires_at > now and len(fresh) < limit:
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
    """Returns the most idle connections that a node keeps to each endpoint.

    The idle connections of all nodes, plus one connection for each running
    request, stay within the connections that the endpoint accepts. Each node
    may keep one in any case, even if that exceeds what the endpoint accepts.
    """
    limit_by_endpoint = {}
    for name, endpoint in configuration.endpoints.items():
        accepted = configuration.services[endpoint.service].max_connections
        share = (accepted - endpoint.max_requests) // max(1, nodes)
        limit_by_endpoint[name] = (
            min(_MAX_IDLE_CONNECTIONS, max(1, share))
            if accepted
            else _MAX_IDLE_CONNECTIONS
        )
    return limit_by_endpoint


def _idle_seconds(head: client.Head) -> float:
    if "close" in head.headers.get("connection", "").lower():
        return 0.0
    match = re.search(r"timeout=(\d+)", head.headers.get("keep-alive", ""))
    if match is None:
        return _DEFAULT_IDLE_SECONDS
    return float(match[1]) - _IDLE_MARGIN_SECONDS


class RelayAdapter(adapters.EndpointAdapter):
    """Runs calls at HTTP/1.1 endpoints with the header fields of a dialect.

    Attributes:
        pool: Idle connections to all endpoints.
        answers: Reader of the answers that are no streams.
    """

    def __init__(
        self,
        dialect: Dialect,
        account: memory_account.MemoryAccount | None = None,
    ):
        """Creates the adapter.

        Args:
            dialect: Header fields and classes of answers.
            account: Account of the node's memory, or None for one of its own.
        """
        self.pool = ConnectionPool()
        self.answers = whole_answers.AnswerReader(
            account or memory_account.MemoryAccount()
        )
        self._dialect = dialect

    async def run(
        self, call: adapters.Call, sink: adapters.Sink
    ) -> adapters.Result:
        """Runs a call; see the base class."""
        connection = None
        if call.repeatable:
            # If the endpoint closes a pooled connection while a request is
            # sent, it is unknown whether the request ran. Only repeatable
            # requests may take that risk.
            connection = await self.pool.take(
                call.endpoint, clock.now(), call.connector.lost_since(call)
            )
        watch = None
        watch_task = None
        splitter = event_streams.EventSplitter()
        try:
            if connection is None:
                self.pool.opened += 1
                connection = await call.connector.open(
                    call, CONNECT_TIMEOUT_SECONDS, None
                )
            if not call.permit():
                return adapters.Result(
                    states.Outcome.NOT_SENT,
                    "the dispatch is no longer permitted",
                )
            if call.repeatable:
                first = self._dialect.answer_timeouts(call).first_seconds
                watch = silence.SilenceWatch(
                    connection,
                    first,
                    clock.now(),
                    call.report_silence,
                    call.slow_seconds(),
                    call.report_slow,
                )
                watch_task = await curio.spawn(watch.run, daemon=True)
            result = await self._exchange(
                call, sink, connection, watch, splitter
            )
        except client.ClientError as error:
            outcome = adapters.failure_outcome(error)
            if connection is not None and outcome is states.Outcome.BROKEN:
                call.connector.broke(call, connection)
            expired = watch is not None and watch.expired
            detail = (
                "the endpoint sent no data in time" if expired else str(error)
            )
            result = adapters.Result(
                outcome,
                detail,
                output_tokens=sink.tokens,
                refused=isinstance(error, client.RefusedError),
            )
        finally:
            if watch_task is not None:
                await watch_task.cancel(blocking=False)
                watch.release()
            if connection is not None:
                await call.connector.release(
                    call,
                    connection,
                    functools.partial(self._report_unawaited, call, connection),
                )
        if connection is None:
            return result
        return msgspec.structs.replace(
            result,
            framing=connection.framing,
            rest_bytes=len(splitter.rest),
            interrupted=connection.interrupted,
            via=connection.via,
            silent_seconds=0.0
            if watch is None
            else watch.longest_seconds(clock.now()),
        )

    async def _exchange(self, call, sink, connection, watch, splitter):
        fields = self._dialect.request_fields(call, sink.last_event)
        await connection.send_request(
            call.method, call.target, fields, call.body
        )
        while True:
            head = await connection.head()
            call.connector.answered(call, connection)
            verdict = self._dialect.classify(call, head)
            if verdict is not Verdict.STRAY:
                break
            await self.answers.discard(connection)
            connection.skip_answer()
        await self._report_statements(call, connection, head, verdict)
        if verdict is Verdict.GARBAGE:
            return adapters.Result(
                states.Outcome.GARBAGE,
                f"the endpoint sent an invalid answer: status {head.status}",
            )
        if verdict in (Verdict.NOT_RUN, Verdict.MISDIRECTED):
            await self._discard_body(call, connection, head)
            if verdict is Verdict.MISDIRECTED:
                return adapters.Result(
                    states.Outcome.NOT_SENT, "another endpoint has the address"
                )
            return adapters.Result(
                states.Outcome.REJECTED,
                f"the endpoint did not run the request: status {head.status}",
            )
        if verdict is Verdict.FAILED and (
            call.repeatable or not call.may_answer_failure(head.status)
        ):
            await self._discard_body(call, connection, head)
            return adapters.Result(
                states.Outcome.FAILED,
                f"the endpoint failed: status {head.status}",
                status=head.status,
            )
        streams = event_streams.is_event_stream(head)
        if streams and verdict is Verdict.ANSWER:
            await self._relay_events(
                call, sink, connection, watch, head, splitter
            )
        else:
            # The head is sent only once the body is complete, so that the
            # caller never takes a broken answer for a complete one.
            if watch is not None:
                watch.is_bounded = True
            holding = self.answers.holding()
            try:
                body = await self.answers.read(connection, holding)
                await _record_progress(call, watch)
                await sink.head(head.status, self._dialect.answer_headers(head))
                await sink.data(body)
            finally:
                # A sink that keeps the body counts it itself.
                holding.release()
            sink.progress(1)
        await self._return_to_pool(call, connection, head)
        return adapters.Result(
            states.Outcome.COMPLETED,
            output_tokens=sink.tokens,
            status=head.status,
        )

    async def _report_statements(self, call, connection, head, verdict) -> None:
        """Reports what an answer of the call's endpoint says of it."""
        if verdict in (Verdict.GARBAGE, Verdict.MISDIRECTED):
            return
        if self._dialect.is_leaving(head):
            await call.report_leaving()
        if seconds := adapters.parse_pause(head):
            await call.report_pause(seconds)
            await call.connector.paused(call, connection, seconds)
        try:
            rate = self._dialect.request_limit(head)
        except ValueError:
            return
        if rate is None and verdict is Verdict.NOT_RUN:
            # Refusals need not repeat the limit.
            return
        await call.report_limit(rate)

    async def _report_unawaited(self, call, connection, head) -> None:
        """Reports what an answer says that arrived after its attempt ended."""
        verdict = self._dialect.classify(call, head)
        if verdict is not Verdict.STRAY:
            await self._report_statements(call, connection, head, verdict)

    async def _discard_body(self, call, connection, head) -> None:
        """Reads an answer to its end, so that its connection can be reused."""
        with contextlib.suppress(client.ClientError):
            await self.answers.discard(connection)
            await self._return_to_pool(call, connection, head)

    async def _return_to_pool(self, call, connection, head) -> None:
        connection.kept = True
        await self.pool.put(call.endpoint, connection, head, clock.now())

    async def _relay_events(
        self, call, sink, connection, watch, head, splitter
    ) -> None:
        """Sends complete events to the sink, each event number once."""
        gap = self._dialect.answer_timeouts(call).gap_seconds
        tokens_each = self._dialect.tokens_per_event(call)
        headers = self._dialect.answer_headers(head)
        has_sent_head = False
        while (part := await connection.next_part()) is not None:
            if not (events := splitter.add(part)):
                continue
            connection.answer_budget.restart()
            await _record_progress(call, watch)
            events, count = event_order.new_events(events, sink)
            if events:
                if not has_sent_head:
                    has_sent_head = True
                    await sink.head(head.status, headers)
                await sink.data(events)
                sink.progress(sink.tokens + count * tokens_each)
            if watch is not None:
                watch.resume(gap, clock.now())
        splitter.check_end(connection.framing)
        await _record_progress(call, watch)
        await sink.head(head.status, headers)
        if splitter.rest:
            await sink.data(splitter.rest)


async def _record_progress(
    call: adapters.Call, watch: silence.SilenceWatch | None
) -> None:
    """Stops the watch while data is passed on to the caller."""
    if watch is not None and watch.progressed(clock.now()):
        await call.report_progress()
