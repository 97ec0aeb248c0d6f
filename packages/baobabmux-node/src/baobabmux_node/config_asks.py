"""Decides whether to ask a peer for a newer configuration."""

# Time after which another peer is asked for the same version. Answers take a
# few milliseconds; the frame of an ask or of its answer may be lost.
_REPEAT_SECONDS = 0.1


class ConfigAsks:
    """Asks one of the peers that name the same new version, not all."""

    def __init__(self):
        self._version = -1
        self._asked_at = 0.0

    def is_due(self, announced: int, own: int, now: float) -> bool:
        """Returns whether to ask the peer that announced a version now.

        Args:
            announced: Version that the peer has in force.
            own: Version in force here.
            now: Current time in seconds.
        """
        if announced <= own:
            return False
        waits = now - self._asked_at < _REPEAT_SECONDS
        if announced <= self._version and waits:
            return False
        self._version = announced
        self._asked_at = now
        return True
