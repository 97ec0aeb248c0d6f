"""Ends of endpoints under each content, as all nodes report them.

A content that ends each endpoint that runs it must be refused before it has
ended all of them. An endpoint may also end for a reason of its own, together
with others, under contents that did nothing. Ends within a second therefore
count as one, and a content that completes has no ends any more.

Reports may arrive twice, late and in any order.
"""

import collections
import math
from collections.abc import Container, Iterator
from typing import Generic, TypeVar

import msgspec

from baobabmux_core import ids

MAX_ENDS = 3
"""Number of counted ends from which a content is refused."""

COINCIDENCE_SECONDS = 1.0
"""Ends of one content within this time count as one."""

Cause = TypeVar("Cause", ids.ContentDigest, ids.PartDigest)
"""What may have ended an endpoint: a content or a part of prompts."""

# Long enough to outlast a caller's retries, short enough that a repaired
# endpoint serves the content again within the hour.
KEPT_SECONDS = 900.0

# Bound the memory; the oldest content is evicted first.
_MAX_CONTENTS = 10_000
_MAX_ENDS_KEPT = 16


class End(msgspec.Struct, frozen=True):
    """End of an endpoint while it ran a content.

    Attributes:
        at: Time in seconds.
        endpoint: Endpoint that ended.
        certain: Whether the endpoint is known to have ended. Otherwise it has
            left the endpoint directory without a notice, as one that is cut
            off does too.
        content: Content of the run, for an end under a part of its prompt.
    """

    at: float
    endpoint: ids.EndpointId
    certain: bool = True
    content: ids.ContentDigest | None = None


class EndCounts(Generic[Cause]):
    """Recent ends by content, or by part of prompts."""

    def __init__(self):
        self._ends: dict[Cause, list[End]] = {}
        self._broke_at: dict[Cause, float] = {}
        self._cleared_at: collections.OrderedDict[Cause, float] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._ends)

    def __contains__(self, content: Cause) -> bool:
        return content in self._ends

    def count(self, content: Cause, now: float) -> int:
        """Returns the number of ends; those within a second count as one."""
        ends = self._ends.get(content, ())
        if len(ends) <= 1:
            return sum(end.at > now - KEPT_SECONDS for end in ends)
        return len(self._counted(content, now))

    def ends(self, content: Cause, now: float) -> tuple[End, ...]:
        """Returns the recent ends under a content, oldest first."""
        oldest = now - KEPT_SECONDS
        return tuple(
            end for end in self._ends.get(content, ()) if end.at > oldest
        )

    def ended_before(self, content: Cause, at: float) -> bool:
        """Returns whether an endpoint had ended under a content by a time."""
        ends = self._ends.get(content)
        return bool(ends) and at - KEPT_SECONDS < ends[0].at < at

    def is_fresh(self, content: Cause, now: float) -> bool:
        """Returns whether another end would count as one with the last."""
        ends = self._ends.get(content)
        if not ends:
            return False
        broke_at = max(ends[-1].at, self._broke_at.get(content, -math.inf))
        return now - broke_at < COINCIDENCE_SECONDS

    def refused_until(self, content: Cause, now: float) -> float:
        """Returns when a content's oldest relevant end expires."""
        counted = self._counted(content, now)[-MAX_ENDS:]
        return counted[0] + KEPT_SECONDS if counted else now

    def counted(self, at_least: int, now: float) -> dict[Cause, int]:
        """Returns the counts of contents with at least that many ends."""
        return {
            content: count
            for content, ends in self._ends.items()
            if len(ends) >= at_least
            and (count := self.count(content, now)) >= at_least
        }

    def contents(self, since: float) -> Iterator[Cause]:
        """Yields the contents under which an endpoint ended since a time."""
        for content, ends in self._ends.items():
            if ends[-1].at >= since:
                yield content

    def add(self, content: Cause, end: End, now: float) -> bool:
        """Adds an end; returns whether it was news."""
        if self.is_cleared(content, end.at) or end.at <= now - KEPT_SECONDS:
            return False
        ends = self._ends.get(content, [])
        for index, known in enumerate(ends):
            if (
                known.endpoint == end.endpoint
                and abs(known.at - end.at) < COINCIDENCE_SECONDS
            ):
                if known.certain or not end.certain:
                    return False
                ends[index] = msgspec.structs.replace(known, certain=True)
                return True
        # One content that ends endpoints says nothing about its parts.
        same_content = end.content is not None and any(
            known.content == end.content for known in ends
        )
        if same_content or len(ends) >= _MAX_ENDS_KEPT:
            return False
        # The contents are kept in the order of their newest report.
        self._ends.pop(content, None)
        if len(self._ends) >= _MAX_CONTENTS:
            self._drop(next(iter(self._ends)))
        self._ends[content] = sorted([*ends, end], key=lambda one: one.at)
        return True

    def record_break(self, content: Cause, now: float) -> None:
        """Records that a run broke off; a report of its end may follow."""
        if content in self._ends:
            self._broke_at[content] = now

    def is_cleared(self, content: Cause, at: float) -> bool:
        """Returns whether a content is known to have completed since a time."""
        return at <= self._cleared_at.get(content, -math.inf)

    def clear(self, content: Cause, now: float) -> None:
        """Drops the ends under a content, because it completed."""
        self._drop(content)
        # Nodes and records of the store may tell of earlier ends as long as
        # these count.
        self._cleared_at.pop(content, None)
        self._cleared_at[content] = now
        if len(self._cleared_at) > _MAX_CONTENTS:
            self._cleared_at.popitem(last=False)

    def endpoints_listed(self, listed: Container[ids.EndpointId]) -> None:
        """Drops the uncertain ends of endpoints that are listed again."""
        for content, ends in list(self._ends.items()):
            kept = [e for e in ends if e.certain or e.endpoint not in listed]
            if not kept:
                self._drop(content)
            elif len(kept) < len(ends):
                self._ends[content] = kept

    def expire(self, now: float) -> None:
        """Drops contents without a recent end."""
        while self._cleared_at:
            oldest = next(iter(self._cleared_at.values()))
            if now - oldest <= KEPT_SECONDS:
                break
            self._cleared_at.popitem(last=False)
        for content, ends in list(self._ends.items()):
            if ends[-1].at <= now - KEPT_SECONDS:
                self._drop(content)

    def _counted(self, content: Cause, now: float) -> list[float]:
        """Returns the times of the ends that count, oldest first."""
        counted: list[float] = []
        for end in self.ends(content, now):
            if not counted or end.at - counted[-1] >= COINCIDENCE_SECONDS:
                counted.append(end.at)
        return counted

    def _drop(self, content: Cause) -> bool:
        self._broke_at.pop(content, None)
        return self._ends.pop(content, None) is not None
