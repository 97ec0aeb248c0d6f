"""Circuit breaker of one endpoint."""

import enum

_FAILURES_TO_OPEN = 2
_FIRST_OPEN_SECONDS = 1.0
# Bounds how late a restarted endpoint gets its first request.
_MAX_OPEN_SECONDS = 8.0
# After this time another probe is admitted, so that a probe whose Release is
# lost does not block the endpoint forever.
_PROBE_SECONDS = 30.0


class BreakerState(enum.Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class CircuitBreaker:
    """Stops grants to an endpoint that fails, except for single probes.

    Attributes:
        state: Current state; `record_grant` turns OPEN into HALF_OPEN.
        retry_at: Time in seconds from which an open or half-open breaker
            admits a probe.
    """

    def __init__(self):
        self.state = BreakerState.CLOSED
        self.retry_at = 0.0
        self._failures = 0
        self._open_seconds = _FIRST_OPEN_SECONDS

    def admits(self, now: float) -> bool:
        """Returns whether the endpoint may get a request now."""
        return self.state is BreakerState.CLOSED or now >= self.retry_at

    def record_grant(self, now: float) -> None:
        """Records a grant; it is the probe if the breaker is not closed."""
        if self.state is BreakerState.CLOSED:
            return
        self.state = BreakerState.HALF_OPEN
        self.retry_at = now + _PROBE_SECONDS

    def record_success(self) -> None:
        """Records a completed request and closes the breaker."""
        self.state = BreakerState.CLOSED
        self._failures = 0
        self._open_seconds = _FIRST_OPEN_SECONDS

    def record_inconclusive(self, now: float) -> None:
        """Records a request whose end shows nothing about the endpoint.

        If it was the probe, another one is admitted at once.
        """
        if self.state is BreakerState.HALF_OPEN:
            self.retry_at = now

    def record_failure(self, now: float) -> None:
        """Records a failed request.

        A failed probe or the second failure in a row opens the breaker.
        """
        self._failures += 1
        if self.state is BreakerState.OPEN:
            return
        if self.state is BreakerState.HALF_OPEN:
            self._open_seconds = min(_MAX_OPEN_SECONDS, 2 * self._open_seconds)
        elif self._failures < _FAILURES_TO_OPEN:
            return
        self.state = BreakerState.OPEN
        self.retry_at = now + self._open_seconds
