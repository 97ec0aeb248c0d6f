"""Circuit breaker of one endpoint."""

import enum

_FAILURES_TO_OPEN = 2
_FIRST_OPEN_SECONDS = 1.0
# Bounds how late a restarted endpoint gets its first request.
_MAX_OPEN_SECONDS = 8.0
# A probe whose release is lost must not keep the endpoint out for good.
_PROBE_SECONDS = 30.0


class BreakerState(enum.Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Keeps work from an endpoint that fails.

    Attributes:
        state: Current state; OPEN turns to HALF_OPEN by `admits`.
        retry_at: Time in seconds at which an open breaker admits a probe.
    """

    def __init__(self):
        self.state = BreakerState.CLOSED
        self.retry_at = 0.0
        self._failures = 0
        self._open_seconds = _FIRST_OPEN_SECONDS

    def admits(self, now: float) -> bool:
        """Returns whether the endpoint may get a request now."""
        return self.state is BreakerState.CLOSED or now >= self.retry_at

    def granted(self, now: float) -> None:
        """Notes a grant; it is the probe if the breaker is not closed."""
        if self.state is BreakerState.CLOSED:
            return
        self.state = BreakerState.HALF_OPEN
        self.retry_at = now + _PROBE_SECONDS

    def succeeded(self) -> None:
        """Notes a completed request."""
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._open_seconds = _FIRST_OPEN_SECONDS

    def abandoned(self, now: float) -> None:
        """Notes a request that ended without saying anything."""
        if self.state is BreakerState.HALF_OPEN:
            self.retry_at = now

    def failed(self, now: float) -> None:
        """Notes a failed request."""
        self._failures += 1
        if self.state is BreakerState.OPEN:
            return
        if self.state is BreakerState.HALF_OPEN:
            self._open_seconds = min(_MAX_OPEN_SECONDS, 2 * self._open_seconds)
        elif self._failures < _FAILURES_TO_OPEN:
            return
        self.state = BreakerState.OPEN
        self.retry_at = now + self._open_seconds
