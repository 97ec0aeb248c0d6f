"""Decides when a slow request is sent to a second endpoint, within a limit.

The owner of a group learns how long first attempts take until they answer, and
tells with each grant when its request is slow. The node that holds the request
asks for a hedge then. The owner grants hedges only up to a share of the
first attempts that ended under its own grants. Owners therefore need to know
nothing of each other: a new owner, each side of a cut and an owner that has
started again begin without any hedges to grant.
"""

import bisect
import collections
import math

import msgspec

from baobabmux_core import (
    declarations,
    ids,
    messages,
    states,
)

SINCE_REVISION = 7
"""First revision whose owners know hedges."""

# First attempts of one owner that have not ended; the oldest go uncounted.
_MAX_UNENDED = 20_000
# Answers of one size from which a quantile is learned, the latest ones.
_MAX_SAMPLES = 400
# Answers beyond the quantile that make it known.
_MIN_BEYOND = 5
_MAX_SAMPLE_AGE_SECONDS = 120.0
# Factor between the prompts of two classes of sizes.
_SIZE_BASE_BITS = 2


class Limit(msgspec.Struct, frozen=True):
    """What an operator allows for one service; all zero allows no hedge.

    Attributes:
        quantile: Quantile of the time until an answer after which a request is
            hedged, 0 for never.
        request_share: Most hedges as a share of the first attempts.
        token_share: Most tokens of hedges as a share of those of the first
            attempts.
        workspace_share: Most hedges of one workspace as a share of the hedges
            that are allowed for all.
        free_share: Share of the places of a group that stays free.
        window_seconds: Length of the window.
    """

    quantile: float = 0.0
    request_share: float = 0.0
    token_share: float = 0.0
    workspace_share: float = 0.25
    free_share: float = 0.25
    window_seconds: float = 10.0


OFF = Limit()
"""No request is hedged."""


def limit_of(service: declarations.Service | None) -> Limit:
    """Returns the limit that a service declares."""
    if service is None or not service.hedge_quantile:
        return OFF
    return Limit(
        service.hedge_quantile,
        service.hedge_request_share,
        service.hedge_token_share,
        service.hedge_workspace_share,
        service.hedge_free_share,
        service.hedge_window_seconds,
    )


class _Samples:
    """Times of the latest answers of one class, in order and by size."""

    def __init__(self):
        self._by_age: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._sorted: list[float] = []

    def add(self, seconds: float, now: float) -> None:
        self._by_age.append((now, seconds))
        bisect.insort(self._sorted, seconds)
        if len(self._by_age) > _MAX_SAMPLES:
            self._drop_oldest()

    def quantile(self, quantile: float, now: float) -> float | None:
        while self._by_age and (
            self._by_age[0][0] < now - _MAX_SAMPLE_AGE_SECONDS
        ):
            self._drop_oldest()
        beyond = (1.0 - quantile) * len(self._sorted)
        if beyond < _MIN_BEYOND:
            return None
        return self._sorted[-int(beyond) - 1]

    def _drop_oldest(self) -> None:
        _, seconds = self._by_age.popleft()
        del self._sorted[bisect.bisect_left(self._sorted, seconds)]


class LearnedTimes:
    """Times until the answers of one group begin, by the prompt's size."""

    def __init__(self):
        self._samples: dict[int, _Samples] = {}

    def observe(self, prompt_tokens: int, seconds: float, now: float) -> None:
        """Records a first attempt that answered, or was given up.

        An attempt that was given up for a hedge counts with the time that it
        had: without it, only fast answers would be learned.

        Args:
            prompt_tokens: Length of its prompt.
            seconds: Time from its dispatch to the beginning of its answer.
            now: Current time in seconds.
        """
        size = _size_class(prompt_tokens)
        self._samples.setdefault(size, _Samples()).add(seconds, now)

    def delay(
        self, prompt_tokens: int, quantile: float, now: float
    ) -> float | None:
        """Returns the time after which a request is slow, in seconds.

        It is None while too few answers of that size are known.
        """
        if not 0.0 < quantile < 1.0:
            return None
        samples = self._samples.get(_size_class(prompt_tokens))
        return None if samples is None else samples.quantile(quantile, now)


def _size_class(prompt_tokens: int) -> int:
    return prompt_tokens.bit_length() // _SIZE_BASE_BITS


class _Window:
    """Sums of requests and tokens in a sliding window."""

    def __init__(self):
        self.requests = 0
        self.tokens = 0
        self.by_workspace: collections.Counter[int] = collections.Counter()
        self._entries: collections.deque[tuple[float, int, int]] = (
            collections.deque()
        )

    def add(self, workspace: int, tokens: int, now: float) -> None:
        self._entries.append((now, workspace, tokens))
        self.requests += 1
        self.tokens += tokens
        self.by_workspace[workspace] += 1

    def drop_before(self, oldest: float) -> None:
        while self._entries and self._entries[0][0] <= oldest:
            _, workspace, tokens = self._entries.popleft()
            self.requests -= 1
            self.tokens -= tokens
            self.by_workspace[workspace] -= 1
            if not self.by_workspace[workspace]:
                del self.by_workspace[workspace]


