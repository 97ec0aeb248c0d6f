"""Until when a node that stops accepts, begins and answers requests."""

import math

import msgspec

from baobabmux_node import settings

# A request that has not begun after this share of the shutdown would hardly be
# answered before its end; its caller can still send it to another node.
_BEGIN_SHARE = 0.75


class Shutdown(msgspec.Struct, frozen=True):
    """Times of a planned stop, on the node's clock in seconds.

    Attributes:
        requested_at: Time of the signal.
        announced_until: End of the time in which peers and the load balancer
            learn of the stop; afterwards no request is accepted.
        begins_until: Time until which requests that wait for an endpoint may
            begin; infinite if the node waits for all of them.
        ends_at: Time at which the process ends at the latest, or infinity.
    """

    requested_at: float
    announced_until: float
    begins_until: float
    ends_at: float


def plan(node_settings: settings.Settings, requested_at: float) -> Shutdown:
    """Returns the times of a stop that was requested at a time."""
    limit = node_settings.shutdown_seconds
    if limit is None:
        limit = math.inf
    return Shutdown(
        requested_at,
        requested_at + node_settings.announce_seconds,
        requested_at + _BEGIN_SHARE * limit,
        requested_at + limit,
    )
