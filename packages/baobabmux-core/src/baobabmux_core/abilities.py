"""Which nodes may own groups when their VMs are unlike.

The owner of a group decides about each of its requests. On a VM with a small
part of a processor, or behind a narrow link, these decisions queue up.
"""

from collections.abc import Sequence

from baobabmux_core import ids

UNSTATED = 0
"""What heartbeats of older builds state."""

ORDINARY = 1000
"""What a node states whose settings name no limits."""

# Nodes with less than this share of the greatest ability own no group.
_ABLE_SHARE = 0.5
# Megabits a second that the traffic of one busy core needs.
_LINK_MBPS_PER_CORE = 20.0


def of_limits(cores: float | None, link_mbps: float | None) -> int:
    """Returns the ability of a VM.

    Args:
        cores: Speed of its processor for one thread, in cores, or None.
        link_mbps: Bandwidth of its link in megabits a second, or None.

    Returns:
        Thousandths of a core that it can use, at least 1.
    """
    if cores is None or cores <= 0.0:
        return ORDINARY
    if link_mbps is not None:
        cores = min(cores, link_mbps / _LINK_MBPS_PER_CORE)
    return max(1, round(1000 * cores))


class Abilities:
    """What nodes state of their ability.

    Attributes:
        stated: Thousandths of a core by node, this one included.
    """

    def __init__(self, node: ids.NodeId):
        self.stated: dict[ids.NodeId, int] = {node: ORDINARY}
        self._node = node

    def record(self, node: ids.NodeId, ability: int) -> bool:
        """Records what a node states; returns whether it changed."""
        if self.stated.get(node) == ability:
            return False
        self.stated[node] = ability
        return True

    def forget(self, node: ids.NodeId) -> None:
        """Drops what a node stated."""
        self.stated.pop(node, None)

    def able(self, nodes: Sequence[ids.NodeId]) -> Sequence[ids.NodeId]:
        """Returns the nodes among which owners are chosen.

        Nodes of older builds choose among all; while one of them is there, all
        nodes do. A node that has stated nothing yet is passed over once a peer
        has stated something.
        """
        known = {
            node: self.stated[node] for node in nodes if node in self.stated
        }
        if UNSTATED in known.values() or not known.keys() - {self._node}:
            return nodes
        least = _ABLE_SHARE * max(known.values())
        return [node for node, ability in known.items() if ability >= least]
