"""Quarantine of contents that crash endpoints, or may do so.

A content is identified by the digest of a request's route and body. One that an
endpoint ran when it crashed is suspect. One that crashes an endpoint on which
it runs alone is confirmed, and its requests are refused. Services that do not
isolate suspects rely on the number of endpoints that ended under a content.
"""

import enum
from collections.abc import Iterable

from baobabmux_core import end_counts, ids, part_ends

# Long enough to outlast a caller's retries, short enough that a repaired
# engine serves the content again within the hour.
_CONFIRMED_SECONDS = 900.0
_SUSPECT_SECONDS = 900.0
# Bounds the memory; the oldest content is evicted first.
_MAX_CONTENTS = 10_000


class ContentStatus(enum.Enum):
    """Quarantine status of a content."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    CONFIRMED = "guilty"


class Quarantine:
    """Suspect and confirmed contents known to this node.

    Attributes:
        ends: Endpoints that ended under each content.
        parts: Endpoints that ended under each part of prompts.
    """

    def __init__(self):
        self.ends: end_counts.EndCounts[ids.ContentDigest] = (
            end_counts.EndCounts()
        )
        self.parts = part_ends.PartEnds()
        self._contents: dict[
            ids.ContentDigest, tuple[ContentStatus, float]
        ] = {}

    def __len__(self) -> int:
        return len(self._contents)

    def status(self, content: ids.ContentDigest, now: float) -> ContentStatus:
        """Returns the status of a content."""
        if self.ends.count(content, now) >= end_counts.MAX_ENDS:
            return ContentStatus.CONFIRMED
        status, until = self._contents.get(content, (ContentStatus.CLEAR, now))
        return status if now < until else ContentStatus.CLEAR

    def refused_for(
        self,
        content: ids.ContentDigest,
        parts: Iterable[ids.PartDigest],
        now: float,
    ) -> float | None:
        """Returns for how many seconds a request is refused, or None."""
        if self.status(content, now) is ContentStatus.CONFIRMED:
            return self.retry_after(content, now)
        return self.parts.refused_for(parts, now) or None

    def suspect(self, content: ids.ContentDigest, now: float) -> bool:
        """Marks a content suspect: an endpoint crashed while it ran it.

        Returns:
            Whether the content was clear before.
        """
        if self.status(content, now) is not ContentStatus.CLEAR:
            return False
        self._put(content, ContentStatus.SUSPECT, now + _SUSPECT_SECONDS)
        return True

    def confirm(self, content: ids.ContentDigest, now: float) -> None:
        """Marks a content confirmed: it ran alone and the endpoint crashed."""
        self._put(content, ContentStatus.CONFIRMED, now + _CONFIRMED_SECONDS)

    def clear(self, content: ids.ContentDigest, now: float) -> bool:
        """Removes the suspicion of a content: a request with it completed.

        A confirmed content stays confirmed, because the report of the
        completion may be older than the crash that confirmed it.

        Returns:
            Whether the content was suspect before.
        """
        status, until = self._contents.get(content, (None, now))
        if status is not ContentStatus.SUSPECT or until <= now:
            return False
        del self._contents[content]
        return True

    def retry_after(self, content: ids.ContentDigest, now: float) -> float:
        """Returns the seconds until a content's status expires."""
        until = self._contents.get(content, (None, now))[1]
        return max(
            0.0, until - now, self.ends.refused_until(content, now) - now
        )

    def _put(
        self, content: ids.ContentDigest, status: ContentStatus, until: float
    ) -> None:
        self._contents.pop(content, None)
        self._contents[content] = (status, until)
        if len(self._contents) > _MAX_CONTENTS:
            del self._contents[next(iter(self._contents))]
