"""Judges whether a new version of a service's endpoints is worse than the old.

Evidence is a betting score that keeps its meaning however often it is looked
at: of good versions at most one in `THRESHOLD` ever reaches the threshold.
Failed and slow answers are judged separately. Each failed (or slow) answer is
a bet on which version it falls to, at the odds of the choice between them, so
that what troubles both versions cancels out.
"""

import collections
import itertools
import math
import statistics
from collections.abc import Iterable

import msgspec

from baobabmux_core import ids

THRESHOLD = 300.0
"""Evidence at which a version is condemned."""

# Parts of the stake on failures, on answers that are slow for their endpoint,
# and on all endpoints of the version being slow.
_FAILURE_STAKE = 0.35
_SLOW_ANSWER_STAKE = 0.3
_SLOW_VERSION_STAKE = 0.35
# How much more often a bad version may fail.
_RATIOS = (4.0, 12.0, 50.0)
# Shares of the roll-out's time from which on a version may be bad.
_STARTS = (0.0, 0.25, 0.5)
# Routes that may be bad alone; further ones count in the total only.
_MAX_ROUTES = 6
# First answers of an endpoint, which are slow because its caches are cold.
_WARM_UP_ANSWERS = 3
_KNOWN_ANSWERS = 6
_KEPT_ANSWERS = 48
_KEPT_ROUTE_ANSWERS = 256
# An answer is slow if it takes longer, for its endpoint, than all but this
# share of the old version's answers.
_SLOW_SHARE = 0.02
_KEPT_RELATIVE = 512
_USUAL_QUANTILE = 0.25
# Logarithms of the slowness that cold caches and a higher load explain, and of
# one that condemns.
_EXCUSED_LOG = math.log(1.4)
_CONDEMNED_LOG = math.log(2.6)
# Deviation of the logarithms of endpoints' speeds: hardware differs.
_MIN_HARDWARE_DEVIATION = 0.35
_UNKNOWN_HARDWARE_DEVIATION = 0.45
_MIN_ANSWER_DEVIATION = 0.2
_MIN_ENDPOINTS = 3
_KNOWN_HARDWARE_ENDPOINTS = 8
_BUSY_LOAD = 0.7
_LOAD_SECONDS = 3.0
# Share of bad answers from which on an endpoint may be at fault itself.
_TROUBLED_SHARE = 0.15
# With fewer endpoints of the new version only one may be at fault itself.
_FEW_ENDPOINTS = 5
# Failures of one endpoint within this time have one cause, its end.
_END_SECONDS = 1.0
_MAX_LOG = 60.0


class Answer(msgspec.Struct, frozen=True):
    """How one request ended at an endpoint.

    Attributes:
        endpoint: Endpoint that ran it.
        is_new: Whether the endpoint runs the new version.
        share: Probability with which a request like it was to meet the new
            version when it was granted.
        place_share: The same among requests that went to the same place.
        route: Hash of the route.
        load: Share of the endpoint's slots that were used, 0 to 1.
        failed: Whether it failed.
        broken: Whether it broke off, which may be the endpoint's end.
        seconds: Time to its end, or None if it says nothing about speed.
        expected_seconds: Time expected for a request of this size.
        cancelled: Whether its caller gave it up, so that it would have taken
            at least this time.
    """

    endpoint: ids.EndpointId
    is_new: bool
    share: float
    place_share: float = 0.0
    route: int = 0
    load: float = 0.0
    failed: bool = False
    broken: bool = False
    seconds: float | None = None
    expected_seconds: float = 1.0
    cancelled: bool = False


class _Bet:
    """Logarithm of one bet's gain, with the part of each new endpoint."""

    def __init__(self):
        self.total = 0.0
        self.by_endpoint: collections.Counter[ids.EndpointId] = (
            collections.Counter()
        )

    def gain(self, doubted: int) -> float:
        """Returns the gain, without what only some endpoints show.

        Args:
            doubted: Number of endpoints that may be at fault themselves. None
                counts for more than the next one after these.
        """
        parts = sorted(self.by_endpoint.values(), reverse=True)
        limit = parts[doubted] if len(parts) > doubted else 0.0
        excess = sum(part - limit for part in parts[:doubted])
        return math.exp(min(self.total - excess, _MAX_LOG))


class _EventTest:
    """Bets on the version to which bad answers fall."""

    def __init__(self):
        self._bets: dict[tuple[float, int | None, float], _Bet] = (
            collections.defaultdict(_Bet)
        )
        self._routes: set[int] = set()

    def record(
        self, answer: Answer, share: float, elapsed_share: float
    ) -> None:
        """Settles the bets on one bad answer.

        Args:
            answer: The bad answer.
            share: Share of the new version in requests like it.
            elapsed_share: Part of the roll-out's time that is over.
        """
        if len(self._routes) < _MAX_ROUTES:
            self._routes.add(answer.route)
        scopes: list[int | None] = [None]
        if answer.route in self._routes:
            scopes.append(answer.route)
        for ratio in _RATIOS:
            odds = share * ratio + 1.0 - share
            gain = math.log((ratio if answer.is_new else 1.0) / odds)
            for start in _STARTS:
                if elapsed_share < start:
                    continue
                for scope in scopes:
                    bet = self._bets[start, scope, ratio]
                    bet.total += gain
                    if answer.is_new:
                        bet.by_endpoint[answer.endpoint] += gain

    def evidence(self, doubted: int) -> float:
        """Returns the mean gain of all bets, 1 without evidence."""
        count = len(_STARTS) * len(_RATIOS)
        score = 0.0
        placed = 0.0
        for (_, scope, _), bet in self._bets.items():
            weight = 0.5 / count / (1 if scope is None else _MAX_ROUTES)
            score += weight * bet.gain(doubted)
            placed += weight
        return score + 1.0 - placed


