"""Which requests and which endpoints a new version gets while unproven.

Each owner keeps the new version's requests within a part of those that reach
it. The parts of several owners, one after the other or on two sides of a cut,
therefore add up to the same part of all requests.
"""

from collections.abc import Collection

import msgspec
import xxhash

from baobabmux_core import ids, rendezvous

# Part of the permitted share that is used; the remainder covers requests whose
# owner changes and attempts that are counted late.
_USED_SHARE = 0.85
# Part of the permitted slack that each owner may use; owners change a few times
# in a roll-out.
_USED_SLACK = 0.25
# Steps of the share: part of the time that is over, part of the share.
_STEPS = ((0.0, 0.4), (0.05, 0.7), (0.1, 1.0))
# Parts of all requests after the judgement, by the part of its time.
_PROMOTION_STEPS = ((0.0, 0.2), (0.25, 0.4), (0.5, 0.7), (1.0, 1.0))
# Endpoints that are tried, and requests after which another is the first: few
# in the first round, so that soon not only one endpoint has been seen, then
# more, so that each gets busy, and few again, so that all are seen late too.
_TRIED_ENDPOINTS = 10
_REQUESTS_IN_FIRST_TURN = 5
_REQUESTS_IN_TURN = 16
_REQUESTS_IN_LATE_TURN = 6
_LATE_SHARE = 0.5
_HASH_RANGE = float(2**64)


class ExposureBound(msgspec.Struct, frozen=True):
    """What an unproven version may get of its service's requests.

    Attributes:
        share: Part of all requests from the order to its deadline.
        slack: Requests in addition to that part.
    """

    share: float = 0.1
    slack: float = 0.0


class ExposureCount:
    """Counts the requests of a service and those of its new version.

    Attributes:
        reached: First attempts that reached this owner since the order.
        sent: Attempts that it granted to the new version.
    """

    def __init__(self, bound: ExposureBound):
        self.bound = bound
        self.reached = 0
        self.sent = 0

    def permits(self) -> bool:
        """Returns whether the new version may get one more request."""
        permitted = (
            _USED_SHARE * self.bound.share * self.reached
            + _USED_SLACK * self.bound.slack
        )
        return self.sent + 1 <= permitted


def trial_share(bound: ExposureBound, elapsed_share: float) -> float:
    """Returns the share of requests that try an unproven version.

    Args:
        bound: What it may get at most.
        elapsed_share: Part of the roll-out's time that is over.
    """
    return _USED_SHARE * bound.share * _step(_STEPS, elapsed_share)


def promotion_share(elapsed_share: float) -> float:
    """Returns the share of requests that a proven version gets.

    Args:
        elapsed_share: Part of the time of the change that is over.
    """
    return _step(_PROMOTION_STEPS, elapsed_share)


def is_chosen(order: int, request: ids.RequestId, share: float) -> bool:
    """Returns whether a request belongs to a share of all requests.

    The choice depends on the request alone, so that neither its size nor the
    load decides which version it meets, and a larger share contains a smaller.
    """
    digest = xxhash.xxh3_64_intdigest(f"{order}/{request}".encode())
    return digest / _HASH_RANGE < share


def trial_order(
    order: int,
    endpoints: Collection[ids.EndpointId],
    sent: int,
    elapsed_share: float,
) -> list[ids.EndpointId]:
    """Returns the endpoints of the new version that are tried, in order.

    A request goes to the first one that is not full, so that one of them
    is busy at any time and what only load shows is seen. The first place goes
    round, and few endpoints are tried, so that each becomes known.

    Args:
        order: Number of the order.
        endpoints: Endpoints of the new version that are open.
        sent: Requests that the new version has got so far.
        elapsed_share: Part of the roll-out's time that is over.
    """
    ranked = rendezvous.rank(f"rollout-{order}", sorted(endpoints))
    tried = ranked[:_TRIED_ENDPOINTS]
    if not tried:
        return []
    first_round = _REQUESTS_IN_FIRST_TURN * len(tried)
    turn = _REQUESTS_IN_TURN
    if sent < first_round:
        turn = _REQUESTS_IN_FIRST_TURN
    elif elapsed_share >= _LATE_SHARE:
        turn = _REQUESTS_IN_LATE_TURN
    start = sent // turn % len(tried)
    return tried[start:] + tried[:start]


def _step(steps: tuple[tuple[float, float], ...], elapsed: float) -> float:
    return [part for since, part in steps if elapsed >= since or not since][-1]
