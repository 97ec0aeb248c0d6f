"""How a request is run at an endpoint: base class and plain services."""

import abc
from collections.abc import Callable
from typing import Any

import msgspec

from baobabmux_core import ids, states
from baobabmux_node import client

CONNECT_TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 64_000_000
ATTEMPT_HEADER = "baobabmux-attempt"

# Fields that belong to one connection and are not passed on (RFC 9110, 7.6.1).
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


class Call(msgspec.Struct, frozen=True):
    """What to run at an endpoint.

    Attributes:
        address: IP number and port of the endpoint.
        method: HTTP method.
        target: Path and query at the endpoint.
        headers: Header fields for the endpoint.
        body: Body.
        timeout: Seconds until the answer must have ended.
        permit: Called immediately before the first byte; False forbids it.
        endpoint: Endpoint that is expected at the address.
        caller: The caller's request.
        repeatable: Whether another endpoint may be tried after a failure.
        deadline: Time on the node's clock at which nobody waits any more.
    """

    address: str
    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    timeout: float
    permit: Callable[[], bool]
    endpoint: ids.EndpointId = ids.EndpointId("")
    caller: Any = None
    repeatable: bool = False
    deadline: float = 0.0


class Result(msgspec.Struct, frozen=True):
    """How a call ended.

    Attributes:
        outcome: How the attempt ended.
        detail: What went wrong, or the empty string.
        computed_tokens: Prompt tokens that were not cached, -1 if unknown.
        output_tokens: Tokens of the answer.
    """

    outcome: states.Outcome
    detail: str = ""
    computed_tokens: int = -1
    output_tokens: int = 0


class Sink(abc.ABC):
    """Receives an endpoint's answer part by part.

    Attributes:
        tokens: Output tokens so far.
        last_event: Number of the last event that was passed on, or None.
    """

    tokens: int
    last_event: int | None

    @abc.abstractmethod
    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Takes the status and the end-to-end headers of the answer."""

    @abc.abstractmethod
    async def data(self, data: bytes) -> None:
        """Takes a part of the body."""

    @abc.abstractmethod
    def progress(self, tokens: int) -> None:
        """Takes the number of output tokens so far.

        The first call marks the first token.
        """


class EndpointAdapter(abc.ABC):
    """Runs a call at one kind of endpoint."""

    @abc.abstractmethod
    async def run(self, call: Call, sink: Sink) -> Result:
        """Runs a call, at most once.

        Args:
            call: What to run.
            sink: Receiver of the answer.

        Returns:
            How the call ended; never raises for a fault of the endpoint.
        """


class PlainServiceAdapter(EndpointAdapter):
    """Passes a request to a plain HTTP service and its answer back."""

    async def run(self, call: Call, sink: Sink) -> Result:
        """Runs a call; see the base class."""
        connection = client.ClientConnection(call.address, call.timeout)
        try:
            await connection.connect(CONNECT_TIMEOUT_SECONDS)
            if not call.permit():
                return Result(states.Outcome.NOT_SENT, "no longer permitted")
            await connection.request(
                call.method, call.target, call.headers, call.body
            )
            head = await connection.head()
            check_attempt(call, head)
            await sink.head(head.status, end_to_end(head.headers))
            while (part := await connection.next_part()) is not None:
                await sink.data(part)
            sink.progress(1)
            return Result(states.Outcome.COMPLETED, output_tokens=1)
        except client.ClientError as error:
            return Result(failure_outcome(error), str(error))
        finally:
            await connection.close()


def check_attempt(call: Call, head: client.Head) -> None:
    """Refuses an answer that names another attempt than the call.

    Raises:
        ProtocolError: The answer belongs to another attempt.
    """
    named = head.headers.get(ATTEMPT_HEADER)
    if named is not None and named != call.headers.get(ATTEMPT_HEADER):
        raise client.ProtocolError(f"the answer belongs to attempt {named}")


def end_to_end(headers: dict[str, str]) -> dict[str, str]:
    """Returns the header fields that are passed on."""
    named = {
        name.strip().lower()
        for name in headers.get("connection", "").split(",")
    }
    return {
        name: value
        for name, value in headers.items()
        if name not in _HOP_HEADERS and name not in named
    }


def failure_outcome(error: client.ClientError) -> states.Outcome:
    """Returns the outcome of a call that ended with an error."""
    if isinstance(error, client.ConnectError):
        return states.Outcome.NOT_SENT
    if isinstance(error, client.ProtocolError):
        return states.Outcome.GARBAGE
    return states.Outcome.BROKEN