class _Troubled:
    """Endpoints of either version and their shares of bad answers."""

    def __init__(self):
        self._counts: dict[tuple[bool, ids.EndpointId], list[int]] = {}

    def add(self, answer: Answer, is_bad: bool) -> None:
        key = (answer.is_new, answer.endpoint)
        counts = self._counts.setdefault(key, [0, 0])
        counts[0] += 1
        counts[1] += is_bad

    def doubted(self) -> int:
        """Returns how many new endpoints may be at fault themselves.

        As many as among the old ones, with chance, and one at least.
        """
        new = sum(is_new for is_new, _ in self._counts)
        old = [
            counts
            for (is_new, _), counts in self._counts.items()
            if not is_new and counts[0] >= _KNOWN_ANSWERS
        ]
        troubled = sum(bad >= _TROUBLED_SHARE * answers for answers, bad in old)
        share = troubled / len(old) if old else 0.0
        expected = new * share
        chance = math.sqrt(expected * (1.0 - share))
        spare = 1 if new < _FEW_ENDPOINTS else 2
        return spare + math.ceil(expected + chance)


class _Usual:
    """Recent times of one endpoint relative to those of all old ones."""

    def __init__(self):
        self.skipped = 0
        self.kept: collections.deque[float] = collections.deque(
            maxlen=_KEPT_ANSWERS
        )

    def quick_log(self) -> float:
        """Returns the logarithm of the time of its quicker answers."""
        return _quantile(self.kept, _USUAL_QUANTILE)

    def is_known(self) -> bool:
        """Returns whether it has answered often enough to be compared."""
        return len(self.kept) >= _KNOWN_ANSWERS


class _SpeedTest:
    """Compares the speed of all endpoints of the two versions."""

    def __init__(self):
        self.usual: dict[tuple[bool, ids.EndpointId], _Usual] = (
            collections.defaultdict(_Usual)
        )

    def evidence(self) -> float:
        """Returns how much more likely it is that the new version is slow."""
        old = self._means(False)
        new = self._means(True)
        if len(old) < _MIN_ENDPOINTS or len(new) < _MIN_ENDPOINTS:
            return 1.0
        spread, noise = self._deviations(old)
        weights = [1.0 / (spread**2 + noise**2 / n) for _, n in new]
        mean = sum(
            weight * value
            for weight, (value, _) in zip(weights, new, strict=True)
        ) / sum(weights)
        difference = mean - statistics.fmean(value for value, _ in old)
        variance = 1.0 / sum(weights) + spread**2 / len(old)
        middle = (_EXCUSED_LOG + _CONDEMNED_LOG) / 2
        score = (_CONDEMNED_LOG - _EXCUSED_LOG) * (difference - middle)
        return math.exp(max(-_MAX_LOG, min(score / variance, _MAX_LOG)))

    def _means(self, is_new: bool) -> list[tuple[float, int]]:
        """Returns mean and number of the known times of each endpoint."""
        least = 2 if is_new else _KNOWN_ANSWERS
        return [
            (statistics.fmean(usual.kept), len(usual.kept))
            for (of_new, _), usual in self.usual.items()
            if of_new is is_new and len(usual.kept) >= least
        ]

    def _deviations(self, old: list[tuple[float, int]]) -> tuple[float, float]:
        """Returns the deviations between endpoints and between answers."""
        spread = max(
            _MIN_HARDWARE_DEVIATION,
            statistics.stdev(value for value, _ in old),
        )
        if len(old) < _KNOWN_HARDWARE_ENDPOINTS:
            spread = max(spread, _UNKNOWN_HARDWARE_DEVIATION)
        noise = statistics.fmean(
            statistics.pstdev(usual.kept)
            for (is_new, _), usual in self.usual.items()
            if not is_new and len(usual.kept) >= _KNOWN_ANSWERS
        )
        return spread, max(noise, _MIN_ANSWER_DEVIATION)


