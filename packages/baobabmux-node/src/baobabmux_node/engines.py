"""Adapter for model engines: runs, resumes and cancels event streams."""

import collections

import curio
import msgspec

from baobabmux_core import event_ids, ids, states
from baobabmux_node import adapters, client, event_streams

_MAX_RESUME_ATTEMPTS = 3
_RESUME_DELAY_SECONDS = 0.2
_STALL_TIMEOUT_SECONDS = 15.0
_DONE = b"[DONE]"


class StreamEvent(msgspec.Struct, frozen=True):
    """One server-sent event.

    Attributes:
        event_id: Content of the event's `id` field, or None.
        data: Content of the event's `data` fields.
    """

    event_id: ids.EventId | None
    data: bytes

    def encode(self) -> bytes:
        """Returns the event in the format of server-sent events."""
        prefix = (
            b""
            if self.event_id is None
            else b"id: %b\n" % self.event_id.encode("ascii")
        )
        return prefix + b"data: " + self.data + b"\n\n"


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    text: str = ""
    tokens: int = 0
    usage: _Usage | None = None


class _StreamState:
    """State of one stream while it runs.

    It holds what is needed to resume or cancel the stream and to report its
    tokens.
    """

    def __init__(self):
        self.stream_id = ""
        self.last_event: ids.EventId | None = None
        self.tokens = 0
        self.usage: _Usage | None = None
        self.ended = False


class ModelEngineAdapter(adapters.EndpointAdapter):
    """Runs completions as event streams; resumes a stream that breaks."""

    async def run(self, call: adapters.Call, sink: adapters.Sink):
        """Runs a call; see the base class."""
        stream = _StreamState()
        try:
            result = await self._start(call, sink, stream)
            if result is not None:
                return result
            return _completed(stream)
        except client.ProtocolError as error:
            return _failed(stream, states.Outcome.GARBAGE, error)
        except client.ClientError as error:
            if not stream.stream_id:
                return _failed(stream, adapters.failure_outcome(error), error)
            return await self._resume(call, sink, stream, error)
        except curio.CancelledError:
            await self._cancel(call.address, stream)
            raise

    async def _start(self, call, sink, stream) -> adapters.Result | None:
        """Sends the request and relays its stream to the end.

        Returns:
            None after a complete stream, or the result of a call that has no
            stream.
        """
        connection = await call.connector.open(
            call, adapters.CONNECT_TIMEOUT_SECONDS, _STALL_TIMEOUT_SECONDS
        )
        try:
            if not call.permit():
                return adapters.Result(
                    states.Outcome.NOT_SENT,
                    "the dispatch is no longer permitted",
                )
            await connection.request(
                "POST", "/v1/completions", call.headers, call.body
            )
            head = await connection.head()
            call.connector.answered(call, connection)
            adapters.check_attempt(call, head)
            await _report_limit(call, head)
            if head.status == 503:
                return adapters.Result(
                    states.Outcome.REJECTED, "the engine is at capacity"
                )
            if head.status != 200:
                await self._relay_error(connection, head, sink)
                return adapters.Result(
                    states.Outcome.COMPLETED, status=head.status
                )
            stream.stream_id = head.headers.get("stream-id", "")
            await sink.head(200, {"content-type": "text/event-stream"})
            await self._relay(connection, sink, stream)
            return None
        finally:
            await call.connector.release(
                call, connection, lambda head: _report_limit(call, head)
            )

    async def _relay_error(self, connection, head, sink) -> None:
        """Relays an answer that is not a stream, such as a 400."""
        body = await connection.read(adapters.MAX_ANSWER_BYTES)
        await sink.head(head.status, adapters.end_to_end(head.headers))
        await sink.data(body)

    async def _resume(self, call, sink, stream, error) -> adapters.Result:
        """Resumes the stream at the same engine after the last event."""
        for retry in range(_MAX_RESUME_ATTEMPTS):
            await curio.sleep(_RESUME_DELAY_SECONDS * 2**retry)
            connection = None
            try:
                connection = await call.connector.open(
                    call,
                    adapters.CONNECT_TIMEOUT_SECONDS,
                    _STALL_TIMEOUT_SECONDS,
                )
                await connection.request(
                    "GET",
                    f"/v1/streams/{stream.stream_id}",
                    {"last-event-id": stream.last_event or "0"},
                    b"",
                )
                head = await connection.head()
                if head.status != 200:
                    break
                await self._relay(connection, sink, stream)
                return _completed(stream)
            except client.ProtocolError as fault:
                return _failed(stream, states.Outcome.GARBAGE, fault)
            except client.ClientError as fault:
                error = fault
            finally:
                if connection is not None:
                    await connection.close()
        return _failed(stream, states.Outcome.BROKEN, error)

    async def _relay(self, connection, sink, stream) -> None:
        """Sends events to the sink, each event number once."""
        reader = EventReader(connection)
        while (event := await reader.next_event()) is not None:
            if event.data == _DONE:
                stream.ended = True
                await sink.data(event.encode())
                return
            if event.event_id is not None:
                if not _is_next(event.event_id, stream.last_event):
                    continue
                stream.last_event = event.event_id
            self._count_tokens(event, stream, sink)
            await sink.data(event.encode())
        raise client.BrokenError("the stream ended without a [DONE] event")

    def _count_tokens(self, event, stream, sink) -> None:
        try:
            chunk = msgspec.json.decode(event.data, type=_Chunk)
        except msgspec.DecodeError as error:
            raise client.ProtocolError(
                f"an event is not valid JSON: {error}"
            ) from error
        if chunk.usage is not None:
            stream.usage = chunk.usage
        if chunk.tokens:
            stream.tokens += chunk.tokens
            sink.progress(stream.tokens)

    async def _cancel(self, address: str, stream: _StreamState) -> None:
        if stream.stream_id and not stream.ended:
            await curio.spawn(
                cancel_stream, address, stream.stream_id, daemon=True
            )


