"""Stand-in for a model engine with continuous batching and a prefix cache.

An `Engine` owns its streams, the prefix cache, the history of its load and
the orders that it has accepted. A stream outlives the connection that started
it, so that a caller can resume it after a given event.
"""

import collections
import json
import time
from typing import Any

import curio
import msgspec

from baobabmux_standins import cache, orders, prompts, server, standin

# Approximate limit of the events of one stream per second, because an event has
# a whole number of tokens. It lets one process run many fast streams.
_EVENTS_PER_SECOND = 40.0
_MAX_KEPT_STREAMS = 2000


class EngineFaults(
    standin.EndpointFaults, frozen=True, forbid_unknown_fields=True
):
    """Faults of an engine.

    Attributes:
        slowdown: Factor by which prefill and decode take longer.
        crash_marker: Text in a prompt that crashes the engine, "" for none.
        crash_after: Number of that stream's events before the crash.
        crash_seconds: Time for which connections are refused after a crash.
        lose_streams: Whether requests for existing streams get a 404.
    """

    slowdown: float = 1.0
    crash_marker: str = ""
    crash_after: int = 1
    crash_seconds: float = 1.0
    lose_streams: bool = False


class Job(msgspec.Struct, frozen=True):
    """The body of POST /v1/completions; other members are ignored."""

    prompt: str
    max_tokens: int
    stream: bool = True


class Stream:
    """One run and the events that it has produced.

    Attributes:
        name: Identifier of the stream.
        job: The request's job.
        marker: Marker in the body, or "".
        echo: Header fields that the answer repeats from the request.
        events: Data of the events; the first has the id 1.
        text: Text of all events.
        usage: Token counts, set when the run is done.
        running: Whether it has got a slot in the batch.
        end_reason: "finished", "cancelled" or "crashed"; "" before the end.
        tokens: Prompt and output tokens that it holds in memory.
        changed: Notified when an event is added and at the end.
        task: The task that runs it.
    """

    def __init__(self, name: str, job: Job, marker: str, echo: server.Headers):
        self.name = name
        self.job = job
        self.marker = marker
        self.echo = echo
        self.events: list[str] = []
        self.text = ""
        self.usage: dict[str, int] = {}
        self.running = False
        self.end_reason = ""
        self.tokens = prompts.count_tokens(job.prompt)
        self.changed = curio.Condition()
        self.task: curio.Task | None = None

    async def append(self, value: Any) -> None:
        """Adds an event and notifies the waiting tasks."""
        self.events.append(value if value == "[DONE]" else json.dumps(value))
        await self.notify()

    async def notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        async with self.changed:
            await self.changed.notify_all()

    async def wait_for(self, count: int) -> bool:
        """Waits for more than `count` events.

        Returns:
            False if the stream has ended with no more than `count` events.
        """
        async with self.changed:
            while len(self.events) <= count and not self.end_reason:
                await self.changed.wait()
        return len(self.events) > count


class _CrashedError(Exception):
    """The run has crashed its engine."""


