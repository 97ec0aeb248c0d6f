"""Rate limit of the stand-ins for the platform's services."""


class TokenBucket:
    """Token bucket with a rate per second and a burst of one second's tokens.

    Args:
        per_second: Events admitted per second.
        now: Current time in seconds, as for `admit`.
    """

    def __init__(self, per_second: float, now: float):
        self._per_second = per_second
        self._tokens = per_second
        self._updated_at = now

    def admit(self, now: float) -> bool:
        """Takes a token; returns False if none is available."""
        gained = (now - self._updated_at) * self._per_second
        self._tokens = min(self._per_second, self._tokens + gained)
        self._updated_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_seconds(self) -> float:
        """Returns the time until the next token, as of the last `admit`."""
        return max(0.0, (1 - self._tokens) / self._per_second)
