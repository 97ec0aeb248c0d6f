"""How a request is run at a model engine: streaming, resuming, cancelling."""

import collections

import curio
import msgspec

from baobabmux_core import states
from baobabmux_node import adapters, client

_MAX_EVENT_BYTES = 1_000_000
_RESUME_ATTEMPTS = 3
_RESUME_DELAY_SECONDS = 0.2
_STALL_SECONDS = 15.0
_DONE = b"[DONE]"


class StreamEvent(msgspec.Struct, frozen=True):
    """One server-sent event.

    Attributes:
        number: The event's identifier, or None.
        data: Its data.
    """

    number: int | None
    data: bytes

    def encode(self) -> bytes:
        """Returns the event in the format of server-sent events."""
        prefix = b"" if self.number is None else b"id: %d\n" % self.number
        return prefix + b"data: " + self.data + b"\n\n"


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    cached_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    text: str = ""
    tokens: int = 0
    usage: _Usage | None = None


class _Attempt:
    """What is known of one stream while it runs."""

    def __init__(self):
        self.stream_id = ""
        self.last_event: int | None = None
        self.tokens = 0
        self.usage: _Usage | None = None
        self.ended = False


class ModelEngineAdapter(adapters.EndpointAdapter):
    """Runs completions as event streams; resumes a stream that breaks off."""

    async def run(self, call: adapters.Call, sink: adapters.Sink):
        """Runs a call; see the base class."""
        attempt = _Attempt()
        try:
            result = await self._start(call, sink, attempt)
            if result is not None:
                return result
            return _completed(attempt)
        except client.ProtocolError as error:
            return _failed(attempt, states.Outcome.GARBAGE, error)
        except client.ClientError as error:
            if not attempt.stream_id:
                return _failed(attempt, adapters.failure_outcome(error), error)
            return await self._resume(call, sink, attempt, error)
        except curio.CancelledError:
            await self._cancel(call.address, attempt)
            raise

    async def _start(self, call, sink, attempt) -> adapters.Result | None:
        """Sends the request and reads its stream to the end."""
        connection = client.ClientConnection(call.address, _STALL_SECONDS)
        try:
            await connection.connect(adapters.CONNECT_TIMEOUT_SECONDS)
            if not call.permit():
                return adapters.Result(
                    states.Outcome.NOT_SENT, "no longer permitted"
                )
            await connection.request(
                "POST", "/v1/completions", call.headers, call.body
            )
            head = await connection.head()
            adapters.check_attempt(call, head)
            if head.status == 503:
                return adapters.Result(
                    states.Outcome.REJECTED, "the engine is full"
                )
            if head.status != 200:
                await self._pass_error(connection, head, sink)
                return adapters.Result(states.Outcome.COMPLETED)
            attempt.stream_id = head.headers.get("stream-id", "")
            await sink.head(200, {"content-type": "text/event-stream"})
            await self._relay(connection, sink, attempt)
            return None
        finally:
            await connection.close()

    async def _pass_error(self, connection, head, sink) -> None:
        """Passes an answer on that is no stream, such as a 400."""
        body = await connection.read(adapters.MAX_ANSWER_BYTES)
        await sink.head(head.status, adapters.end_to_end(head.headers))
        await sink.data(body)

    async def _resume(self, call, sink, attempt, error) -> adapters.Result:
        """Reads on at the same engine, from the event after the last one."""
        for tries in range(_RESUME_ATTEMPTS):
            await curio.sleep(_RESUME_DELAY_SECONDS * 2**tries)
            connection = client.ClientConnection(call.address, _STALL_SECONDS)
            try:
                await connection.connect(adapters.CONNECT_TIMEOUT_SECONDS)
                await connection.request(
                    "GET",
                    f"/v1/streams/{attempt.stream_id}",
                    {"last-event-id": str(attempt.last_event or 0)},
                    b"",
                )
                head = await connection.head()
                if head.status != 200:
                    break
                await self._relay(connection, sink, attempt)
                return _completed(attempt)
            except client.ProtocolError as fault:
                return _failed(attempt, states.Outcome.GARBAGE, fault)
            except client.ClientError as fault:
                error = fault
            finally:
                await connection.close()
        return _failed(attempt, states.Outcome.BROKEN, error)

    async def _relay(self, connection, sink, attempt) -> None:
        """Passes events on, each number once."""
        reader = EventReader(connection)
        while (event := await reader.next_event()) is not None:
            if event.data == _DONE:
                attempt.ended = True
                await sink.data(event.encode())
                return
            if event.number is not None:
                if not _is_next(event.number, attempt.last_event):
                    continue
                attempt.last_event = event.number
            self._count(event, attempt, sink)
            await sink.data(event.encode())
        raise client.BrokenError("the stream ended without its last event")

    def _count(self, event, attempt, sink) -> None:
        try:
            chunk = msgspec.json.decode(event.data, type=_Chunk)
        except msgspec.DecodeError as error:
            raise client.ProtocolError(
                f"an event is no JSON: {error}"
            ) from error
        if chunk.usage is not None:
            attempt.usage = chunk.usage
        if chunk.tokens:
            attempt.tokens += chunk.tokens
            sink.progress(attempt.tokens)

    async def _cancel(self, address: str, attempt: _Attempt) -> None:
        if attempt.stream_id and not attempt.ended:
            await curio.spawn(
                cancel_stream, address, attempt.stream_id, daemon=True
            )


