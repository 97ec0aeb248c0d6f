"""Decides when a slow request is sent to a second endpoint, within a limit.

A node learns how long first attempts of a service take until they answer, and
hedges a request that may be repeated once it has waited longer than most. The
owner that grants first attempts also grants hedges, only up to a share of the
first attempts that ended under its own grants. Owners therefore need to know
nothing of each other: a new owner, each side of a cut and an owner that has
started again begin without any hedges to grant.
"""

import bisect
import collections

import msgspec

from baobabmux_core import (
    declarations,
    effects,
    held_requests,
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
_MAX_CLASSES = 100


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
    """Times until answers begin at one node, by service and prompt size."""

    def __init__(self):
        self._samples: collections.OrderedDict[tuple[str, int], _Samples] = (
            collections.OrderedDict()
        )

    def observe(
        self, service: str, prompt_tokens: int, seconds: float, now: float
    ) -> None:
        """Records a first attempt that answered, or was given up.

        An attempt that was given up for a hedge counts with the time that it
        had: without it, only fast answers would be learned.

        Args:
            service: Service that ran it.
            prompt_tokens: Length of its prompt.
            seconds: Time from its dispatch to the beginning of its answer.
            now: Current time in seconds.
        """
        key = _size_class(service, prompt_tokens)
        if key not in self._samples and len(self._samples) >= _MAX_CLASSES:
            self._samples.popitem(last=False)
        samples = self._samples.setdefault(key, _Samples())
        self._samples.move_to_end(key)
        samples.add(seconds, now)

    def delay(
        self, service: str, prompt_tokens: int, quantile: float, now: float
    ) -> float | None:
        """Returns the time after which a request is slow, in seconds.

        It is None while too few answers of that size are known.
        """
        if not 0.0 < quantile < 1.0:
            return None
        samples = self._samples.get(_size_class(service, prompt_tokens))
        return None if samples is None else samples.quantile(quantile, now)


def _size_class(service: str, prompt_tokens: int) -> tuple[str, int]:
    return service, prompt_tokens.bit_length() // _SIZE_BASE_BITS


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


class HolderHedges:
    """Decides at a node when its requests are slow."""

    def __init__(self):
        self._times = LearnedTimes()
        self._limits: dict[ids.ServiceName, Limit] = {}

    def configure(self, configuration: declarations.Configuration) -> None:
        """Applies the limits that the services declare now."""
        self._limits = {
            name: limit
            for name, service in configuration.services.items()
            if (limit := limit_of(service)) is not OFF
        }

    def delay(self, work: effects.Work, now: float) -> float | None:
        """Returns the seconds after which a request is slow, or None."""
        limit = self._limits.get(work.service)
        if limit is None:
            return None
        return self._times.delay(
            work.service, work.prompt_tokens, limit.quantile, now
        )

    def answered(self, held: held_requests.Held | None, now: float) -> None:
        """Records a first attempt that begins its answer, or is given up."""
        if (
            held is not None
            and held.work.service in self._limits
            and held.attempt == 1
            and held.first_token_at is None
            and held.state in held_requests.RUNNING_STATES
        ):
            self._times.observe(
                held.work.service,
                held.work.prompt_tokens,
                now - held.dispatched_at,
                now,
            )


class OwnerHedges:
    """Hedges and first attempts of the requests that one owner grants.

    Attributes:
        budget: What may still be granted.
    """

    def __init__(self):
        self.budget = Budget()
        # Workspace and tokens of the first attempts that have not ended.
        self._firsts: collections.OrderedDict[
            ids.RequestId, tuple[int, int]
        ] = collections.OrderedDict()

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
            self._firsts[ask.request] = ask.workspace, tokens
            if len(self._firsts) > _MAX_UNENDED:
                self._firsts.popitem(last=False)
        return True

    def ended(
        self, request: ids.RequestId, outcome: states.Outcome, now: float
    ) -> None:
        """Records the end of an attempt that this owner granted."""
        first = self._firsts.get(request)
        if first is None or outcome in states.UNSENT_OUTCOMES:
            return
        del self._firsts[request]
        if outcome is not states.Outcome.REJECTED:
            self.budget.first_ended(*first, now)


def is_hedge(ask: messages.Ask) -> bool:
    """Returns whether an ask is for a second endpoint of a slow request."""
    return ask.terms is not None and ask.terms.hedged
