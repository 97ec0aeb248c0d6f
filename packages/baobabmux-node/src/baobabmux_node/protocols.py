"""Protocols between the node, its callers and its endpoints.

The module defines the base class and the product's own protocol.
"""

import abc

import msgspec

from baobabmux_core import declarations, errors, states
from baobabmux_node import (
    adapters,
    engines,
    held,
    intake,
    responses,
    server,
)


class CallerProtocol(abc.ABC):
    """Translates between a protocol on the wire and the node's types.

    Attributes:
        promises: Statuses that tell callers that a request was not run and
            will not be. An endpoint's answer with one of them is not passed
            on: the endpoint may have run the request.
    """

    promises: frozenset[int] = frozenset()

    @abc.abstractmethod
    async def accept(
        self,
        exchange: server.Exchange,
        configuration: declarations.Configuration,
        now: float,
        now_ms: int,
    ) -> held.ParsedRequest:
        """Reads and checks a request.

        Args:
            exchange: The request.
            configuration: Configuration in force.
            now: Time on the node's clock in seconds.
            now_ms: Unix time in milliseconds.

        Returns:
            The checked request.

        Raises:
            RequestError: The request is refused.
            PeerGoneError: The caller closed the connection.
        """

    @abc.abstractmethod
    def public_id(self, exchange: server.Exchange) -> str:
        """Returns the identifier that the caller sees for its request."""

    @abc.abstractmethod
    def refusal(
        self,
        kind: errors.ErrorKind,
        public_id: str,
        detail: str | None,
        retry_after: float | None,
    ) -> responses.Response:
        """Builds an error answer of the node."""

    @abc.abstractmethod
    def status_headers(
        self, public_id: str, status: states.RunStatus
    ) -> dict[str, str]:
        """Returns the header fields that the node adds to an answer."""

    @abc.abstractmethod
    def stream_failure(
        self, kind: errors.ErrorKind, public_id: str, detail: str | None
    ) -> bytes | None:
        """Returns the bytes that end a failed stream.

        None means that the connection is closed before the answer is
        complete.
        """

    @abc.abstractmethod
    def adapter(self, kind: str) -> adapters.EndpointAdapter:
        """Returns the adapter for a kind of service."""


class OwnProtocol(CallerProtocol):
    """The product's own protocol, as docs/callers.md describes it."""

    def __init__(self, request_intake: intake.Intake):
        self._intake = request_intake
        self._adapters: dict[str, adapters.EndpointAdapter] = {
            "engine": engines.ModelEngineAdapter(),
            "plain": adapters.PlainServiceAdapter(),
        }

    async def accept(
        self,
        exchange: server.Exchange,
        configuration: declarations.Configuration,
        now: float,
        now_ms: int,
    ) -> held.ParsedRequest:
        """Reads and checks a request; see the base class."""
        return await self._intake.accept(exchange, configuration, now, now_ms)

    def public_id(self, exchange: server.Exchange) -> str:
        """Returns the caller's identifier or a new one."""
        # A refused request needs an identifier too, so that its refusal can be
        # found in the log.
        return (
            exchange.headers.get(intake.REQUEST_ID)
            or self._intake.next_request()
        )

    def refusal(
        self,
        kind: errors.ErrorKind,
        public_id: str,
        detail: str | None,
        retry_after: float | None,
    ) -> responses.Response:
        """Builds problem details."""
        return responses.problem(kind, public_id, detail, retry_after)

    def status_headers(
        self, public_id: str, status: states.RunStatus
    ) -> dict[str, str]:
        """Returns the run status and the identifier of the request."""
        return {
            responses.RUN_STATUS_HEADER: status.value,
            responses.REQUEST_ID_HEADER: public_id,
        }

    def stream_failure(
        self, kind: errors.ErrorKind, public_id: str, detail: str | None
    ) -> bytes | None:
        """Returns an error event."""
        problem = errors.problem(kind, public_id, detail)
        return b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"

    def adapter(self, kind: str) -> adapters.EndpointAdapter:
        """Returns the adapter for a kind of service; see the base class."""
        return self._adapters[kind]
