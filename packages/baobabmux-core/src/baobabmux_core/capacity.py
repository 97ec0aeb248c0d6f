"""Granted requests and estimated rates of one endpoint."""

import collections
import math

from baobabmux_core import (
    deadlines,
    declarations,
    endpoint_speed,
    endpoint_work,
    ids,
)

# Weight of one sample that covers a second or more in an estimated rate; about
# ten such samples replace the declared rate.
_SAMPLE_WEIGHT = 0.2
# Samples are clamped to at most the current rate times this factor and at least
# the rate divided by it, so that one wrong length estimate changes it little.
_MAX_SAMPLE_RATIO = 4.0
# Weight of one sample in the estimated duration of a plain service.
_PLAIN_WEIGHT = 0.05
# Samples of fewer tokens or shorter times are dominated by network delays.
_MIN_SAMPLE_TOKENS = 8
_MIN_SAMPLE_SECONDS = 0.05
# The long-term rate follows the current one over some hundred samples, so that
# it adapts to a lasting change and not to a slow minute.
_LONG_TERM_WEIGHT = 0.005
# A slowdown up to this factor is ordinary variation with the batch and does
# not lower the limit.
_TOLERATED_SLOWDOWN = 1.5
# Older load reports are ignored.
_MAX_REPORT_AGE_SECONDS = 5.0
# Time until a granted request appears in the endpoint's load report.
_GRANT_DELAY_SECONDS = 0.5
# Each further request in a batch lengthens its steps by about this share. The
# estimated rate is that of a batch of one, so that it does not vary with load.
_BATCH_STEP_COST = 0.05
# A stream without a progress report for this long, plus `_STALL_FACTOR` times
# the predicted time to its first token, is stalled: holders report after 8
# seconds at the latest, then every 2 seconds.
_STALL_SECONDS = 12.0
_STALL_FACTOR = 3.0


class RunningRequest:
    """One granted request at an endpoint.

    Attributes:
        request: Identifier.
        holder: Node that holds the caller's connection.
        tier: Rank of its tier.
        short: Whether it counts as short.
        tokens: Tokens that it takes of the endpoint's token limit.
        uncached: Prompt tokens that the endpoint must compute.
        output: Expected output tokens.
        content: Digest of route and body.
        parts: Shared parts of its prompt.
        granted: Time of the grant in seconds.
        first_token: Predicted time of the first token.
        end: Predicted time of the last token.
        produced: Output tokens reported so far.
        elapsed: Seconds from the first token to that report.
        reported: Time of the last report, at first of the grant.
        isolated: Whether it runs alone because its content is suspect.
        expires: Time at which its slot is freed because its holder is lost,
            or None.
        crosses: Whether its holder is in another data centre.
        ahead: Prompt tokens that were to be read before its own.
        work_before: Work of the endpoint until the grant.
    """

    __slots__ = (
        "ahead",
        "content",
        "crosses",
        "elapsed",
        "end",
        "expires",
        "first_token",
        "granted",
        "holder",
        "isolated",
        "output",
        "parts",
        "produced",
        "reported",
        "request",
        "short",
        "tier",
        "tokens",
        "uncached",
        "work_before",
    )

    def __init__(
        self,
        request: ids.RequestId,
        holder: ids.NodeId,
        tier: int,
        tokens: int,
        uncached: int,
        output: int,
        content: ids.ContentDigest,
        granted: float,
        *,
        short: bool = False,
        isolated: bool = False,
        parts: tuple[ids.PartDigest, ...] = (),
        crosses: bool = False,
    ):
        self.request = request
        self.holder = holder
        self.tier = tier
        self.short = short
        self.tokens = tokens
        self.uncached = uncached
        self.output = output
        self.content = content
        self.granted = granted
        self.first_token = granted
        self.end = granted
        self.produced = 0
        self.elapsed = 0.0
        self.reported = granted
        self.isolated = isolated
        self.parts = parts
        self.expires: float | None = None
        self.crosses = crosses
        self.ahead: endpoint_work.Ahead | None = None
        self.work_before = endpoint_work.Work()


