"""Adapters that run a request at an endpoint.

The module defines the base class and the adapter for plain HTTP services.
"""

import abc
import re
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec

from baobabmux_core import ids, states
from baobabmux_node import client, event_streams, unread_answers

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 64_000_000
ATTEMPT_HEADER = "baobabmux-attempt"
# Requests a second that an endpoint takes from all nodes together.
LIMIT_HEADER = "baobabmux-request-limit"
_DECIMAL_NUMBER = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")

# Fields that apply to one connection and are not forwarded (RFC 9110, 7.6.1).
_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


async def _ignore_limit(rate: float | None) -> None:
    del rate


async def _ignore_notice() -> None:
    return


async def _ignore_pause(seconds: float) -> None:
    del seconds


class SupersededError(Exception):
    """Another endpoint answers the request of a call."""


class UnfoundedPromiseError(Exception):
    """An answer would tell the caller that its request was not run.

    Attributes:
        status: Its status.
    """

    def __init__(self, status: int):
        super().__init__(f"the endpoint failed: status {status}")
        self.status = status


class Connector(abc.ABC):
    """Opens connections to endpoints."""

    @abc.abstractmethod
    async def open(
        self, call: "Call", timeout: float, stall_seconds: float | None
    ) -> client.ClientConnection:
        """Opens a connection to the endpoint of a call.

        Args:
            call: The call.
            timeout: Longest time in seconds for one connection.
            stall_seconds: See `client.ClientConnection`.

        Raises:
            ConnectError: No connection was made, so no byte was sent.
        """

    def answered(  # noqa: B027 - a hook
        self, call: "Call", connection: client.ClientConnection
    ) -> None:
        """Records that the endpoint of a call has sent an answer."""

    def broke(  # noqa: B027 - a hook
        self, call: "Call", connection: client.ClientConnection
    ) -> None:
        """Records that a connection failed after bytes were sent."""

    async def paused(  # noqa: B027 - a hook
        self,
        call: "Call",
        connection: client.ClientConnection,
        seconds: float,
    ) -> None:
        """Records that the endpoint wants nothing on such connections."""

    async def release(
        self,
        call: "Call",
        connection: client.ClientConnection,
        report: unread_answers.Report,
    ) -> None:
        """Closes the connection of a call that has ended, unless it is kept.

        Args:
            call: The call.
            connection: Its connection.
            report: Called with the head of the answer if that arrives later.
        """
        del call, report
        if not connection.kept:
            await connection.close()

    def lost_since(self, call: "Call") -> float:
        """Returns when the direct link was lost, or 0 if it is sound.

        Idle connections from before that time may no longer work.
        """
        del call
        return 0.0


class DirectConnector(Connector):
    """Connects to the address of the call."""

    async def open(
        self, call: "Call", timeout: float, stall_seconds: float | None
    ) -> client.ClientConnection:
        """Opens a connection; see the base class."""
        connection = client.ClientConnection(call.address, stall_seconds)
        await connection.connect(timeout)
        return connection


class Call(msgspec.Struct, frozen=True):
    """A request to run at an endpoint.

    Attributes:
        address: IP number and port of the endpoint.
        method: HTTP method.
        target: Path and query at the endpoint.
        headers: Header fields for the endpoint.
        body: Body.
        timeout: Seconds until the answer must be complete.
        permit: Called immediately before the first byte is sent; if it
            returns False, nothing may be sent.
        endpoint: Endpoint that is expected at the address.
        parsed: The caller's request, parsed and checked.
        repeatable: Whether another endpoint may be tried after a failure.
        deadline: Time on the node's clock after which the answer is not
            needed.
        report_limit: Called with the requests a second that an answer names as
            the endpoint's limit, or with None if it names no limit.
        report_leaving: Called if an answer says that the endpoint is leaving.
        report_pause: Called with the seconds for which the endpoint wants
            nothing from this node, if its answer says so.
        report_silence: Called with the seconds for which the answer has made
            no progress, and whether data of it keeps arriving; again while
            that lasts. If None, a silent endpoint ends the call.
        report_progress: Called when the answer goes on after a silence, or
            begins after it was slow.
        slow_seconds: Returns the time after which the answer counts as slow if
            it has not begun, or None.
        report_slow: Called once with that time if it is slow.
        may_answer_failure: Returns whether a failure of the endpoint with a
            status may be the caller's answer.
        connector: Opens the connections of the call.
        started_at: Time on the node's clock at which the attempt began, in
            seconds.
    """

    address: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    timeout: float
    permit: Callable[[], bool]
    endpoint: ids.EndpointId = ids.EndpointId("")
    parsed: Any = None
    repeatable: bool = False
    deadline: float = 0.0
    report_limit: Callable[[float | None], Awaitable[None]] = _ignore_limit
    report_leaving: Callable[[], Awaitable[None]] = _ignore_notice
    report_pause: Callable[[float], Awaitable[None]] = _ignore_pause
    report_silence: Callable[[float, bool], Awaitable[None]] | None = None
    report_progress: Callable[[], Awaitable[None]] = _ignore_notice
    slow_seconds: Callable[[], float | None] = lambda: None
    report_slow: Callable[[float], Awaitable[None]] = _ignore_pause
    may_answer_failure: Callable[[int], bool] = lambda status: True
    connector: Connector = DirectConnector()
    started_at: float = 0.0


