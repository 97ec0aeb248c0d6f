"""Sinks that send an endpoint's answer to the caller.

A sink streams the answer or buffers it, and keeps a copy for repeated requests
with the same idempotency key.
"""

import abc
from collections.abc import Awaitable, Callable

import msgspec

from baobabmux_core import states
from baobabmux_node import adapters, held, responses, server

MAX_KEPT_BYTES = 1_000_000
_MAX_BUFFERED_BYTES = 8_000_000


class Answer(msgspec.Struct, frozen=True):
    """A complete answer of an endpoint.

    Attributes:
        status: HTTP status code.
        content_type: Media type.
        body: Body.
    """

    status: int
    content_type: str
    body: bytes


class AnswerTooLargeError(Exception):
    """An answer that must be buffered exceeds the limit."""


class CallerSink(adapters.Sink):
    """Base class of the sinks for one held request.

    Attributes:
        request: The request.
        exchange: The caller's connection.
        caller_gone: Whether the caller closed its connection.
        tokens: Output tokens so far.
        answer: The complete answer once it has ended, or None.
        started: Whether the answer's status was sent to the caller.
        status_headers: Returns the header fields with the run status and the
            identifier of the request.
        last_event: The last event received, or None.
        promises: Statuses that tell the caller that its request was not run;
            see `protocols.CallerProtocol`.
        on_position_lost: Called when the stream cannot go on elsewhere.
    """

    def __init__(
        self,
        request: held.HeldRequest,
        exchange: server.Exchange,
        on_progress,
    ):
        self.request = request
        self.exchange = exchange
        self.caller_gone = False
        self.tokens = 0
        self.started = False
        self.answer: Answer | None = None
        self._on_progress = on_progress
        self.status_headers: Callable[[states.RunStatus], dict[str, str]] = (
            self._default_status_headers
        )
        self.last_event = request.parsed.last_event
        self.promises: frozenset[int] = frozenset()
        self.on_position_lost: Callable[[], None] = lambda: None

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Receives the status and the headers; see the base class.

        Raises:
            UnfoundedPromiseError: The status would promise something that the
                endpoint has not.
        """
        if not self.may_pass_on(status):
            raise adapters.UnfoundedPromiseError(status)
        await self._take_head(status, headers)

    def may_pass_on(self, status: int) -> bool:
        """Returns whether a status of an endpoint may reach the caller."""
        return status not in self.promises

    @abc.abstractmethod
    async def _take_head(self, status: int, headers: dict[str, str]) -> None:
        """Receives the status and the headers once they were checked."""

    def progress(self, tokens: int) -> None:
        """Receives the number of output tokens so far."""
        self.tokens = tokens
        self._on_progress(tokens)

    def position_lost(self) -> None:
        """Receives that the stream cannot go on at another endpoint."""
        self.on_position_lost()

    async def end(self) -> None:
        """Ends the answer after the endpoint completed it."""
        raise NotImplementedError

    def _default_status_headers(
        self, run_status: states.RunStatus
    ) -> dict[str, str]:
        return {
            responses.RUN_STATUS_HEADER: run_status.value,
            responses.REQUEST_ID_HEADER: self.request.parsed.public_id,
        }

    async def _send_to_caller(self, send_call) -> None:
        """Awaits a send to the caller unless the caller has gone.

        If the caller has gone, the answer is still received from the endpoint.
        """
        if self.caller_gone:
            send_call.close()
            return
        try:
            await send_call
        except server.PeerGoneError:
            self.caller_gone = True
            await self.request.decide(held.CallerGone())


class AttemptSink(adapters.Sink):
    """Passes the answer of one attempt on to the caller's sink.

    Attributes:
        last_event: The last event that this attempt or one before it has
            received, or None.
    """

    def __init__(
        self, caller_sink: CallerSink, on_answer: Callable[[], Awaitable[None]]
    ):
        """Creates the sink.

        Args:
            caller_sink: Sink of the request.
            on_answer: Awaited before each part is passed on; raises
                `SupersededError` if another attempt answers.
        """
        self.last_event = caller_sink.last_event
        self._caller_sink = caller_sink
        self._on_answer = on_answer

    @property
    def tokens(self) -> int:
        """Output tokens of the answer so far."""
        return self._caller_sink.tokens

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Passes on the status and the headers."""
        await self._on_answer()
        await self._caller_sink.head(status, headers)

    async def data(self, data: bytes) -> None:
        """Passes on a part of the body."""
        await self._on_answer()
        self._caller_sink.last_event = self.last_event
        await self._caller_sink.data(data)

    def position_lost(self) -> None:
        """Passes on that the stream cannot go on at another endpoint."""
        self._caller_sink.position_lost()

    def progress(self, tokens: int) -> None:
        """Passes on the number of output tokens."""
        self._caller_sink.progress(tokens)


