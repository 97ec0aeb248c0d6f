"""Rate limit of the platform's services."""


class TokenBucket:
    """Admits a number of events a second, with bursts of one second."""

    def __init__(self, per_second: float, now: float):
        self._per_second = per_second
        self._tokens = per_second
        self._as_of = now

    def admit(self, now: float) -> bool:
        """Takes a token if there is one."""
        gained = (now - self._as_of) * self._per_second
        self._tokens = min(self._per_second, self._tokens + gained)
        self._as_of = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_seconds(self) -> float:
        """Returns the time until the next token, as of the last `admit`."""
        return max(0.0, (1 - self._tokens) / self._per_second)