def _is_next(number: int, last: int | None) -> bool:
    """Tells a new event from one that was already passed on.

    Raises:
        ProtocolError: An event between the two is missing.
    """
    if last is None or number == last + 1:
        return True
    if number > last:
        raise client.ProtocolError(f"event {number} follows {last}")
    return False


async def cancel_stream(address: str, stream_id: str) -> None:
    """Tells an engine to stop a stream; a failure is harmless."""
    try:
        await client.fetch(address, "DELETE", f"/v1/streams/{stream_id}")
    except client.ClientError:
        return


class EventReader:
    """Reads server-sent events from an answer."""

    def __init__(self, connection: client.ClientConnection):
        self._connection = connection
        self._buffer = b""
        self._ready: collections.deque[StreamEvent] = collections.deque()

    async def next_event(self) -> StreamEvent | None:
        """Reads the next event; None is the end of the answer.

        Raises:
            ProtocolError: An event is too long or malformed.
            ClientError: The answer broke off.
        """
        while not self._ready:
            part = await self._connection.next_part()
            if part is None:
                return None
            self._take(part)
        return self._ready.popleft()

    def _take(self, part: bytes) -> None:
        blocks = (self._buffer + part).replace(b"\r\n", b"\n").split(b"\n\n")
        self._buffer = blocks.pop()
        if len(self._buffer) > _MAX_EVENT_BYTES:
            raise client.ProtocolError("an event is too long")
        for block in blocks:
            event = _parse_event(block)
            if event is not None:
                self._ready.append(event)


def _parse_event(block: bytes) -> StreamEvent | None:
    number = None
    data = []
    for line in block.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id":
            if not value.isdigit():
                raise client.ProtocolError("an event's number is malformed")
            number = int(value)
        elif field == b"data":
            data.append(value)
        elif field not in (b"", b"event", b"retry"):
            raise client.ProtocolError("a line is no field of an event")
    return StreamEvent(number, b"\n".join(data)) if data else None


def _completed(attempt: _Attempt) -> adapters.Result:
    usage = attempt.usage or _Usage()
    known = attempt.usage is not None
    return adapters.Result(
        states.Outcome.COMPLETED,
        computed_tokens=usage.prompt_tokens - usage.cached_tokens
        if known
        else -1,
        output_tokens=usage.completion_tokens or attempt.tokens,
    )


def _failed(attempt, outcome, error) -> adapters.Result:
    return adapters.Result(outcome, str(error), output_tokens=attempt.tokens)