async def _report_limit(call: adapters.Call, head: client.Head) -> None:
    if head.status != 503 or adapters.LIMIT_HEADER in head.headers:
        # Refusals need not repeat the limit.
        await adapters.report_limit(call, head)


def _is_next(event: ids.EventId, last: ids.EventId | None) -> bool:
    """Returns whether an event is new and not one that was relayed before.

    Raises:
        ProtocolError: An event between the last one and this one is missing.
    """
    if last is None:
        return True
    step = event_ids.position(event) - event_ids.position(last)
    if step > 1:
        raise client.ProtocolError(f"event {event} follows event {last}")
    return step == 1


async def cancel_stream(address: str, stream_id: str) -> None:
    """Asks an engine to cancel a stream.

    A failure is ignored.
    """
    try:
        await client.fetch(address, "DELETE", f"/v1/streams/{stream_id}")
    except client.ClientError:
        return


class EventReader:
    """Reads server-sent events from an answer."""

    def __init__(self, connection: client.ClientConnection):
        self._connection = connection
        self._splitter = event_streams.EventSplitter()
        # Events that have arrived whole and are not parsed.
        self._blocks: collections.deque[bytes] = collections.deque()

    async def next_event(self) -> StreamEvent | None:
        """Reads the next event; returns None at the end of the answer.

        Raises:
            ProtocolError: An event is too long or malformed.
            ClientError: The answer ended early.
        """
        while True:
            while self._blocks:
                await self._connection.step()
                event = _parse_event(self._blocks.popleft())
                self._connection.answer_budget.restart()
                if event is not None:
                    return event
            part = await self._connection.next_part()
            if part is None:
                return None
            self._add_bytes(part)

    def _add_bytes(self, part: bytes) -> None:
        events = self._splitter.add(part)
        if events:
            blocks = events.replace(b"\r\n", b"\n").split(b"\n\n")
            self._blocks.extend(blocks)


def _parse_event(block: bytes) -> StreamEvent | None:
    event_id = None
    data = []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id":
            try:
                event_id = event_ids.parse(value.decode("latin-1"))
            except ValueError as error:
                raise client.ProtocolError(str(error)) from error
        elif field == b"data":
            data.append(value)
        elif field not in (b"", b"event", b"retry"):
            raise client.ProtocolError("a line is not a field of an event")
    return StreamEvent(event_id, b"\n".join(data)) if data else None


def _completed(stream: _StreamState) -> adapters.Result:
    usage = stream.usage or _Usage()
    has_usage = stream.usage is not None
    return adapters.Result(
        states.Outcome.COMPLETED,
        computed_tokens=usage.prompt_tokens - usage.cached_tokens
        if has_usage
        else -1,
        output_tokens=usage.completion_tokens or stream.tokens,
    )


def _failed(stream, outcome, error) -> adapters.Result:
    return adapters.Result(outcome, str(error), output_tokens=stream.tokens)
