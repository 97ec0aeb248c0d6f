"""Grants from a node's own share while the owner of a group does not answer.

Every node may then use an equal part of the endpoints' slots and of the budget
of repeated attempts, so that together they overload nothing. The owner's deputy
charges the quotas.
"""

from __future__ import annotations

import math
import typing
from collections.abc import Callable

from baobabmux_core import (
    declarations,
    held_requests,
    ids,
    quarantine,
    rendezvous,
    request_limits,
    retries,
    versions,
)

if typing.TYPE_CHECKING:
    from baobabmux_core import holders, node_view, quota_deputies

# Nodes that have a share of the same slot. Few use their whole share at once,
# and endpoints queue a few requests.
_SHARES_PER_SLOT = 2
# Part of a service's budget of repeated attempts that all nodes together may
# use from their own shares. Owners, which may have used theirs in the same
# window, keep within the limit with it.
_OWN_SHARE_OF_BUDGET = 0.5


class OwnShares:
    """Chooses endpoints from the node's own share.

    Args:
        view: State of the node.
        holder: Holder of the node's requests.
        is_open: Returns whether this node may send new work to an endpoint.
        suspects: Contents and parts under which endpoints have ended.
        limits: Request limits that endpoints name.
        deputies: Asks an owner's deputy to charge a request.
    """

    def __init__(
        self,
        view: node_view.NodeView,
        holder: holders.Holder,
        is_open: Callable[[ids.EndpointId], bool],
        suspects: quarantine.Quarantine,
        limits: request_limits.RequestLimits,
        deputies: quota_deputies.QuotaDeputies,
    ):
        self._view = view
        self._holder = holder
        self._is_open = is_open
        self._quarantine = suspects
        self._limits = limits
        self._deputies = deputies
        self._budget_limits: tuple[float, float, float] | None = None
        self._slack = retries.AttemptBudget().slack
        # Repeated attempts from the share, by service.
        self._budgets: dict[ids.ServiceName, retries.AttemptBudget] = {}

    # Commands.

    def set_budget_limits(
        self, ratio: float, slack: float, window_seconds: float
    ) -> None:
        """Limits the repeated attempts of each service; see `AttemptBudget`."""
        self._budget_limits = (ratio, slack, window_seconds)
        self._slack = slack
        self._budgets.clear()

    def record_first_attempt(
        self, service: ids.ServiceName, now: float
    ) -> None:
        """Adds a request of this node to its budget of repeated attempts."""
        budget = self._budget(service)
        nodes = max(1, self._view.members.node_count())
        budget.slack = self._slack / nodes
        budget.record_first(now)

    def choose(
        self, held: held_requests.Held, now: float
    ) -> ids.EndpointId | None:
        """Returns an endpoint with a free slot in the share, and charges it.

        Returns:
            The endpoint, or None without one, or while the owner's deputy has
            not charged the request.
        """
        if self._needs_owner(held, now):
            return None
        nodes = max(1, len(self._view.reachable))
        endpoint = self._least_used(held, nodes, now)
        if endpoint is None:
            return None
        if held.attempt > 1 or held.failures > 0:
            budget = self._budget(held.work.service)
            return endpoint if budget.take(now) else None
        if held.charged or not held.work.cost:
            return endpoint
        self._deputies.ask(held, now)
        return None

    def _least_used(
        self, held: held_requests.Held, nodes: int, now: float
    ) -> ids.EndpointId | None:
        running = self._holder.running_counts()
        best: tuple[float, bool, ids.EndpointId] | None = None
        members = {
            name: endpoint
            for name, endpoint in self._view.configuration.endpoints.items()
            if endpoint.service == held.work.service
        }
        for name in self._usable(held, members, nodes, now):
            endpoint = members[name]
            share_slots = max(1, math.ceil(endpoint.max_requests / nodes))
            if (used := running.get(name, 0)) >= share_slots:
                continue
            same_centre = endpoint.location == self._view.location
            rank = (used / share_slots, not same_centre, name)
            if best is None or rank < best:
                best = rank
        return None if best is None else best[-1]

    def _usable(
        self,
        held: held_requests.Held,
        members: dict[ids.EndpointId, declarations.Endpoint],
        nodes: int,
        now: float,
    ) -> list[ids.EndpointId]:
        """Returns the endpoints of this node's share that may run a request.

        With more nodes than slots of an endpoint, each node has a share of
        some endpoints only, of those that it can use now.

        Args:
            held: The request.
            members: Endpoints of the service.
            nodes: Number of nodes that may use shares.
            now: Current time in seconds.
        """
        known = [endpoint.version for endpoint in members.values()]
        usable = [
            name
            for name, endpoint in members.items()
            if self._is_open(name)
            and self._view.rollouts.in_own_share(endpoint)
            and name not in held.avoided
            and versions.may_go_on(held.version, endpoint.version, known)
            and self._holder.unreachable.get(name, 0.0) <= now
            and self._holder.pauses.seconds_left(name, now) <= 0.0
            # Only the owner knows what the other nodes have started there.
            and self._limits.rate(name) is None
        ]
        slots = sum(members[name].max_requests for name in usable)
        count = math.ceil(_SHARES_PER_SLOT * slots / nodes)
        if count >= len(usable):
            return usable
        return rendezvous.rank(self._view.node, usable)[:count]

    def _needs_owner(self, held: held_requests.Held, now: float) -> bool:
        """Returns whether only the owner may grant a request.

        It runs one request at a time of a content or part under which an
        endpoint has ended, and runs suspects alone.
        """
        content = held.work.content
        if held.attempt == 1 and (
            content in self._quarantine.ends
            or self._quarantine.parts.suspects(held.work.parts, now)
        ):
            return True
        status = self._quarantine.status(content, now)
        return status is not quarantine.ContentStatus.CLEAR

    def _budget(self, service: ids.ServiceName) -> retries.AttemptBudget:
        """Returns the budget of repeated attempts from this node's share."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = retries.AttemptBudget(*(self._budget_limits or ()))
            budget.share = _OWN_SHARE_OF_BUDGET
            self._budgets[service] = budget
        return budget
