"""State of a node's own links to endpoints, without I/O.

A connection that fails shows that the link between this node and an endpoint
is lost, or that the endpoint has failed. Which of both it is takes evidence
from other nodes.
"""

import enum
from collections.abc import Collection

import msgspec

from baobabmux_core import ids

# Time between two probes of a lost link.
_PROBE_INTERVAL_SECONDS = 0.5
# Other links are probed after a loss unless they worked this recently.
_FRESH_SECONDS = 0.5
# A node that connected to another endpoint this recently, and since its link
# to one was lost, has evidence that this endpoint has failed.
_WITNESS_SECONDS = 1.0


class Evidence(enum.Enum):
    """What shows that a link is lost."""

    REFUSED = "refused"
    SILENT = "silent"  # The connection was not established in time.


class LostLink(msgspec.Struct, frozen=True):
    """A link on which no connection can be opened.

    Attributes:
        evidence: Evidence of the latest failure.
        since: Time of the first failure in seconds.
    """

    evidence: Evidence
    since: float


class LinkTable:
    """Links from this node to endpoints.

    A link without a record counts as sound. Open connections may live on
    while a link is lost.
    """

    def __init__(self):
        self._connected_at: dict[ids.EndpointId, float] = {}
        self._worked_at: dict[ids.EndpointId, float] = {}
        self._lost: dict[ids.EndpointId, LostLink] = {}
        self._probe_at: dict[ids.EndpointId, float] = {}

    # Commands.

    def connected(self, endpoint: ids.EndpointId, now: float) -> bool:
        """Records a new connection.

        Returns:
            Whether the link was lost before. The other lost links may be back
            too, and are probed at once.
        """
        self._connected_at[endpoint] = self._worked_at[endpoint] = now
        self._probe_at.pop(endpoint, None)
        if self._lost.pop(endpoint, None) is None:
            return False
        for other in self._lost:
            self._probe_at[other] = now
        return True

    def answered(self, endpoint: ids.EndpointId, now: float) -> None:
        """Records bytes from an endpoint on an open connection."""
        if endpoint not in self._lost:
            self._worked_at[endpoint] = now

    def failed(
        self, endpoint: ids.EndpointId, evidence: Evidence, now: float
    ) -> bool:
        """Records a connection that could not be opened.

        Returns:
            Whether the link was sound before. Other links that have not
            worked recently are then probed at once.
        """
        previous = self._lost.get(endpoint)
        since = now if previous is None else previous.since
        self._lost[endpoint] = LostLink(evidence, since)
        self._probe_at[endpoint] = now + _PROBE_INTERVAL_SECONDS
        if previous is not None:
            return False
        for other, worked_at in self._worked_at.items():
            if other not in self._lost and now - worked_at > _FRESH_SECONDS:
                self._probe_at.setdefault(other, now)
        return True

    def take_due_probes(self, limit: int, now: float) -> list[ids.EndpointId]:
        """Returns the endpoints to connect to now, the longest due first."""
        due = sorted(
            (at, endpoint)
            for endpoint, at in self._probe_at.items()
            if at <= now
        )
        endpoints = [endpoint for _, endpoint in due[:limit]]
        for endpoint in endpoints:
            self._probe_at[endpoint] = now + _PROBE_INTERVAL_SECONDS
        return endpoints

    def keep(self, endpoints: Collection[ids.EndpointId]) -> None:
        """Forgets all other endpoints, which no longer exist."""
        for records in (
            self._connected_at,
            self._worked_at,
            self._lost,
            self._probe_at,
        ):
            for endpoint in records.keys() - endpoints:
                del records[endpoint]

    # Queries.

    def lost(self) -> dict[ids.EndpointId, LostLink]:
        """Returns the lost links."""
        return dict(self._lost)

    def lost_link(self, endpoint: ids.EndpointId) -> LostLink | None:
        """Returns the loss of a link, or None if it is sound."""
        return self._lost.get(endpoint)

    def reaches_others(self, endpoint: ids.EndpointId, now: float) -> bool:
        """Returns whether another link is known to be sound.

        Open connections may live on when a link is lost, so only new ones
        show it, and only those made since the link to `endpoint` was lost.
        """
        lost = self._lost.get(endpoint)
        since = now - _WITNESS_SECONDS
        if lost is not None:
            since = max(since, lost.since)
        return any(
            connected_at >= since
            for other, connected_at in self._connected_at.items()
            if other != endpoint and other not in self._lost
        )
