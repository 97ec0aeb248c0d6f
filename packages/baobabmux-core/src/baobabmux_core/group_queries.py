"""Queries about the groups of endpoints that a node owns."""

from __future__ import annotations

import math
import typing

from baobabmux_core import capacity, fairness, ids

if typing.TYPE_CHECKING:
    from baobabmux_core import grants, node_view


class GroupQueries:
    """Answers questions about the owned groups; changes nothing."""

    def __init__(self, view: node_view.NodeView):
        self._view = view

    def names(self) -> list[ids.GroupId]:
        """Returns the groups that this node owns."""
        return list(self._view.owned)

    def owner(self, group: ids.GroupId) -> grants.GroupOwner:
        """Returns the state of an owned group, for queries only.

        Raises:
            KeyError: This node does not own the group.
        """
        return self._view.owned[group]

    def endpoints(self) -> list[ids.EndpointId]:
        """Returns the endpoints of all owned groups."""
        return [
            endpoint
            for owner in self._view.owned.values()
            for endpoint in owner.endpoints()
        ]

    def queue_length(self) -> int:
        """Returns the requests that wait in the owned groups."""
        return sum(owner.queue_length() for owner in self._view.owned.values())

    def decision_inputs(
        self, request: ids.RequestId, now: float
    ) -> dict[str, int]:
        """Returns the inputs of an owner's decision about a request.

        Returns:
            Waiting requests, occupied and usable slots and the predicted
            wait of the group that decided; empty if no owned group did.
        """
        for owner in self._view.owned.values():
            if owner.has_decided(request):
                return owner.decision_inputs(request, now)
        return {}

    def attempt_budgets(self, now: float) -> dict[ids.GroupId, float]:
        """Returns the repeated attempts that owned groups may still make."""
        return {
            group: owner.budget.remaining(now)
            for group, owner in self._view.owned.items()
        }

    def quota_levels(self) -> dict[ids.Workspace, float]:
        """Returns the remaining quota by workspace, the least of all groups."""
        levels: dict[ids.Workspace, float] = {}
        for owner in self._view.owned.values():
            for name in self._view.configuration.workspaces:
                level = owner.quotas.level(fairness.workspace_hash(name))
                if level is not None:
                    levels[name] = min(level, levels.get(name, math.inf))
        return levels

    def queued_by_tier(self, group: ids.GroupId) -> dict[int, int]:
        """Returns the requests that wait in an owned group, by tier rank."""
        owner = self._view.owned.get(group)
        return owner.queued_by_tier() if owner else {}

    def outstanding(self) -> dict[ids.EndpointId, tuple[int, int]]:
        """Returns granted requests and tokens of the owned endpoints."""
        return {
            endpoint: counts
            for owner in self._view.owned.values()
            for endpoint, counts in owner.outstanding().items()
        }

    def model(self, endpoint: ids.EndpointId) -> capacity.EndpointModel | None:
        """Returns an owned endpoint's estimated load and rates, or None."""
        for owner in self._view.owned.values():
            if endpoint in owner.endpoints():
                return owner.model(endpoint)
        return None
