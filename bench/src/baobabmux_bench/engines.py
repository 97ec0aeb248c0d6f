"""Model of an engine with continuous batching and a prefix cache.

Time is virtual: callers pass `now` in seconds and ask for the time of the
next change. All sizes are tokens. The constants model engines of this type in
general, not a particular product.
"""

import collections
import enum

import msgspec

from baobabmux_core import declarations, ids, messages

# Each further request in a batch makes a decode step longer by this share. A
# step reads all weights once for the whole batch, so the share is small.
_STEP_SLOWDOWN_PER_REQUEST = 0.06
DECODE_SHARE_DURING_PREFILL = 0.6
"""Relative decode rate while any prompt is being computed.

Chunked prefill occupies part of each step.
"""

# Remaining work below this is a rounding error.
_EPSILON_TOKENS = 1e-6


class Job(msgspec.Struct):
    """One request at an engine.

    Attributes:
        request: Identifier of the request.
        prompt_tokens: Length of the prompt.
        output_tokens: Length that the answer will have.
        prefixes: Prefixes of the prompt, the longest last.
        cached_tokens: Prompt tokens taken from the cache on admission.
        prefill_left: Prompt tokens still to compute.
        decode_left: Output tokens still to produce.
        admitted: Whether the job is in the batch.
        pause: Seconds for which its answer stands still now.
        longest_pause: Longest such time so far.
    """

    request: ids.RequestId
    prompt_tokens: int
    output_tokens: int
    prefixes: tuple[messages.PrefixPart, ...] = ()
    cached_tokens: int = 0
    prefill_left: float = 0.0
    decode_left: float = 0.0
    admitted: bool = False
    pause: float = 0.0
    longest_pause: float = 0.0

    def computed_tokens(self) -> int:
        """Returns the prompt tokens computed so far."""
        if not self.admitted:
            return 0
        return round(
            self.prompt_tokens - self.cached_tokens - self.prefill_left
        )


class Step(enum.Enum):
    """Progress of a job that an engine reports."""

    FIRST_TOKEN = "first_token"
    FINISHED = "finished"


class Change(msgspec.Struct, frozen=True):
    """A job that has reached a step."""

    step: Step
    job: Job


class CacheEvent(msgspec.Struct, frozen=True):
    """One event of the prefix cache, numbered consecutively by the cache."""

    sequence: int
    stored: bool
    digest: ids.PrefixDigest
    tokens: int


class LoadReport(msgspec.Struct, frozen=True):
    """Load of an engine at the time `as_of` in seconds."""

    running: int
    waiting: int
    tokens: int
    as_of: float


class PrefixCache:
    """Least-recently-used cache of prompt prefixes.

    An entry is charged for the tokens by which it extends the next shorter
    prefix of the prompt that stored it.

    Attributes:
        capacity: Maximum number of tokens stored.
        used: Tokens stored now.
        events: Events not yet taken by `take_events`.
    """

    def __init__(self, capacity: int):
        self.capacity = capacity
        self.used = 0
        self.events: list[CacheEvent] = []
        self._entries: collections.OrderedDict[
            ids.PrefixDigest, tuple[int, int]
        ] = collections.OrderedDict()
        self._sequence = 0

    def lookup(self, prefixes: tuple[messages.PrefixPart, ...]) -> int:
        """Returns the length of the longest stored prefix.

        The order of eviction does not change.
        """
        for part in reversed(prefixes):
            if part.digest in self._entries:
                return part.tokens
        return 0

    def store(self, prefixes: tuple[messages.PrefixPart, ...]) -> None:
        """Inserts or refreshes all prefixes of a prompt."""
        previous = 0
        for part in prefixes:
            self._insert(part.digest, part.tokens, part.tokens - previous)
            previous = part.tokens
        # Shorter prefixes match more prompts, so they become the most recent.
        for part in reversed(prefixes):
            if part.digest in self._entries:
                self._entries.move_to_end(part.digest)
        self._evict()

    def clear(self) -> None:
        """Drops all entries without events, as a restart does."""
        self._entries.clear()
        self.used = 0

    def take_events(self) -> list[CacheEvent]:
        """Returns the events since the last call and clears them."""
        events, self.events = self.events, []
        return events

    def _insert(self, digest: ids.PrefixDigest, tokens: int, cost: int) -> None:
        if digest in self._entries or cost > self.capacity:
            return
        self._entries[digest] = (tokens, cost)
        self.used += cost
        self._append_event(True, digest, tokens)

    def _evict(self) -> None:
        while self.used > self.capacity:
            digest, (tokens, cost) = self._entries.popitem(last=False)
            self.used -= cost
            self._append_event(False, digest, tokens)

    def _append_event(
        self, stored: bool, digest: ids.PrefixDigest, tokens: int
    ):
        self._sequence += 1
        self.events.append(CacheEvent(self._sequence, stored, digest, tokens))