class Engine(standin.StandIn):
    """A model engine.

    Args:
        prefill_tokens_per_second: Rate of prefill; prefills run one at a
            time.
        decode_tokens_per_second: Rate of each running request.
        max_requests: Requests that run at the same time; others wait.
        cache_tokens: Capacity of the prefix cache.
        load_lag_seconds: Age of the load that is reported.
        event_lag_seconds: Age at which a cache event is published.
        event_gap_every: See `cache.PrefixCache`.
        checks_fencing: Whether orders with an older token are refused.
    """

    faults_type = EngineFaults

    def __init__(
        self,
        prefill_tokens_per_second: float = 4000.0,
        decode_tokens_per_second: float = 60.0,
        max_requests: int = 8,
        cache_tokens: int = 60_000,
        load_lag_seconds: float = 0.5,
        event_lag_seconds: float = 0.5,
        event_gap_every: int = 0,
        checks_fencing: bool = True,
    ):
        super().__init__()
        self._prefill_rate = prefill_tokens_per_second
        self._decode_rate = decode_tokens_per_second
        self._batch_slots = curio.Semaphore(max_requests)
        self._prefill_lock = curio.Lock()
        self._new_cache = lambda: cache.PrefixCache(
            cache_tokens, event_lag_seconds, event_gap_every
        )
        self._cache = self._new_cache()
        self._streams: dict[str, Stream] = {}
        self._load_lag_seconds = load_lag_seconds
        self._load_history = collections.deque([(0.0, self._current_load())])
        self._orders = orders.OrderBook(checks_fencing)
        self._fault_budget = standin.FaultBudget()
        self._runs = standin.RunCounter()
        self._totals: collections.Counter[str] = collections.Counter()

    async def on_faults_set(self) -> None:
        """Resets the number of answers that are still to be faulty."""
        self._fault_budget.set(self.faults)

    def counts(self) -> dict[str, Any]:
        """Returns the counts of runs, resumptions and prompt tokens."""
        return {**self._runs.counts(), "engine": dict(self._totals)}

    async def handle(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        """Answers the engine protocol."""
        resource = (request.method, request.path)
        now = time.monotonic()
        if resource == ("POST", "/v1/completions"):
            await self._handle_completion(request, reply)
        elif request.path.startswith("/v1/streams/"):
            await self._handle_stream(request, reply)
        elif resource == ("GET", "/v1/load"):
            await reply.json(self._delayed_load(now))
        elif resource == ("GET", "/v1/cache-events"):
            start = _parse_number(request.query.get("from", "0"))
            if start is None:
                await reply.json({"error": "from: expected a number"}, 400)
                return
            await reply.json(self._cache.read_events(start, now))
        elif resource == ("POST", "/v1/orders"):
            status, answer = self._orders.accept(request.body)
            await reply.json(answer, status)
        elif resource == ("GET", "/v1/orders"):
            await reply.json(self._orders.state())
        else:
            await reply.json({"error": "no such resource"}, 404)

    async def crash(self) -> None:
        """Simulates a crash of the engine's process.

        Resets all connections, ends all runs, drops all streams and the
        prefix cache, and refuses connections for `crash_seconds`.
        """
        self._totals["crashes"] += 1
        await self.server.listener.refuse()
        await self.server.listener.drop()
        streams, self._streams = self._streams, {}
        current = await curio.current_task()
        for stream in streams.values():
            if stream.end_reason:
                continue
            stream.end_reason = "crashed"
            self._runs.end(stream.marker, "crashed")
            if stream.task is not None and stream.task is not current:
                await stream.task.cancel(blocking=False)
        self._cache = self._new_cache()
        await curio.spawn(self._restart, self.faults.crash_seconds, daemon=True)

    async def _restart(self, seconds: float) -> None:
        await curio.sleep(seconds)
        if not self.faults.refuse:
            await self.server.listener.admit()

    async def _handle_completion(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        try:
            job = msgspec.json.decode(request.body, type=Job)
        except msgspec.DecodeError as error:
            await reply.json({"error": str(error)}, 400)
            return
        faults = self._fault_budget.take(self.faults, request.body)
        marker = self._runs.start(request)
        echo = standin.answer_fields(request, self.faults)
        self._totals["streams"] += 1
        name = f"s{self._totals['streams']}"
        stream = Stream(name, job, marker, echo)
        self._keep_stream(stream)
        stream.task = await curio.spawn(self._run, stream, daemon=True)
        if job.stream:
            await self._send_events(stream, 0, faults, reply)
        else:
            await self._send_json(stream, faults, reply)

    def _keep_stream(self, stream: Stream) -> None:
        self._streams[stream.name] = stream
        if len(self._streams) <= _MAX_KEPT_STREAMS:
            return
        ended = (
            name for name, kept in self._streams.items() if kept.end_reason
        )
        if (oldest := next(ended, None)) is not None:
            del self._streams[oldest]

    async def _handle_stream(
        self, request: server.Request, reply: server.Reply
    ) -> None:
        name = request.path.rpartition("/")[2]
        stream = self._streams.get(name)
        if stream is None or self.faults.lose_streams:
            await reply.json({"error": "no such stream"}, 404)
        elif request.method == "DELETE":
            self._totals["cancels"] += 1
            if not stream.end_reason and stream.task is not None:
                await stream.task.cancel()
            await reply.json({"end": stream.end_reason})
        elif request.method == "GET":
            last = _parse_number(request.headers.get("last-event-id") or "0")
            if last is None:
                error = "last-event-id: expected a number"
                await reply.json({"error": error}, 400)
                return
            self._totals["resumes"] += 1
            faults = self._fault_budget.take(
                self.faults, stream.marker.encode()
            )
            await self._send_events(stream, last, faults, reply)
        else:
            await reply.json({"error": "no such method"}, 405)

    async def _run(self, stream: Stream) -> None:
        end_reason = "cancelled"
        try:
            self._record_load()
            async with self._batch_slots:
                stream.running = True
                self._record_load()
                await self._compute(stream)
            end_reason = "finished"
        except _CrashedError:
            pass  # `crash` has set the end reason of all streams.
        finally:
            if not stream.end_reason:
                stream.end_reason = end_reason
                self._runs.end(stream.marker, end_reason)
            self._record_load()
            await stream.notify()

    async def _compute(self, stream: Stream) -> None:
        job = stream.job
        prefixes = prompts.digest_prefixes(job.prompt)
        prompt_tokens = prompts.count_tokens(job.prompt)
        async with self._prefill_lock:
            cached = self._cache.cached_tokens(prefixes)
            seconds = (prompt_tokens - cached) / self._prefill_rate
            await curio.sleep(seconds * self.faults.slowdown)
            self._cache.store(prefixes, time.monotonic())
        self._totals["prompt_tokens"] += prompt_tokens
        self._totals["cached_tokens"] += cached
        step = max(1, round(self._decode_rate / _EVENTS_PER_SECOND))
        for start in range(0, job.max_tokens, step):
            end = min(start + step, job.max_tokens)
            seconds = (end - start) / self._decode_rate
            await curio.sleep(seconds * self.faults.slowdown)
            text = prompts.answer_text(job.prompt, start, end)
            stream.text += text
            stream.tokens += end - start
            await stream.append({"text": text, "tokens": end - start})
            await self._crash_if_due(stream)
        stream.usage = {
            "prompt_tokens": prompt_tokens,
            "cached_tokens": cached,
            "completion_tokens": job.max_tokens,
        }
        await stream.append({"usage": stream.usage})
        await stream.append("[DONE]")

    async def _crash_if_due(self, stream: Stream) -> None:
        faults = self.faults
        if not faults.crash_marker:
            return
        due = len(stream.events) >= faults.crash_after
        if due and faults.crash_marker in stream.job.prompt:
            await self.crash()
            raise _CrashedError

    async def _send_json(
        self,
        stream: Stream,
        faults: standin.EndpointFaults,
        reply: server.Reply,
    ) -> None:
        while await stream.wait_for(len(stream.events)):
            pass
        if not stream.usage:
            raise server.HangUp(reset=True)
        body = json.dumps({"text": stream.text, "usage": stream.usage})
        await standin.send_faulty(reply, body.encode(), stream.echo, faults)

    async def _send_events(
        self,
        stream: Stream,
        sent: int,
        faults: standin.EndpointFaults,
        reply: server.Reply,
    ) -> None:
        if faults.garbage == "http":
            await reply.raw(standin.GARBAGE)
        fields = {
            "Content-Type": "text/event-stream",
            "Stream-Id": stream.name,
            **standin.echo_fields(stream.echo, faults),
        }
        if faults.garbage == "length":
            fields["Content-Length"] = "1000000"
        await reply.start(200, fields)
        parts = 0
        while await stream.wait_for(sent):
            if parts == faults.break_after:
                raise server.HangUp(reset=True)
            if parts == faults.stall_after:
                await standin.wait_forever()
            data = stream.events[sent]
            if faults.garbage == "body":
                data = "{" + data
            sent += 1
            parts += 1
            await reply.write(f"id: {sent}\ndata: {data}\n\n".encode())
        if stream.end_reason != "finished" or faults.garbage == "length":
            raise server.HangUp(reset=stream.end_reason != "finished")
        await reply.end()

    def _current_load(self) -> dict[str, int]:
        active = [s for s in self._streams.values() if not s.end_reason]
        running = sum(1 for stream in active if stream.running)
        return {
            "running": running,
            "waiting": len(active) - running,
            "tokens": sum(stream.tokens for stream in active),
        }

    def _record_load(self) -> None:
        self._load_history.append((time.monotonic(), self._current_load()))

    def _delayed_load(self, now: float) -> dict[str, int]:
        as_of = now - self._load_lag_seconds
        while len(self._load_history) > 1 and self._load_history[1][0] <= as_of:
            self._load_history.popleft()
        age_ms = int(self._load_lag_seconds * 1000)
        as_of_ms = time.time_ns() // 10**6 - age_ms
        return {**self._load_history[0][1], "as_of_ms": as_of_ms}


def _parse_number(text: str) -> int | None:
    return int(text) if text.isascii() and text.isdigit() else None
