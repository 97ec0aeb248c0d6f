"""Endpoints that say in their answers that they are leaving.

They get no new requests from then on, also while the endpoint directory still
lists them as ready.
"""

import collections
from collections.abc import Container

from baobabmux_core import ids, messages

# Bounds the memory; the endpoint that was heard longest ago is evicted first.
_MAX_ENDPOINTS = 2_000
# An endpoint that starts again under its identifier and names no start time
# cannot be told from the one before, so its notice expires.
_KEPT_SECONDS = 300.0
# A directory that is out of date may list an endpoint again for some time.
_GONE_SECONDS = 60.0


class LeavingEndpoints:
    """Leaving endpoints, as far as this node knows."""

    def __init__(self):
        self._noticed_at: collections.OrderedDict[ids.EndpointId, float] = (
            collections.OrderedDict()
        )

    def __contains__(self, endpoint: ids.EndpointId) -> bool:
        return endpoint in self._noticed_at

    def __len__(self) -> int:
        return len(self._noticed_at)

    def add(self, endpoint: ids.EndpointId, now: float) -> bool:
        """Records a notice; returns whether it was news."""
        is_new = endpoint not in self._noticed_at
        self._noticed_at[endpoint] = now
        self._noticed_at.move_to_end(endpoint)
        if len(self._noticed_at) > _MAX_ENDPOINTS:
            self._noticed_at.popitem(last=False)
        return is_new

    def endpoints(self) -> tuple[ids.EndpointId, ...]:
        """Returns the leaving endpoints, the latest notice last."""
        return tuple(self._noticed_at)

    def state(self) -> list[messages.EndpointsLeaving]:
        """Returns the report for a node that may lack it."""
        if not self._noticed_at:
            return []
        return [messages.EndpointsLeaving(self.endpoints())]

    def expire(self, declared: Container[ids.EndpointId], now: float) -> None:
        """Drops old notices, and those of endpoints that are gone.

        Args:
            declared: Endpoints that exist now.
            now: Current time in seconds.
        """
        for endpoint, noticed_at in list(self._noticed_at.items()):
            age = now - noticed_at
            if age > _KEPT_SECONDS or (
                endpoint not in declared and age > _GONE_SECONDS
            ):
                del self._noticed_at[endpoint]
