"""Limits that endpoints name for the requests that they take.

An endpoint in need states in its answers how many requests a second it takes
from all nodes together. The limit holds until it answers without one. Nodes
report changes to each other; the owner of the endpoint's group grants no more
than the limit allows.
"""

import collections
import random
from collections.abc import Callable, Iterable, Mapping

import msgspec

from baobabmux_core import declarations, effects, ids, messages

# Bounds the memory; the entry without evidence for the longest time is dropped.
_MAX_ENTRIES = 2_000
_REPEAT_SECONDS = 1.0
# Limits that are sent again in each interval, in turn.
_MAX_REPEATED = 20
# Limits that are sent to a node that was unreachable or has restarted, the
# latest ones.
_MAX_STATE = 400
# Time for which an ended limit, or one of an endpoint that is no longer
# declared, is kept to override late reports.
_KEPT_SECONDS = 60.0
# An endpoint that takes no requests would never be asked whether it still has
# its limit.
_MIN_RATE = 0.05
# Requests that may start at once after a pause, as seconds of the rate.
_BURST_SECONDS = 0.25
_ENDED = -1.0


class Limit(msgspec.Struct, frozen=True):
    """What is known of one endpoint's limit.

    Attributes:
        rate: Requests a second from all nodes together, or None after the
            limit has ended.
        at: Time of the latest evidence in seconds.
        source: Node that received the latest evidence.
    """

    rate: float | None
    at: float
    source: ids.NodeId