class Judgement:
    """Evidence against one new version at one owner.

    Attributes:
        answers: Number of the new version's answers that were judged.
        bad_answers: Number of those that failed or were slow.
    """

    def __init__(self, began_at: float, seconds: float):
        """Initializes without evidence.

        Args:
            began_at: Time of the order in seconds.
            seconds: Time from the order to its deadline.
        """
        self.answers = 0
        self.bad_answers = 0
        self._began_at = began_at
        self._seconds = max(seconds, 0.001)
        # Recent grants by version and by whether the endpoint was busy.
        self._loads: dict[tuple[bool, bool], float] = dict.fromkeys(
            itertools.product((False, True), repeat=2), 0.0
        )
        self._loads_at = began_at
        self._failures = _EventTest()
        self._slow_answers = _EventTest()
        self._failing = _Troubled()
        self._slowed = _Troubled()
        self._speeds = _SpeedTest()
        # Times of the old version by route and by whether it was busy.
        self._route_times: dict[tuple[int, bool], collections.deque[float]] = (
            collections.defaultdict(
                lambda: collections.deque(maxlen=_KEPT_ROUTE_ANSWERS)
            )
        )
        # Times of the old version's answers relative to their endpoint's.
        self._relative: collections.deque[float] = collections.deque(
            maxlen=_KEPT_RELATIVE
        )
        self._slow_from = math.inf
        self._ended_at: dict[ids.EndpointId, float] = {}

    def granted(self, is_new: bool, load: float, now: float) -> None:
        """Records that a request was granted to an endpoint.

        Args:
            is_new: Whether the endpoint runs the new version.
            load: Share of its slots that are used.
            now: Current time in seconds.
        """
        # The load of both versions changes, for example in a burst.
        kept = math.exp(-max(0.0, now - self._loads_at) / _LOAD_SECONDS)
        self._loads_at = max(self._loads_at, now)
        for key in self._loads:
            self._loads[key] *= kept
        self._loads[is_new, load >= _BUSY_LOAD] += 1.0

    def record(self, answer: Answer, now: float) -> None:
        """Records the end of a request."""
        elapsed = (now - self._began_at) / self._seconds
        if not answer.cancelled:
            self.answers += answer.is_new
            self._failing.add(answer, answer.failed)
        if answer.failed:
            if not self._is_same_end(answer, now):
                self.bad_answers += answer.is_new
                # Runs break off where links or whole places fail.
                share = answer.place_share if answer.broken else answer.share
                self._failures.record(answer, share, elapsed)
            return
        if answer.seconds is None:
            return
        is_slow = self._is_slow(answer)
        self._slowed.add(answer, is_slow)
        if is_slow:
            self.bad_answers += answer.is_new
            self._slow_answers.record(answer, self._share(answer), elapsed)

    def evidence(self) -> float:
        """Returns the evidence that the new version is worse."""
        failures = self._failures.evidence(self._failing.doubted())
        slow_answers = self._slow_answers.evidence(self._slowed.doubted())
        return (
            _FAILURE_STAKE * failures
            + _SLOW_ANSWER_STAKE * slow_answers
            + _SLOW_VERSION_STAKE * self._speeds.evidence()
        )

    def is_bad(self) -> bool:
        """Returns whether the new version is condemned."""
        return self.evidence() >= THRESHOLD

    def _share(self, answer: Answer) -> float:
        """Returns the share of the new version in requests at such a load."""
        share = answer.share
        is_busy = answer.load >= _BUSY_LOAD
        new = share * self._load_share(True, is_busy)
        old = (1.0 - share) * self._load_share(False, is_busy)
        return new / (new + old)

    def _load_share(self, is_new: bool, is_busy: bool) -> float:
        count = self._loads[is_new, is_busy] + 1
        return count / (count + self._loads[is_new, not is_busy] + 1)

    def _is_same_end(self, answer: Answer, now: float) -> bool:
        """Returns whether a run broke off with others at its endpoint."""
        if not answer.broken:
            return False
        before = self._ended_at.get(answer.endpoint, -math.inf)
        self._ended_at[answer.endpoint] = now
        return now - before < _END_SECONDS

    def _is_slow(self, answer: Answer) -> bool:
        """Records an answer's time; returns whether it is slow."""
        time = math.log(
            max(answer.seconds, 0.001) / max(answer.expected_seconds, 0.001)
        )
        is_busy = answer.load >= _BUSY_LOAD
        if not answer.is_new and not answer.cancelled:
            self._route_times[answer.route, is_busy].append(time)
        of_route = self._route_times[answer.route, is_busy]
        if len(of_route) < _KNOWN_ANSWERS:
            of_route = self._route_times[answer.route, not is_busy]
        if len(of_route) < _KNOWN_ANSWERS:
            return False
        time -= _quantile(of_route, 0.5)
        usual = self._speeds.usual[answer.is_new, answer.endpoint]
        is_slow = False
        if usual.is_known():
            relative = time - usual.quick_log()
            is_slow = relative > self._slow_from
            if not answer.is_new and not answer.cancelled:
                self._learn_slow(relative)
        if usual.skipped < _WARM_UP_ANSWERS:
            usual.skipped += 1
        elif not answer.cancelled:
            usual.kept.append(time)
        return is_slow

    def _learn_slow(self, relative: float) -> None:
        """Updates the time from which on an answer is slow, now and then."""
        self._relative.append(relative)
        count = len(self._relative)
        if count >= 1.0 / _SLOW_SHARE and count % 10 == 0:
            self._slow_from = _quantile(self._relative, 1.0 - _SLOW_SHARE)


def _quantile(values: Iterable[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