class Result(msgspec.Struct, frozen=True):
    """How a call ended.

    Attributes:
        outcome: How the attempt ended.
        detail: Description of the failure, or the empty string.
        computed_tokens: Prompt tokens that were not cached, -1 if unknown.
        output_tokens: Tokens of the answer.
        refused: Whether the endpoint's address refused the connection.
        status: Status of the answer that was relayed, or None.
        framing: What delimits the endpoint's answer, or None without one.
        rest_bytes: Bytes of a stream after its last complete event.
        interrupted: Whether the node itself ended the connection.
        via: Node that carried the connection, or "" for a direct one.
        silent_seconds: Longest time without progress of the answer, 0 if it
            was not watched.
    """

    outcome: states.Outcome
    detail: str = ""
    computed_tokens: int = -1
    output_tokens: int = 0
    refused: bool = False
    status: int | None = None
    framing: client.Framing | None = None
    rest_bytes: int = 0
    interrupted: bool = False
    via: str = ""
    silent_seconds: float = 0.0

    @property
    def succeeded(self) -> bool:
        """Whether the run completed and its answer reports success."""
        return self.outcome is states.Outcome.COMPLETED and (
            self.status is None or 200 <= self.status < 300
        )


class Sink(abc.ABC):
    """Receives an endpoint's answer part by part.

    Attributes:
        tokens: Output tokens so far.
        last_event: The last event received, or None.
    """

    tokens: int
    last_event: ids.EventId | None

    @abc.abstractmethod
    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Receives the status and the end-to-end headers of the answer."""

    @abc.abstractmethod
    async def data(self, data: bytes) -> None:
        """Receives a part of the body."""

    def position_lost(self) -> None:  # noqa: B027 - a hook
        """Receives that the stream cannot go on at another endpoint.

        It has brought an event that no endpoint could go on after.
        """

    @abc.abstractmethod
    def progress(self, tokens: int) -> None:
        """Receives the number of output tokens so far.

        The first call marks the first token.
        """


class EndpointAdapter(abc.ABC):
    """Runs calls at one kind of endpoint."""

    @abc.abstractmethod
    async def run(self, call: Call, sink: Sink) -> Result:
        """Runs a call, at most once.

        Args:
            call: The call.
            sink: Receiver of the answer.

        Returns:
            How the call ended. A failure of the endpoint is a result, not an
            exception.
        """


class PlainServiceAdapter(EndpointAdapter):
    """Relays a request to a plain HTTP service and its answer back."""

    async def run(self, call: Call, sink: Sink) -> Result:
        """Runs a call; see the base class."""
        connection = None
        try:
            connection = await call.connector.open(
                call, CONNECT_TIMEOUT_SECONDS, call.timeout
            )
            if not call.permit():
                return Result(
                    states.Outcome.NOT_SENT,
                    "the dispatch is no longer permitted",
                )
            await connection.request(
                call.method, call.target, call.headers, call.body
            )
            head = await connection.head()
            call.connector.answered(call, connection)
            check_attempt(call, head)
            await report_limit(call, head)
            await sink.head(head.status, end_to_end(head.headers))
            splitter = event_streams.EventSplitter()
            streams = event_streams.is_event_stream(head)
            while (part := await connection.next_part()) is not None:
                if streams and splitter.add(part):
                    connection.answer_budget.restart()
                await sink.data(part)
            if streams:
                splitter.check_end(connection.framing)
            sink.progress(1)
            return Result(
                states.Outcome.COMPLETED, output_tokens=1, status=head.status
            )
        except client.ClientError as error:
            return Result(
                failure_outcome(error),
                str(error),
                refused=isinstance(error, client.RefusedError),
            )
        finally:
            if connection is not None:
                await call.connector.release(
                    call, connection, lambda head: report_limit(call, head)
                )


def check_attempt(call: Call, head: client.Head) -> None:
    """Rejects an answer whose header names an attempt other than the call's.

    Raises:
        ProtocolError: The answer belongs to another attempt.
    """
    attempt = head.headers.get(ATTEMPT_HEADER)
    if attempt is not None and attempt != call.headers.get(ATTEMPT_HEADER):
        raise client.ProtocolError(f"the answer belongs to attempt {attempt}")


def parse_limit(text: str | None) -> float | None:
    """Parses the requests a second that a header field names.

    Args:
        text: Value of the field, or None without one.

    Raises:
        ValueError: The value is not a decimal number.
    """
    if text is None:
        return None
    if not _DECIMAL_NUMBER.fullmatch(text.strip()):
        raise ValueError(f"not a decimal number: {text!r}")
    return float(text)


def parse_pause(head: client.Head) -> float:
    """Returns the seconds that a 503 answer names in Retry-After, or 0.

    Dates, and values that are no decimal number, are ignored.
    """
    if head.status != 503:
        return 0.0
    text = head.headers.get("retry-after", "").strip()
    return float(text) if _DECIMAL_NUMBER.fullmatch(text) else 0.0


async def report_limit(call: Call, head: client.Head) -> None:
    """Reports the limit that an answer names; ignores an invalid one."""
    try:
        rate = parse_limit(head.headers.get(LIMIT_HEADER))
    except ValueError:
        return
    await call.report_limit(rate)


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Returns the header fields without those of a single connection."""
    connection_fields = {
        name.strip().lower()
        for name in headers.get("connection", "").split(",")
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in _HOP_HEADERS and name not in connection_fields
    }


def failure_outcome(error: client.ClientError) -> states.Outcome:
    """Returns the outcome of a call that ended with an error."""
    if isinstance(error, client.UnreachedError):
        return states.Outcome.UNREACHED
    if isinstance(error, client.ConnectError):
        return states.Outcome.NOT_SENT
    if isinstance(error, client.ProtocolError):
        return states.Outcome.GARBAGE
    return states.Outcome.BROKEN
