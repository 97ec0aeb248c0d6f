"""Contents that may crash endpoints."""

import enum

from baobabmux_core import ids

# Long enough to outlast a caller's retries, short enough that a repaired
# engine serves the content again the same hour.
_GUILTY_SECONDS = 900.0
_SUSPECT_SECONDS = 900.0
# Bounds the memory; the oldest content is forgotten first.
_MAX_CONTENTS = 10_000


class ContentStatus(enum.Enum):
    """What is known about a content."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONFIRMED = "guilty"


class Quarantine:
    """Suspect and guilty contents, as far as this node knows."""

    def __init__(self):
        self._contents: dict[
            ids.ContentDigest, tuple[ContentStatus, float]
        ] = {}

    def __len__(self) -> int:
        return len(self._contents)

    def status(self, content: ids.ContentDigest, now: float) -> ContentStatus:
        """Returns what is known about a content."""
        standing, until = self._contents.get(
            content, (ContentStatus.CLEAR, now)
        )
        return standing if now < until else ContentStatus.CLEAR

    def suspect(self, content: ids.ContentDigest, now: float) -> bool:
        """Notes that an endpoint crashed while it ran a content.

        Returns:
            Whether the content was clear before.
        """
        if self.status(content, now) is not ContentStatus.CLEAR:
            return False
        self._put(content, ContentStatus.SUSPECT, now + _SUSPECT_SECONDS)
        return True

    def confirm(self, content: ids.ContentDigest, now: float) -> None:
        """Notes that a content crashed an endpoint when it ran alone."""
        self._put(content, ContentStatus.CONFIRMED, now + _GUILTY_SECONDS)

    def clear(self, content: ids.ContentDigest, now: float) -> bool:
        """Notes that a content completed.

        A guilty content stays guilty: the proof outweighs a report that may
        be older.

        Returns:
            Whether the content was suspect before.
        """
        if self.status(content, now) is not ContentStatus.SUSPECT:
            return False
        del self._contents[content]
        return True

    def retry_after(self, content: ids.ContentDigest, now: float) -> float:
        """Returns the seconds until a content's standing expires."""
        return max(0.0, self._contents.get(content, (None, now))[1] - now)

    def _put(
        self, content: ids.ContentDigest, standing: ContentStatus, until: float
    ) -> None:
        self._contents.pop(content, None)
        self._contents[content] = (standing, until)
        if len(self._contents) > _MAX_CONTENTS:
            del self._contents[next(iter(self._contents))]
