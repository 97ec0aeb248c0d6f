"""Asks and registers for groups that this node does not own yet.

Nodes detect a change of membership at different times, at most about three
heartbeat intervals apart. A message may therefore arrive before this node owns
its group; it is handled once the group is taken.
"""

import collections
from collections.abc import Iterator

from baobabmux_core import ids, messages

_MAX_AGE_SECONDS = 3.0
_MAX_MESSAGES = 1000
# Groups are declared, so that a caller cannot make up more of them.
_MAX_COUNTED_GROUPS = 1000

Early = messages.Ask | messages.Register


class EarlyMessages:
    """Keeps messages of groups that other nodes take this node to own.

    Attributes:
        asks: Asks that arrived for groups that this node did not own.
    """

    def __init__(self):
        self.asks = 0
        self._kept: collections.deque[tuple[float, ids.NodeId, Early]] = (
            collections.deque(maxlen=_MAX_MESSAGES)
        )
        self._asked: collections.Counter[ids.GroupId] = collections.Counter()

    def add(self, message: Early, sender: ids.NodeId, now: float) -> None:
        """Keeps a message; the oldest is dropped if there are too many."""
        self._kept.append((now, sender, message))
        if not isinstance(message, messages.Ask):
            return
        self.asks += 1
        if len(self._asked) < _MAX_COUNTED_GROUPS:
            self._asked[message.group] += 1

    def of_group(
        self, group: ids.GroupId, now: float
    ) -> Iterator[tuple[ids.NodeId, Early]]:
        """Yields the recent messages of a group with their senders."""
        for received_at, sender, message in list(self._kept):
            if message.group == group and now - received_at <= _MAX_AGE_SECONDS:
                yield sender, message

    def take_asked(self) -> dict[ids.GroupId, int]:
        """Returns the asks by group since the last call."""
        asked, self._asked = self._asked, collections.Counter()
        return asked