class Budget:
    """Bounds the hedges that one owner grants.

    In any window, the hedges of all owners are at most the declared share of
    the first attempts that ended in that window and the one before it, since
    an attempt is counted by one owner only.

    Attributes:
        limit: The limit in force.
    """

    def __init__(self, limit: Limit = OFF):
        self.limit = limit
        self._firsts = _Window()
        self._hedges = _Window()

    def first_ended(self, workspace: int, tokens: int, now: float) -> None:
        """Records a first attempt that ran and has ended."""
        if self.limit.quantile:
            self._firsts.add(workspace, tokens, now)
            self._firsts.drop_before(now - self.limit.window_seconds)

    def take(self, workspace: int, tokens: int, now: float) -> bool:
        """Takes one hedge from the budget; returns whether it was left.

        Args:
            workspace: Hash of the workspace.
            tokens: Tokens that the hedge may use.
            now: Current time in seconds.
        """
        oldest = now - self.limit.window_seconds
        self._firsts.drop_before(oldest)
        self._hedges.drop_before(oldest)
        allowed = self.limit.request_share * self._firsts.requests
        own = self._hedges.by_workspace[workspace] + 1
        if (
            not self.limit.quantile
            or self._hedges.requests + 1 > allowed
            or self._hedges.tokens + tokens
            > self.limit.token_share * self._firsts.tokens
            or own > self.limit.workspace_share * allowed
        ):
            return False
        self._hedges.add(workspace, tokens, now)
        return True

    def fits(self, queued: int, free: int, places: int) -> bool:
        """Returns whether a hedge leaves room for first attempts.

        Args:
            queued: Requests that wait in the group.
            free: Places of the group that are free.
            places: All places of the group.
        """
        return not queued and free - 1 >= self.limit.free_share * places


class _First(msgspec.Struct, frozen=True):
    workspace: int
    prompt_tokens: int
    tokens: int


class OwnerHedges:
    """Hedges and first attempts of the requests that one owner grants.

    Attributes:
        budget: What may still be granted.
    """

    def __init__(self):
        self.budget = Budget()
        self._times = LearnedTimes()
        # First attempts that have not ended.
        self._firsts: collections.OrderedDict[ids.RequestId, _First] = (
            collections.OrderedDict()
        )

    def configure(self, service: declarations.Service | None) -> None:
        """Applies the limit that the service declares now."""
        self.budget.limit = limit_of(service)

    def admits(
        self, ask: messages.Ask, queued: int, free: int, places: int, now: float
    ) -> bool:
        """Returns whether an ask may be granted; only hedges may not.

        Args:
            ask: The ask.
            queued: Requests that wait in the group.
            free: Places of the group that are free.
            places: All places of the group.
            now: Current time in seconds.
        """
        tokens = ask.prompt_tokens + ask.output_tokens
        if is_hedge(ask):
            return self.budget.fits(queued, free, places) and self.budget.take(
                ask.workspace, tokens, now
            )
        if self.budget.limit.quantile and (
            ask.terms is None or ask.terms.attempt == 1
        ):
            self._firsts[ask.request] = _First(
                ask.workspace, ask.prompt_tokens, tokens
            )
            if len(self._firsts) > _MAX_UNENDED:
                self._firsts.popitem(last=False)
        return True

    def slow_ms(self, ask: messages.Ask, now: float) -> int:
        """Returns the milliseconds after which a request is slow, or 0."""
        if self.budget.limit is OFF or is_hedge(ask):
            return 0
        seconds = self._delay(ask.prompt_tokens, now)
        return 0 if seconds is None else max(1, round(1000 * seconds))

    def ended(self, release: messages.Release, now: float) -> None:
        """Records the end of an attempt that this owner granted."""
        first = self._firsts.get(release.request)
        outcome = states.Outcome.of_code(release.outcome)
        if first is None or outcome in states.UNSENT_OUTCOMES:
            return
        del self._firsts[release.request]
        if outcome is states.Outcome.REJECTED:
            return
        self.budget.first_ended(first.workspace, first.tokens, now)
        seconds = release.prefill_ms / 1000
        if outcome is states.Outcome.COMPLETED or (
            outcome is states.Outcome.CANCELLED
            and seconds >= (self._delay(first.prompt_tokens, now) or math.inf)
        ):
            self._times.observe(first.prompt_tokens, seconds, now)

    def _delay(self, prompt_tokens: int, now: float) -> float | None:
        quantile = self.budget.limit.quantile
        return self._times.delay(prompt_tokens, quantile, now)


def is_hedge(ask: messages.Ask) -> bool:
    """Returns whether an ask is for a second endpoint of a slow request."""
    return ask.terms is not None and ask.terms.hedged