class Allowance:
    """Token bucket of the requests that an owner may grant to an endpoint.

    Attributes:
        rate: Requests a second.
    """

    def __init__(self, rate: float, level: float, now: float):
        self.rate = max(rate, _MIN_RATE)
        self._level = level
        self._refilled_at = now

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate from now on."""
        self._refill(now)
        self.rate = max(rate, _MIN_RATE)
        self._refill(now)

    def level(self, now: float) -> float:
        """Returns the number of requests that may start now."""
        self._refill(now)
        return self._level

    def admits(self, now: float) -> bool:
        """Returns whether a request may start now."""
        # Refills of fractions may sum up to slightly less than one.
        return self.level(now) >= 1.0 - 1e-6

    def take(self, now: float) -> None:
        """Records the start of a request."""
        self._refill(now)
        self._level -= 1.0

    def refund(self) -> None:
        """Gives back a start that did not take place."""
        self._level += 1.0

    def seconds_until(self, count: float, now: float) -> float:
        """Returns the seconds until a number of requests may have started."""
        return max(0.0, count - self.level(now)) / self.rate

    def _refill(self, now: float) -> None:
        elapsed = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        ceiling = max(1.0, _BURST_SECONDS * self.rate)
        self._level = min(ceiling, self._level + elapsed * self.rate)


class RequestLimits:
    """Limits of endpoints, as far as this node knows."""

    def __init__(self, node: ids.NodeId, seed: int):
        self._node = node
        self._generator = random.Random(seed)
        # In the order of the latest evidence.
        self._limits: collections.OrderedDict[ids.EndpointId, Limit] = (
            collections.OrderedDict()
        )
        self._declared: Mapping[ids.EndpointId, declarations.Endpoint] = {}
        # Last declarations of limited endpoints that are not declared now.
        self._former: dict[ids.EndpointId, declarations.Endpoint] = {}
        self._repeat_at = 0.0
        self._repeated = 0

    def rate(self, endpoint: ids.EndpointId) -> float | None:
        """Returns the requests a second that an endpoint takes, or None."""
        limit = self._limits.get(endpoint)
        return None if limit is None else limit.rate

    def limited(self) -> dict[ids.EndpointId, Limit]:
        """Returns the endpoints that have a limit."""
        return {
            endpoint: limit
            for endpoint, limit in self._limits.items()
            if limit.rate is not None
        }

    def observe(
        self,
        endpoint: ids.EndpointId,
        rate: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records the limit that an answer names; returns whether it changed.

        Args:
            endpoint: Endpoint that answered.
            rate: Requests a second, or None if the answer names no limit.
            sent_at: Time at which its request was sent, in seconds. An answer
                without a limit may be older than the limit, unless its request
                was sent after the endpoint last named one.
            now: Current time in seconds.
        """
        known = self._limits.get(endpoint)
        if rate is not None:
            self._store(endpoint, Limit(rate, now, self._node))
            return known is None or known.rate != rate
        if known is None or known.rate is None or sent_at <= known.at:
            return False
        self._store(endpoint, Limit(None, sent_at, self._node))
        return True

    def receive(
        self, message: messages.EndpointLimits, sender: ids.NodeId, now: float
    ) -> bool:
        """Records the limits that another node reports.

        Returns:
            Whether a limit changed.
        """
        changed = False
        for item in message.limits:
            rate = None if item.rate < 0.0 else item.rate
            at = now - item.age_ms / 1000
            known = self._limits.get(item.endpoint)
            if known is not None and at <= known.at:
                continue
            self._store(item.endpoint, Limit(rate, at, sender))
            changed |= rate != (None if known is None else known.rate)
        return changed

    def endpoints_declared(
        self,
        endpoints: Mapping[ids.EndpointId, declarations.Endpoint],
        now: float,
    ) -> None:
        """Applies the endpoints that exist now.

        An endpoint that starts again keeps its limit until it has answered.
        """
        for endpoint in self.limited():
            if endpoint in self._declared and endpoint not in endpoints:
                self._former[endpoint] = self._declared[endpoint]
        self._declared = endpoints
        if not self._former:
            return
        for name, declared in endpoints.items():
            self._former.pop(name, None)
            if name in self._limits:
                continue
            for endpoint, before in list(self._former.items()):
                limit = self._limits[endpoint]
                if limit.rate is not None and _is_same_place(before, declared):
                    self._store(name, Limit(limit.rate, now, limit.source))

    def report(
        self, endpoints: Iterable[ids.EndpointId], now: float
    ) -> messages.EndpointLimits:
        """Returns the limits of endpoints as a message to other nodes."""
        items = []
        for endpoint in endpoints:
            limit = self._limits[endpoint]
            items.append(
                messages.EndpointLimit(
                    endpoint,
                    _ENDED if limit.rate is None else limit.rate,
                    max(0, round((now - limit.at) * 1000)),
                )
            )
        return messages.EndpointLimits(tuple(items))

    def state(self, now: float) -> list[messages.EndpointLimits]:
        """Returns the reports for a node that may lack them."""
        latest = list(self._limits)[-_MAX_STATE:]
        return [self.report(latest, now)] if latest else []

    def repeats(
        self,
        peers: Iterable[ids.NodeId],
        owner_of: Callable[[ids.EndpointId], ids.NodeId | None],
        now: float,
    ) -> list[effects.Effect]:
        """Returns the reports that are due to be sent again.

        They go to the owners of the endpoints and to one other node, in case
        earlier reports were lost.

        Args:
            peers: Reachable nodes.
            owner_of: Returns the owner of an endpoint's group, or None.
            now: Current time in seconds.
        """
        if not self._limits or now < self._repeat_at:
            return []
        self._repeat_at = now + _REPEAT_SECONDS
        self._expire(owner_of, now)
        names = list(self._limits)
        start = self._repeated % max(1, len(names))
        chosen = [*names[start:], *names[:start]][:_MAX_REPEATED]
        self._repeated = start + len(chosen)
        by_node = collections.defaultdict(list)
        for endpoint in chosen:
            by_node[owner_of(endpoint)].append(endpoint)
        order = sorted(peers)
        if order:
            by_node[self._generator.choice(order)] = chosen
        return [
            effects.Send(node, self.report(endpoints, now))
            for node, endpoints in by_node.items()
            if node in order and endpoints
        ]

    def _expire(
        self,
        owner_of: Callable[[ids.EndpointId], ids.NodeId | None],
        now: float,
    ) -> None:
        for endpoint, limit in list(self._limits.items()):
            if limit.at <= now - _KEPT_SECONDS and (
                limit.rate is None or owner_of(endpoint) is None
            ):
                self._drop(endpoint)

    def _store(self, endpoint: ids.EndpointId, limit: Limit) -> None:
        self._limits[endpoint] = limit
        self._limits.move_to_end(endpoint)
        if len(self._limits) > _MAX_ENTRIES:
            self._drop(next(iter(self._limits)))

    def _drop(self, endpoint: ids.EndpointId) -> None:
        del self._limits[endpoint]
        self._former.pop(endpoint, None)


def _is_same_place(
    one: declarations.Endpoint, other: declarations.Endpoint
) -> bool:
    """Returns whether an endpoint may be another one after a restart."""
    if one.service != other.service:
        return False
    restarted = one.vm == other.vm and 0 < one.born_ms < other.born_ms
    return restarted or one.address == other.address
