"""Learned speed of endpoints: how fast they read prompts and make events.

One endpoint's speed is two rates and a slowness that both share. The rates
follow its answers slowly; the slowness follows them within a second, as an
endpoint that turns slow does so with prompts and events alike. What all
endpoints of a group have in common is learned from all of them.
"""

import math
import statistics
from collections.abc import Iterable

from baobabmux_core import endpoint_work

# Weight of one sample in the rates, after the first samples.
_RATE_WEIGHT = 0.04
# Weight of one sample in the slowness.
_SLOWNESS_WEIGHT = 0.35
# Share of the slowness that becomes part of the rates at each sample.
_SETTLING_SHARE = 0.02
# Weight of one sample in what a group has in common.
_COMMON_WEIGHT = 0.01
# Weight of one sample in the overhead, after the first samples.
_OVERHEAD_WEIGHT = 0.02
# Weight of one sample in the mean error.
_ERROR_WEIGHT = 0.05
# Bound of the logarithm of one sample's ratio, so that a slow reader or a
# wrong length changes little.
_MAX_LOG_RATIO = 1.0
# Decode times below this are mostly network delays.
_MIN_DECODE_SECONDS = 0.02
# Samples from which on an endpoint's rates serve as first estimates for others.
_MIN_SAMPLES = 5
_MAX_BATCH_COST = 0.2
_INITIAL_OVERHEAD_SECONDS = 0.02


class Common:
    """What the endpoints of a group have in common.

    Attributes:
        overhead_seconds: Time to the first event besides reading prompts.
        crossing_seconds: Further time to an endpoint of another data centre.
        batch_cost: Share by which one more stream lengthens a step.
        stall_share: Share of the reading of a prompt by which it delays the
            streams of the endpoint.
        order: Order in which the endpoints read prompts.
    """

    def __init__(self):
        self.overhead_seconds = _INITIAL_OVERHEAD_SECONDS
        self.crossing_seconds = 0.0
        self.batch_cost = 0.02
        self.stall_share = 0.7
        self._samples = 0
        self._order_errors = dict.fromkeys(endpoint_work.PromptOrder, 0.0)

    @property
    def order(self) -> endpoint_work.PromptOrder:
        """The order whose predictions were the better ones."""
        return min(
            endpoint_work.PromptOrder, key=self._order_errors.__getitem__
        )

    def overhead(self, crosses: bool) -> float:
        """Returns the time to a first event besides reading, in seconds."""
        extra = self.crossing_seconds if crosses else 0.0
        return self.overhead_seconds + extra

    def observe_first_event(
        self,
        reading: dict[endpoint_work.PromptOrder, float],
        crosses: bool,
        seconds: float,
    ) -> None:
        """Adds the time to a first event.

        Args:
            reading: Predicted seconds of reading, by order.
            crosses: Whether the endpoint is in another data centre.
            seconds: Time from the dispatch to the first event.
        """
        overhead = self.overhead(crosses)
        for order, predicted in reading.items():
            error = min(abs(_log_ratio(seconds, overhead + predicted)), 1.0)
            self._order_errors[order] += _COMMON_WEIGHT * (
                error - self._order_errors[order]
            )
        predicted = overhead + reading[self.order]
        # A prompt that takes long to read says little about the rest.
        weight = max(_OVERHEAD_WEIGHT, 1.0 / (1 + self._samples))
        self._samples += 1
        weight *= (overhead / predicted) ** 2
        change = overhead * math.expm1(weight * _bounded(seconds, predicted))
        if crosses:
            self.crossing_seconds = max(0.0, self.crossing_seconds + change)
        else:
            self.overhead_seconds = max(0.001, self.overhead_seconds + change)

    def observe_decode(
        self, streams_beside: float, stall_share: float, log_ratio: float
    ) -> None:
        """Adds the ratio of a stream's time to the predicted one.

        Args:
            streams_beside: Mean number of other streams.
            stall_share: Share of the predicted time that is due to prompts.
            log_ratio: Logarithm of actual to predicted time, bounded.
        """
        weight = _COMMON_WEIGHT * log_ratio
        self.batch_cost = min(
            _MAX_BATCH_COST,
            max(0.0, self.batch_cost + 0.01 * weight * streams_beside),
        )
        self.stall_share = min(
            1.0, max(0.0, self.stall_share + weight * stall_share)
        )


