"""Decides whether to ask a peer for a newer configuration."""

# Time after which another peer is asked although an answer is due: the frame of
# an ask or of its answer may be lost. On slow links answers take longer than
# the shortest time, and even longer if they are asked for repeatedly.
_MIN_REPEAT_SECONDS = 0.1
_MAX_REPEAT_SECONDS = 0.8
_REPEAT_FACTOR = 2.0
# While versions follow each other faster than they arrive, all but the newest
# are of no use.
_MAX_UNANSWERED = 2


class ConfigAsks:
    """Asks one of the peers that name the same new version, not all."""

    def __init__(self):
        # Versions and times of the asks that have no answer yet.
        self._unanswered: list[tuple[int, float]] = []
        self._repeat_seconds = _MIN_REPEAT_SECONDS

    def is_due(self, announced: int, own: int, now: float) -> bool:
        """Returns whether to ask the peer that announced a version now.

        Args:
            announced: Version that the peer has in force.
            own: Version in force here.
            now: Current time in seconds.
        """
        self._record_answers(own, now)
        if announced <= own:
            return False
        if self._unanswered:
            newest = max(version for version, _ in self._unanswered)
            _, asked_at = self._unanswered[-1]
            is_late = now - asked_at >= self._repeat_seconds
            is_newer = announced > newest
            if not is_late and not (
                is_newer and len(self._unanswered) < _MAX_UNANSWERED
            ):
                return False
            if is_late:
                self._set_repeat(_REPEAT_FACTOR * self._repeat_seconds)
                self._unanswered = self._unanswered[:1]
        self._unanswered.append((announced, now))
        return True

    def waited_seconds(self, now: float) -> float:
        """Returns the time since the first ask that has no answer yet."""
        return now - self._unanswered[0][1] if self._unanswered else 0.0

    def _record_answers(self, own: int, now: float) -> None:
        """Drops answered asks; the next wait follows from how long they took.

        Args:
            own: Version in force here.
            now: Current time in seconds.
        """
        left = [ask for ask in self._unanswered if ask[0] > own]
        if len(left) < len(self._unanswered):
            took = now - self._unanswered[0][1]
            self._set_repeat(_REPEAT_FACTOR * took)
        self._unanswered = left

    def _set_repeat(self, seconds: float) -> None:
        self._repeat_seconds = min(
            _MAX_REPEAT_SECONDS, max(_MIN_REPEAT_SECONDS, seconds)
        )