class Engine:
    """One endpoint: a batch, a first-in-first-out queue and a cache.

    An endpoint of a plain service is the same model with `batched` off: calls
    do not slow each other down, and its rates only give the duration of a call.

    Attributes:
        name: Identifier of the endpoint.
        declared: Declaration of the endpoint.
        speed_factor: Actual speed relative to the declared rates.
        slowdown: Additional speed factor that faults change.
        batched: Whether jobs share the compute of the endpoint.
        decode_share: Decode rate while a prompt is computed, relative to the
            rate without; 0 if answers stand still meanwhile.
        cache: Prefix cache.
    """

    def __init__(
        self,
        name: ids.EndpointId,
        declared: declarations.Endpoint,
        speed_factor: float = 1.0,
        batched: bool = True,
        decode_share: float = DECODE_SHARE_DURING_PREFILL,
    ):
        self.name = name
        self.declared = declared
        self.speed_factor = speed_factor
        self.slowdown = 1.0
        self.batched = batched
        self.decode_share = decode_share
        self.cache = PrefixCache(declared.cache_tokens)
        self.running: dict[ids.RequestId, Job] = {}
        self.waiting: collections.OrderedDict[ids.RequestId, Job] = (
            collections.OrderedDict()
        )
        self._time = 0.0

    def submit(self, job: Job, now: float) -> None:
        """Queues a job; call `advance(now)` first."""
        self._time = now
        self.waiting[job.request] = job
        self._admit()

    def cancel(self, request: ids.RequestId, now: float) -> Job | None:
        """Removes a job; call `advance(now)` first."""
        self._time = now
        job = self.running.pop(request, None)
        job = job or self.waiting.pop(request, None)
        self._admit()
        return job

    def crash(self, now: float) -> list[Job]:
        """Drops all jobs and the cache, and returns the jobs."""
        self._time = now
        jobs = [*self.running.values(), *self.waiting.values()]
        self.running.clear()
        self.waiting.clear()
        self.cache.clear()
        return jobs

    def report(self, now: float) -> LoadReport:
        """Returns the load at `now`; call `advance(now)` first."""
        tokens = sum(
            job.prompt_tokens + job.output_tokens - job.decode_left
            for job in self.running.values()
        )
        return LoadReport(
            len(self.running), len(self.waiting), round(tokens), now
        )

    def next_change(self) -> float | None:
        """Returns the time of the next change, or None when idle."""
        if not self.running:
            return None
        prefill_rate, decode_rate = self._rates()
        return self._time + min(
            job.prefill_left / prefill_rate
            if job.prefill_left > 0
            else job.decode_left / decode_rate
            for job in self.running.values()
            if job.prefill_left > 0 or decode_rate > 0
        )

    def advance(self, now: float) -> list[Change]:
        """Advances to `now` and returns the changes up to that time."""
        changes: list[Change] = []
        while (due := self.next_change()) is not None and due <= now:
            self._advance_jobs(due)
            changes += self._complete_steps()
        self._advance_jobs(now)
        return changes

    def _rates(self) -> tuple[float, float]:
        """Returns the prefill and decode rates of one job."""
        speed = self.speed_factor * self.slowdown
        prefill = self.declared.prefill_tokens_per_second * speed
        decode = self.declared.decode_tokens_per_second * speed
        if not self.batched:
            return prefill, decode
        decode /= 1 + _STEP_SLOWDOWN_PER_REQUEST * (len(self.running) - 1)
        prefilling = sum(job.prefill_left > 0 for job in self.running.values())
        if not prefilling:
            return prefill, decode
        return prefill / prefilling, decode * self.decode_share

    def _advance_jobs(self, now: float) -> None:
        seconds = now - self._time
        self._time = now
        if seconds <= 0 or not self.running:
            return
        prefill_rate, decode_rate = self._rates()
        for job in self.running.values():
            if job.prefill_left > 0:
                job.prefill_left -= prefill_rate * seconds
                if job.prefill_left < _EPSILON_TOKENS:
                    job.prefill_left = 0.0
                continue
            job.decode_left -= decode_rate * seconds
            job.pause = 0.0 if decode_rate else job.pause + seconds
            job.longest_pause = max(job.longest_pause, job.pause)

    def _complete_steps(self) -> list[Change]:
        changes = []
        for job in list(self.running.values()):
            if job.prefill_left > 0:
                continue
            if job.decode_left >= job.output_tokens:
                # The step that ends the prefill yields the first token.
                job.decode_left = job.output_tokens - 1.0
                self.cache.store(job.prefixes)
                changes.append(Change(Step.FIRST_TOKEN, job))
            if job.decode_left < _EPSILON_TOKENS:
                job.decode_left = 0.0
                del self.running[job.request]
                changes.append(Change(Step.FINISHED, job))
        self._admit()
        return changes

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.declared.max_requests:
            _, job = self.waiting.popitem(last=False)
            job.admitted = True
            job.cached_tokens = self.cache.lookup(job.prefixes)
            # The last prompt token is always computed, because it yields the
            # first output token.
            job.cached_tokens = min(job.cached_tokens, job.prompt_tokens - 1)
            job.prefill_left = float(job.prompt_tokens - job.cached_tokens)
            job.decode_left = float(job.output_tokens)
            self.running[job.request] = job
