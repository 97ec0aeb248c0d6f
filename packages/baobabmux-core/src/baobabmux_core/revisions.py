"""Revisions of the messages between nodes of different builds.

Nodes of an older and a newer build run side by side while VMs are replaced one
after the other.
"""

import collections

from baobabmux_core import ids

_MAX_COUNTED = 200
_OTHERS = ("other", ids.NodeId(""))


class UnknownCounts:
    """Counts what peers sent that this build does not know.

    Attributes:
        counts: Numbers by what was unknown and its sender. Beyond a bounded
            number of entries, all others count as one.
    """

    def __init__(self):
        self.counts: collections.Counter[tuple[str, ids.NodeId]] = (
            collections.Counter()
        )
        self._taken: dict[tuple[str, ids.NodeId], int] = {}

    def record(self, sender: ids.NodeId, unknown: tuple[str, ...]) -> None:
        """Counts the unknown items of a frame."""
        for item in unknown:
            entry = (item, sender)
            is_full = len(self.counts) >= _MAX_COUNTED
            if is_full and entry not in self.counts:
                entry = _OTHERS
            self.counts[entry] += 1

    def take(self) -> dict[tuple[str, ids.NodeId], int]:
        """Returns the numbers since the last call, without zeros."""
        taken = {
            entry: count - self._taken.get(entry, 0)
            for entry, count in self.counts.items()
            if count != self._taken.get(entry, 0)
        }
        self._taken = dict(self.counts)
        return taken
