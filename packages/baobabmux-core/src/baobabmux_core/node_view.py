"""What the parts of a node's scheduler read of the node and its peers."""

from __future__ import annotations

import typing

from baobabmux_core import (
    declarations,
    effects,
    ids,
    messages,
    rendezvous,
    rollouts,
)

if typing.TYPE_CHECKING:
    from baobabmux_core import grants, membership


class NodeView:
    """State that the scheduler keeps and its parts read.

    Attributes:
        node: Name of this node.
        data_centre: Data centre of the node, or a cell of several.
        location: Data centre of the node if `data_centre` is a cell.
        members: Membership of all nodes.
        configuration: Configuration in force, or None before the first.
        owned: Owners of the groups that this node owns.
        reachable: Nodes that can be reached, this node included.
        leaving: Whether the node is shutting down.
        rollouts: Roll-outs of new versions.
    """

    def __init__(
        self,
        node: ids.NodeId,
        data_centre: ids.DataCentre,
        members: membership.Membership,
    ):
        self.node = node
        self.data_centre = data_centre
        self.location = data_centre
        self.members = members
        self.configuration: declarations.Configuration | None = None
        self.owned: dict[ids.GroupId, grants.GroupOwner] = {}
        self.reachable: set[ids.NodeId] = set()
        self.leaving = False
        self.rollouts = rollouts.Rollouts(self)

    def owner(self, group: ids.GroupId) -> ids.NodeId | None:
        """Returns the owner of a group, or None if there is none."""
        owner = self.members.owner(group)
        if owner != self.node or not self.leaving:
            return owner
        # Peers already count this node as leaving.
        others = set(self.members.live(self.data_centre)) - {self.node}
        return rendezvous.owner(group, others) or self.node

    def is_local(self, group: ids.GroupId) -> bool:
        """Returns whether a group is in this node's data centre."""
        return group.endswith(f"@{self.data_centre}")

    def is_declared(self, endpoint: ids.EndpointId) -> bool:
        """Returns whether the configuration in force has an endpoint."""
        return (
            self.configuration is not None
            and endpoint in self.configuration.endpoints
        )

    def reachable_share(self) -> float:
        """Returns the share of all nodes that can be reached."""
        reachable = max(1, len(self.reachable))
        return reachable / max(reachable, self.members.node_count())

    def broadcast(self, message: messages.AnyMessage) -> list[effects.Effect]:
        """Returns a message to every other node that can be reached."""
        return [
            effects.Send(node, message)
            for node in sorted(self.members.reachable())
            if node != self.node
        ]