class StreamSink(CallerSink):
    """Sends an event stream to the caller as it arrives.

    A copy is kept for repeated requests if the request has an idempotency key
    and the answer is not longer than `MAX_KEPT_BYTES`.
    """

    def __init__(self, request, exchange, on_progress):
        super().__init__(request, exchange, on_progress)
        self._status = 0
        self._content_type = ""
        self._copy: bytearray | None = (
            bytearray() if request.parsed.key is not None else None
        )

    async def _take_head(self, status: int, headers: dict[str, str]) -> None:
        """Starts the answer; the head of a resumed stream is ignored."""
        if self.started:
            return
        self._status = status
        self._content_type = headers.get("content-type", "")
        self.started = True
        await self._send_to_caller(
            self.exchange.start(
                status,
                {**headers, **self.status_headers(states.RunStatus.RUNNING)},
            )
        )

    async def data(self, data: bytes) -> None:
        """Sends a part of the body."""
        if self._copy is not None:
            self._copy += data
            if len(self._copy) > MAX_KEPT_BYTES:
                self._copy = None
        await self._send_to_caller(self.exchange.send(data))

    async def end(self) -> None:
        """Ends the answer."""
        if self._copy is not None:
            self.answer = Answer(
                self._status, self._content_type, bytes(self._copy)
            )
        await self._send_to_caller(self.exchange.finish())


class BufferedSink(CallerSink):
    """Buffers an answer and sends it once it is complete.

    A caller thus never receives part of a broken answer.
    """

    def __init__(self, request, exchange, on_progress):
        super().__init__(request, exchange, on_progress)
        self._status = 0
        self._endpoint_headers: dict[str, str] = {}
        self._parts: list[bytes] = []
        self._length = 0

    async def _take_head(self, status: int, headers: dict[str, str]) -> None:
        """Stores the status and the headers and empties the buffer."""
        self._parts.clear()
        self._length = 0
        self._status = status
        self._endpoint_headers = headers

    async def data(self, data: bytes) -> None:
        """Adds a part to the buffer."""
        self._parts.append(data)
        self._length += len(data)
        self.exchange.hold(len(data))
        if self._length > _MAX_BUFFERED_BYTES:
            raise AnswerTooLargeError(
                f"the answer exceeds {_MAX_BUFFERED_BYTES} bytes"
            )

    async def end(self) -> None:
        """Sends the complete answer."""
        content_type, body = self._final_body()
        self._parts.clear()
        headers = {**self._endpoint_headers}
        if content_type:
            headers["content-type"] = content_type
        self.answer = Answer(self._status, content_type, body)
        self.started = True
        await self._send_to_caller(
            self.exchange.respond(
                self._status,
                {**headers, **self.status_headers(states.RunStatus.DONE)},
                body,
            )
        )

    def _final_body(self) -> tuple[str, bytes]:
        content_type = self._endpoint_headers.get("content-type", "")
        return content_type, b"".join(self._parts)


class CompletionSink(BufferedSink):
    """Collects an event stream into one JSON document."""

    def _final_body(self) -> tuple[str, bytes]:
        if self._endpoint_headers.get("content-type") != "text/event-stream":
            return super()._final_body()
        texts: list[str] = []
        usage = None
        for line in b"".join(self._parts).split(b"\n"):
            data = line.removeprefix(b"data: ")
            if data == line or data == b"[DONE]":
                continue
            chunk = msgspec.json.decode(data)
            texts.append(chunk.get("text", ""))
            usage = chunk.get("usage", usage)
        document = {"text": "".join(texts), "usage": usage}
        return "application/json", msgspec.json.encode(document)
