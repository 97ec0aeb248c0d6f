"""One account of the bodies and frames that a node holds.

The bodies of requests are held until the requests are answered, because an
attempt may have to be repeated. The bodies of answers that are passed on as a
whole are held until their callers, or the buffers for them, have taken them.
Frames of other nodes are held from the moment at which they do not arrive in
one piece until they are handled. What finds no room waits for a moment, unread,
and is then given up.
"""

import collections
import enum

import curio

from baobabmux_node import clock

MAX_HELD_BYTES = 64_000_000
_MAX_WAIT_SECONDS = 1.0
_CHECK_SECONDS = 0.02


class Use(enum.Enum):
    """What memory is held for."""

    REQUEST = "request"
    ANSWER = "answer"
    FRAME = "frame"


# Part of a body or frame that is read whatever the others hold, so that those
# of usual size are served beside oversized ones.
_ASSURED_BYTES = {
    Use.REQUEST: 16_384,
    Use.ANSWER: 65_536,
    Use.FRAME: 65_536,
}


class NoRoomError(Exception):
    """The bodies and frames that are held leave no room for another one."""


class MemoryAccount:
    """Bytes of the bodies and frames that a node holds.

    Attributes:
        max_bytes: Bound on all bytes together, beyond the assured ones.
        used: Bytes that are held now, by use.
        refused: Number of bodies and frames that found no room, by use.
    """

    def __init__(self, max_bytes: int = MAX_HELD_BYTES):
        self.max_bytes = max_bytes
        self.used: collections.Counter[Use] = collections.Counter()
        self.refused: collections.Counter[Use] = collections.Counter()

    def has_room(self, size: int) -> bool:
        """Returns whether so many further bytes may be held."""
        return self.used.total() + size <= self.max_bytes


class Holding:
    """What is held of one body or frame.

    Args:
        account: Account of the node.
        use: What it is held for.

    Attributes:
        size: Bytes that are held.
    """

    def __init__(self, account: MemoryAccount, use: Use):
        self.size = 0
        self._account = account
        self._use = use

    async def extend(self, size: int) -> None:
        """Takes room for a body or frame, or for more of it.

        Args:
            size: Its bytes, as far as they are known.

        Raises:
            NoRoomError: There was none for a while.
        """
        more = size - self.size
        if more <= 0:
            return
        account = self._account
        if size > _ASSURED_BYTES[self._use] and not account.has_room(more):
            await self._wait_for_room(more)
        account.used[self._use] += more
        self.size = size

    async def _wait_for_room(self, more: int) -> None:
        ends_at = clock.now() + _MAX_WAIT_SECONDS
        while not self._account.has_room(more):
            if clock.now() >= ends_at:
                self._account.refused[self._use] += 1
                raise NoRoomError
            await curio.sleep(_CHECK_SECONDS)

    def add(self, size: int) -> None:
        """Counts bytes that are in memory already."""
        self._account.used[self._use] += size
        self.size += size

    def release(self) -> None:
        """Returns the room."""
        self._account.used[self._use] -= self.size
        self.size = 0
