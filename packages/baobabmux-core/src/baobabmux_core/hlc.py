"""Hybrid logical clock: timestamps that order the events of all nodes.

They stay close to wall time.
"""

_COUNTER_BITS = 16
_COUNTER_MASK = (1 << _COUNTER_BITS) - 1

MAX_AHEAD_MS = 60_000
"""A peer's timestamp is ignored if it is further ahead of this node's clock.

Otherwise one wrong clock would advance all others.
"""


def pack(wall_ms: int, counter: int) -> int:
    """Packs Unix milliseconds and a counter into one timestamp."""
    return wall_ms << _COUNTER_BITS | counter


def wall_ms(stamp: int) -> int:
    """Returns the Unix milliseconds of a timestamp."""
    return stamp >> _COUNTER_BITS


def counter(stamp: int) -> int:
    """Returns the counter of a timestamp."""
    return stamp & _COUNTER_MASK


class HybridClock:
    """Returns increasing timestamps, greater than those received from peers.

    A timestamp has 48 bits of Unix milliseconds and 16 bits of a counter. A
    full counter carries into the milliseconds.

    Attributes:
        latest: Latest timestamp returned or accepted from a peer.
    """

    def __init__(self):
        self.latest = 0

    def now(self, now_ms: int) -> int:
        """Returns a new timestamp.

        Args:
            now_ms: Unix time in milliseconds.
        """
        self.latest = max(self.latest + 1, pack(now_ms, 0))
        return self.latest

    def update(self, stamp: int, now_ms: int) -> None:
        """Advances the clock so that its next timestamp exceeds a peer's.

        Args:
            stamp: Timestamp of the peer.
            now_ms: Unix time in milliseconds.
        """
        if wall_ms(stamp) <= now_ms + MAX_AHEAD_MS:
            self.latest = max(self.latest, stamp)