class EndpointModel:
    """Load and estimated speed of one endpoint, kept by its group's owner.

    Attributes:
        endpoint: Identifier.
        declared: Its declaration.
        plain: Whether it is a plain service, whose time does not depend on
            tokens.
        running: Granted requests by identifier.
        tokens: Tokens that they take of the token limit.
        prefill_rate: Estimated prompt tokens per second.
        decode_rate: Estimated output tokens per second of one request.
        plain_seconds: Estimated duration of a request of a plain service.
        long_term_decode_rate: Decode rate averaged over a long time.
        peer_decode_rate: Decode rate of its peers, or None without peers.
        stalled: Whether a running request has sent no report for too long.
        limited_when_slow: Whether it runs fewer requests when it is slower
            than its peers.
        speed: Speed learned from answers, or None if the rates are used.
        prompts: Prompts that it reads now, if it has a learned speed.
    """

    def __init__(
        self,
        endpoint: ids.EndpointId,
        declared: declarations.Endpoint,
        *,
        plain: bool = False,
    ):
        self.endpoint = endpoint
        self.declared = declared
        self.plain = plain
        self.running: dict[ids.RequestId, RunningRequest] = {}
        self.tokens = 0
        self.prefill_rate = declared.prefill_tokens_per_second
        self.decode_rate = declared.decode_tokens_per_second
        self.plain_seconds = 0.1
        self.long_term_decode_rate = self.decode_rate
        self.peer_decode_rate: float | None = None
        self.stalled = False
        self.limited_when_slow = True
        self.speed: endpoint_speed.EndpointSpeed | None = None
        self.prompts = endpoint_work.PromptQueue()
        self._work = endpoint_work.WorkCounter()
        self._prefill_free_at = 0.0
        self._samples = 0
        self._sum_of_ends = 0.0
        self._external = 0
        self._external_until = 0.0
        self._last_excess = 0
        self._count_history: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def prefill_seconds(self, uncached: int) -> float:
        """Predicts the time to compute prompt tokens, without a queue."""
        if self.speed is not None:
            return self.speed.prefill_seconds(uncached)
        return 0.0 if self.plain else uncached / self.prefill_rate

    def decode_seconds(self, output: int) -> float:
        """Predicts the time to produce output tokens."""
        if self.plain:
            return self.plain_seconds
        if self.speed is not None:
            return self.speed.decode_seconds(output, len(self.running) + 1)
        return output * self._batch_slowdown(1) / self.decode_rate

    def predict(
        self, start: float, uncached: int, output: int
    ) -> deadlines.Prediction:
        """Predicts the end of a request dispatched at `start`."""
        if self.speed is not None:
            first = start + self.first_event_seconds(uncached, start)
            return deadlines.Prediction(
                first, first + self.decode_seconds(output)
            )
        return deadlines.predict_end(
            start,
            start if self.plain else self._prefill_free_at,
            self.prefill_seconds(uncached),
            self.decode_seconds(output),
        )

    def first_event_seconds(
        self, uncached: int, now: float, crosses: bool = False
    ) -> float:
        """Predicts the time to a first event, by the learned speed."""
        common = self.speed.common
        self.prompts.advance(self.speed.prefill_rate, common.order, now)
        ahead = self.prompts.ahead(uncached).tokens(common.order)
        return common.overhead(crosses) + self.speed.prefill_seconds(
            uncached + ahead
        )

    def slowdown(self) -> float:
        """Returns how many times slower it is than its peers or long-term rate.

        The higher of these two rates counts.
        """
        reference = self.long_term_decode_rate
        if self.peer_decode_rate is not None:
            reference = max(reference, self.peer_decode_rate)
        return reference / self.decode_rate

    def limit(self) -> int:
        """Returns how many requests may run at the endpoint's current speed."""
        if self.stalled:
            return 1
        if not self.limited_when_slow:
            return self.declared.max_requests
        slowdown = self.slowdown()
        if slowdown <= _TOLERATED_SLOWDOWN:
            return self.declared.max_requests
        reduced = self.declared.max_requests * _TOLERATED_SLOWDOWN / slowdown
        return max(1, math.floor(reduced))

    def used(self, now: float) -> int:
        """Returns the occupied slots, including those of other clients."""
        external = self._external if now < self._external_until else 0
        return len(self.running) + external

    def charged_tokens(self, tokens: int) -> int:
        """Returns the tokens that a request takes of the token limit.

        A request larger than the limit takes all of it and runs alone.
        """
        return min(tokens, self.declared.max_tokens)

    def fits(self, tokens: int, reserved: int, now: float) -> bool:
        """Returns whether a slot and enough tokens are free for a request.

        Args:
            tokens: Prompt and output tokens of the request.
            reserved: Slots that the request must leave free.
            now: Current time in seconds.
        """
        limit = self.limit()
        # An idle endpoint accepts a request regardless of reservations.
        if self.used(now) >= max(1, limit - reserved):
            return False
        return (
            self.tokens + self.charged_tokens(tokens)
            <= self.declared.max_tokens
        )

    def running_seconds(self, now: float) -> float:
        """Estimates the slot seconds that running requests still need."""
        return max(0.0, self._sum_of_ends - now * len(self.running))

    def next_free_at(self, now: float) -> float:
        """Predicts when a slot is free, in seconds on the node's clock."""
        if len(self.running) < self.limit():
            return now
        ends = sorted(run.end for run in self.running.values())
        return max(now, ends[len(self.running) - self.limit()])

    def start(self, run: RunningRequest) -> None:
        """Adds a granted request and predicts its times."""
        prediction = self.predict(run.granted, run.uncached, run.output)
        if self.speed is not None:
            run.ahead = self.prompts.ahead(run.uncached)
            self.prompts.add(run.request, float(run.uncached), run.granted)
            run.work_before = self._work.count(
                len(self.running), run.uncached, run.granted
            )
        run.first_token = prediction.first_token
        run.end = prediction.end
        self._prefill_free_at = max(
            self._prefill_free_at, prediction.first_token
        )
        self._add(run)

    def restore(self, run: RunningRequest) -> None:
        """Adds a request that its holder registered as in flight."""
        prediction = self.predict(run.granted, run.uncached, run.output)
        run.first_token = run.granted
        run.end = prediction.end
        self._add(run)

    def end(self, request: ids.RequestId, now: float) -> RunningRequest | None:
        """Removes a request and returns it, or None if it is unknown."""
        run = self.running.pop(request, None)
        if run is None:
            return None
        self.tokens -= run.tokens
        self._sum_of_ends -= run.end
        if self.speed is not None:
            self._work.count(len(self.running) + 1, 0, now)
            self.prompts.left.pop(request, None)
        self._record_count(now)
        if not self.running:
            self._prefill_free_at = 0.0
            self._sum_of_ends = 0.0
            self.stalled = False
        return run

    def observe_progress(
        self, run: RunningRequest, tokens: int, elapsed: float, now: float
    ) -> None:
        """Updates the decode rates by a progress report.

        Args:
            run: Request that is running here.
            tokens: Output tokens so far.
            elapsed: Seconds since its first token.
            now: Current time in seconds.
        """
        if self.speed is not None:
            run.reported = now
            self._learn_decode(run, tokens, elapsed, now)
            return
        gained = tokens - run.produced
        seconds = elapsed - run.elapsed
        if gained < 0 or seconds < _MIN_SAMPLE_SECONDS:
            return
        run.reported = now
        if gained < _MIN_SAMPLE_TOKENS and seconds < 1.0:
            return
        run.produced = tokens
        run.elapsed = elapsed
        # No tokens count as half a token, which keeps rates positive.
        sample = max(gained, 0.5) / seconds * self._batch_slowdown(0)
        self.decode_rate = _updated_rate(
            self.decode_rate, sample, min(1.0, seconds)
        )
        self.long_term_decode_rate += _LONG_TERM_WEIGHT * (
            self.decode_rate - self.long_term_decode_rate
        )

    def observe_completion(
        self,
        run: RunningRequest,
        computed: int,
        output: int,
        prefill: float,
        decode: float,
        now: float,
    ) -> None:
        """Updates the estimated rates by a completed request.

        Args:
            run: Request that has completed.
            computed: Prompt tokens that were computed, or -1 if unknown.
            output: Output tokens produced.
            prefill: Seconds from dispatch to the first token.
            decode: Seconds from the first token to the last.
            now: Current time in seconds.
        """
        if self.plain:
            self._samples += 1
            # The first samples replace the initial value, later ones are
            # averaged.
            weight = max(_PLAIN_WEIGHT, 1 / self._samples)
            self.plain_seconds += weight * (
                prefill + decode - self.plain_seconds
            )
            return
        if self.speed is not None:
            if run.ahead is not None:
                self.speed.observe_first_event(
                    run.uncached if computed < 0 else computed,
                    run.ahead,
                    run.crosses,
                    prefill,
                    now,
                )
            self._learn_decode(run, output, decode, now)
            return
        predicted = run.first_token - run.granted
        if computed >= 0:
            predicted += (computed - run.uncached) / self.prefill_rate
        if predicted > _MIN_SAMPLE_SECONDS and prefill > _MIN_SAMPLE_SECONDS:
            self.prefill_rate = _updated_rate(
                self.prefill_rate,
                self.prefill_rate * predicted / prefill,
                min(1.0, predicted),
            )
        self.observe_progress(run, output, decode, now)

    def _learn_decode(
        self, run: RunningRequest, tokens: int, elapsed: float, now: float
    ) -> None:
        if run.ahead is None:
            return
        work = self._work.count(len(self.running), 0, now)
        self.speed.observe_stream(
            tokens - run.produced,
            work.since(run.work_before),
            now - run.granted,
            elapsed - run.elapsed,
            now,
        )
        run.produced = tokens
        run.elapsed = elapsed

    def apply_load_report(
        self, requests: int, as_of: float, now: float
    ) -> None:
        """Corrects the occupied slots by the endpoint's own report.

        The report is compared with the owner's count at the time that it
        describes. Only an excess that two successive reports agree on counts
        as requests of other clients.

        Args:
            requests: Requests that the endpoint ran or queued.
            as_of: Time that the report describes, in seconds.
            now: Current time in seconds.
        """
        if now - as_of > _MAX_REPORT_AGE_SECONDS:
            return
        excess = max(0, requests - self._max_count_around(as_of))
        fresh = now < self._external_until
        self._external = min(excess, self._last_excess) if fresh else 0
        self._last_excess = excess
        self._external_until = now + _MAX_REPORT_AGE_SECONDS

    def check_stall(self, now: float) -> None:
        """Updates `stalled`."""
        if self.plain:
            return
        self.stalled = any(
            run.expires is None
            and now - run.reported
            > _STALL_SECONDS
            + _STALL_FACTOR * max(0.0, run.first_token - run.reported)
            for run in self.running.values()
        )

    def _max_count_around(self, time: float) -> int:
        """Returns the greatest number of granted requests around a time."""
        greatest = 0
        current = 0
        for changed, count in self._count_history:
            if changed > time + _GRANT_DELAY_SECONDS:
                break
            if changed < time - _GRANT_DELAY_SECONDS:
                current = count
            else:
                greatest = max(greatest, count)
        return max(greatest, current)

    def _record_count(self, now: float) -> None:
        self._count_history.append((now, len(self.running)))
        oldest = now - 2 * _MAX_REPORT_AGE_SECONDS
        while (
            len(self._count_history) > 1 and self._count_history[1][0] < oldest
        ):
            self._count_history.popleft()

    def _batch_slowdown(self, added: int) -> float:
        return 1.0 + _BATCH_STEP_COST * max(0, len(self.running) + added - 1)

    def _add(self, run: RunningRequest) -> None:
        self.end(run.request, run.granted)
        run.tokens = self.charged_tokens(run.tokens)
        self.running[run.request] = run
        self.tokens += run.tokens
        self._sum_of_ends += run.end
        self._record_count(run.granted)


def _updated_rate(old: float, sample: float, weight: float = 1.0) -> float:
    bounded = min(max(sample, old / _MAX_SAMPLE_RATIO), old * _MAX_SAMPLE_RATIO)
    return old + weight * _SAMPLE_WEIGHT * (bounded - old)
