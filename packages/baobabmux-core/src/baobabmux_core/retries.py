"""Budget and delays of repeated attempts."""

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
        """Notes a first attempt."""
        self.tokens = min(self._ceiling, self.tokens + self._share)

    def withdraw(self) -> bool:
        """Takes one retry; returns whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
