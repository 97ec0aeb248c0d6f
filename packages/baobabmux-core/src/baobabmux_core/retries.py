"""Budgets and backoff delays of repeated attempts."""

import collections
import random

_BASE_SECONDS = 0.05
_MAX_SECONDS = 2.0


def backoff(
    attempt: int,
    generator: random.Random,
    base: float = _BASE_SECONDS,
    ceiling: float = _MAX_SECONDS,
) -> float:
    """Returns an exponential delay with full jitter.

    Args:
        attempt: Number of failed attempts so far, from 1.
        generator: Seeded generator.
        base: Longest delay after the first attempt in seconds.
        ceiling: Longest delay in seconds.

    Returns:
        The delay in seconds.
    """
    # The exponent is bounded because 2.0 ** 1100 overflows.
    longest = min(ceiling, base * 2.0 ** min(attempt - 1, 32))
    return generator.random() * longest


class RetryBudget:
    """Token bucket that bounds retries by a share of the first attempts.

    Attributes:
        tokens: Retries that are allowed now.
    """

    def __init__(self, share: float = 0.1, ceiling: float = 20.0):
        self.tokens = ceiling
        self._share = share
        self._ceiling = ceiling

    def deposit(self) -> None:
        """Adds the share for one first attempt."""
        self.tokens = min(self._ceiling, self.tokens + self._share)

    def withdraw(self) -> bool:
        """Takes one retry from the bucket; returns whether one was left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class AttemptBudget:
    """Bounds a service's repeated attempts by its first ones in a window.

    Attributes:
        ratio: Repeated attempts for each first attempt.
        slack: Repeated attempts that are always allowed in a window.
        window_seconds: Length of the sliding window.
        share: Part of the budget that this owner may use; below 1 while other
            nodes that may also grant are unreachable.
    """

    def __init__(
        self,
        ratio: float = 0.1,
        slack: float = 20.0,
        window_seconds: float = 10.0,
    ):
        self.ratio = ratio
        self.slack = slack
        self.window_seconds = window_seconds
        self.share = 1.0
        self._firsts: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def record_first(self, now: float) -> None:
        """Records a first attempt."""
        self._firsts.append(now)
        self._drop_old(now)

    def take(self, now: float) -> bool:
        """Takes one repeated attempt; returns whether one was left."""
        if self.remaining(now) < 1.0:
            return False
        self._repeats.append(now)
        return True

    def remaining(self, now: float) -> float:
        """Returns the repeated attempts that are left in the window."""
        self._drop_old(now)
        allowed = self.ratio * len(self._firsts) + self.slack
        return self.share * allowed - len(self._repeats)

    def _drop_old(self, now: float) -> None:
        oldest = now - self.window_seconds
        for times in (self._firsts, self._repeats):
            while times and times[0] < oldest:
                times.popleft()