class EndpointSpeed:
    """Speed of one endpoint, as its answers show.

    Attributes:
        common: What the endpoints of the group have in common.
        slowness: How much slower it is now than its rates say.
        samples: Answers it was learned from since the endpoint's start.
        learned_at: Time of the last of them in seconds, or minus infinity.
        error: Mean relative error of the predicted first events.
    """

    def __init__(self, common: Common, prefill_rate: float, decode_rate: float):
        self.common = common
        self.slowness = 1.0
        self.samples = 0
        self.learned_at = -math.inf
        self.error = 0.0
        self._prefill_rate = prefill_rate
        self._step_seconds = 1.0 / decode_rate
        self._prefill_samples = 0
        self._decode_samples = 0

    @property
    def prefill_rate(self) -> float:
        """Prompt tokens that it reads in a second now."""
        return self._prefill_rate / self.slowness

    @property
    def step_seconds(self) -> float:
        """Time of one token of a stream that is alone, now."""
        return self._step_seconds * self.slowness

    @property
    def known(self) -> bool:
        """Whether enough answers were seen to tell about other endpoints."""
        return (
            self._prefill_samples >= _MIN_SAMPLES
            and self._decode_samples >= _MIN_SAMPLES
        )

    def prefill_seconds(self, tokens: float) -> float:
        """Predicts the time to read prompt tokens."""
        return tokens / self.prefill_rate

    def decode_seconds(self, tokens: float, streams: float) -> float:
        """Predicts the time of a stream's tokens without reading of prompts.

        Args:
            tokens: Tokens of the stream.
            streams: Streams that run, itself included.
        """
        slowdown = 1.0 + self.common.batch_cost * max(0.0, streams - 1.0)
        return tokens * self.step_seconds * slowdown

    def observe_first_event(
        self,
        uncached: int,
        ahead: endpoint_work.Ahead,
        crosses: bool,
        seconds: float,
        now: float,
    ) -> None:
        """Learns from the time to a first event.

        Args:
            uncached: Prompt tokens that the endpoint read.
            ahead: Tokens of the prompts before it.
            crosses: Whether the endpoint is in another data centre.
            seconds: Time from the dispatch to the first event.
            now: Current time in seconds.
        """
        reading = {
            order: self.prefill_seconds(uncached + ahead.tokens(order))
            for order in endpoint_work.PromptOrder
        }
        share = reading[self.common.order]
        predicted = self.common.overhead(crosses) + share
        share /= predicted
        ratio = _bounded(seconds, predicted) * share
        relative = min(1.0, abs(predicted - seconds) / max(seconds, 0.001))
        self.error += _ERROR_WEIGHT * (relative - self.error)
        self._prefill_rate *= math.exp(-_gain(self._prefill_samples) * ratio)
        self._prefill_samples += share > 0.3
        self._learn_slowness(ratio, now)
        self.common.observe_first_event(reading, crosses, seconds)

    def observe_stream(
        self,
        tokens: int,
        work: endpoint_work.Work,
        age: float,
        seconds: float,
        now: float,
    ) -> None:
        """Learns from the time between two events of a stream.

        Args:
            tokens: Tokens between them.
            work: Work of the endpoint since the stream's request was granted.
            age: Time since then.
            seconds: Time between the events.
            now: Current time in seconds.
        """
        if tokens <= 0 or seconds < _MIN_DECODE_SECONDS:
            return
        age = max(age, 0.001)
        streams = max(1.0, work.slot_seconds / age)
        # Prompts came at any moment of the run, before its events too.
        prompt_tokens = work.prompt_tokens * min(1.0, seconds / age)
        stalled = self.common.stall_share * self.prefill_seconds(prompt_tokens)
        steps = self.decode_seconds(tokens, streams)
        predicted = steps + stalled
        share = stalled / predicted
        ratio = _bounded(seconds, predicted)
        own = ratio * (1.0 - share)
        self._step_seconds *= math.exp(_gain(self._decode_samples) * own)
        self._decode_samples += 1
        self._learn_slowness(own, now)
        self.common.observe_decode(streams - 1.0, share, ratio)

    def _learn_slowness(self, log_ratio: float, now: float) -> None:
        self.samples += 1
        self.learned_at = now
        if not self.known:
            return
        self.slowness *= math.exp(_SLOWNESS_WEIGHT * log_ratio)
        settled = self.slowness**_SETTLING_SHARE
        self.slowness /= settled
        self._prefill_rate /= settled
        self._step_seconds *= settled


class GroupSpeeds:
    """Speeds of the endpoints of one group.

    Attributes:
        common: What they have in common.
        speeds: Speeds by endpoint and start of the endpoint.
    """

    def __init__(self):
        self.common = Common()
        self.speeds: dict[tuple[str, int], EndpointSpeed] = {}

    def speed(
        self, endpoint: str, born_ms: int, prefill_rate: float, rate: float
    ) -> EndpointSpeed:
        """Returns the speed of an endpoint since its latest start.

        An endpoint that is new or has started again begins with the median of
        its peers, or with the declared rates.

        Args:
            endpoint: Identifier.
            born_ms: Time of its start in Unix milliseconds, or 0.
            prefill_rate: Declared prompt tokens a second.
            rate: Declared tokens a second of one stream.
        """
        known = self.speeds.get((endpoint, born_ms))
        if known is not None:
            return known
        peers = [speed for speed in self.speeds.values() if speed.known]
        if peers:
            prefill_rate = statistics.median(p.prefill_rate for p in peers)
            rate = 1.0 / statistics.median(p.step_seconds for p in peers)
        speed = EndpointSpeed(self.common, prefill_rate, rate)
        self.speeds[endpoint, born_ms] = speed
        return speed

    def keep(self, endpoints: Iterable[tuple[str, int]]) -> None:
        """Forgets all endpoints but those given with their start."""
        kept = set(endpoints)
        self.speeds = {k: v for k, v in self.speeds.items() if k in kept}


def _gain(samples: int) -> float:
    """Returns the weight of a sample; the first ones replace the estimate."""
    return max(_RATE_WEIGHT, 1.0 / (1 + samples))


def _log_ratio(actual: float, predicted: float) -> float:
    return math.log(max(actual, 1e-4) / max(predicted, 1e-4))


def _bounded(actual: float, predicted: float) -> float:
    ratio = _log_ratio(actual, predicted)
    return min(_MAX_LOG_RATIO, max(-_MAX_LOG_RATIO, ratio))
