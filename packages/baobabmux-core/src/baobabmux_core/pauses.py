"""Endpoints that want nothing from this node for a while.

An endpoint that turns a request away may say how long its sender shall wait.
That concerns only the node that sent the request.
"""

from baobabmux_core import ids

MAX_SECONDS = 600.0
"""Longest pause that is believed."""

# Bounds the memory; the pause that ends first is evicted first.
_MAX_ENDPOINTS = 2_000


class EndpointPauses:
    """Pauses that endpoints have asked this node for."""

    def __init__(self):
        self._until: dict[ids.EndpointId, float] = {}

    def observe(
        self, endpoint: ids.EndpointId, seconds: float, now: float
    ) -> bool:
        """Records a pause of some seconds from now on.

        Returns:
            Whether the endpoint was not paused before.
        """
        is_new = not self.seconds_left(endpoint, now)
        until = now + min(seconds, MAX_SECONDS)
        self._until[endpoint] = max(until, self._until.get(endpoint, until))
        if len(self._until) > _MAX_ENDPOINTS:
            del self._until[min(self._until, key=self._until.__getitem__)]
        return is_new

    def seconds_left(self, endpoint: ids.EndpointId, now: float) -> float:
        """Returns the seconds until an endpoint takes requests again, or 0."""
        return max(0.0, self._until.get(endpoint, now) - now)

    def active(self, now: float) -> dict[ids.EndpointId, float]:
        """Returns the seconds left of all pauses; forgets those that ended."""
        for endpoint, until in list(self._until.items()):
            if until <= now:
                del self._until[endpoint]
        return {
            endpoint: until - now for endpoint, until in self._until.items()
        }
