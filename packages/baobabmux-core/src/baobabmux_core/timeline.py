"""Timeline: bounded buffer of recent events, and the merge of several nodes.

Each node keeps one `Timeline` in memory.
"""

import collections
import heapq
from collections.abc import Iterable
from typing import Any

import msgspec

from baobabmux_core import hlc as clock
from baobabmux_core import ids

# Estimated memory of an event without its names and fields.
_EVENT_BYTES = 300


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One event.

    Attributes:
        hlc: Timestamp of the hybrid logical clock.
        kind: Number of the event's kind in the catalogue.
        node: Node that recorded the event.
        request: Request that the event concerns, or empty.
        endpoint: Endpoint that the event concerns, or empty.
        fields: Values of the fields in the catalogue's sentence.
    """

    hlc: int
    kind: int
    node: ids.NodeId
    request: str = ""
    endpoint: str = ""
    fields: dict[str, Any] = {}

    def size_bytes(self) -> int:
        """Returns the estimated memory of the event in bytes."""
        values = (self.request, self.endpoint, *self.fields.values())
        return _EVENT_BYTES + sum(len(str(value)) for value in values)


class Timeline:
    """Bounded first-in first-out buffer of events.

    Attributes:
        max_events: Maximum number of events.
        max_bytes: Maximum estimated memory in bytes.
        dropped: Number of events dropped to stay within these limits.
    """

    def __init__(self, max_events: int, max_bytes: int = 8_000_000):
        self.max_events = max_events
        self.max_bytes = max_bytes
        self.dropped = 0
        self._events: collections.deque[Event] = collections.deque()
        self._bytes = 0

    def __len__(self) -> int:
        """Returns the number of events."""
        return len(self._events)

    def add(self, event: Event) -> None:
        """Adds an event and drops the oldest ones while a limit is exceeded."""
        self._events.append(event)
        self._bytes += event.size_bytes()
        while (
            len(self._events) > self.max_events or self._bytes > self.max_bytes
        ):
            self._bytes -= self._events.popleft().size_bytes()
            self.dropped += 1

    def select(
        self,
        *,
        request: str = "",
        endpoint: str = "",
        node: str = "",
        since_ms: int = 0,
        kinds: frozenset[int] = frozenset(),
    ) -> list[Event]:
        """Returns matching events, oldest first; empty filters match all."""
        return [
            event
            for event in self._events
            if matches(event, request, endpoint, node, since_ms, kinds)
        ]


def matches(
    event: Event,
    request: str = "",
    endpoint: str = "",
    node: str = "",
    since_ms: int = 0,
    kinds: frozenset[int] = frozenset(),
) -> bool:
    """Returns whether an event matches all filters; empty filters match all.

    `request` matches the internal identifier of a request or the identifier
    that its caller gave.
    """
    if request and request not in (
        event.request,
        event.fields.get("public_id"),
    ):
        return False
    if endpoint and event.endpoint != endpoint:
        return False
    if node and event.node != node:
        return False
    if kinds and event.kind not in kinds:
        return False
    return clock.wall_ms(event.hlc) >= since_ms


def merge(timelines: Iterable[Iterable[Event]]) -> list[Event]:
    """Merges events of several nodes in the order of their timestamps.

    Args:
        timelines: Events of each node, ordered by timestamp.

    Returns:
        All events without duplicates; equal timestamps are ordered by node.
    """
    merged: list[Event] = []
    for event in heapq.merge(
        *timelines, key=lambda event: (event.hlc, event.node)
    ):
        if not merged or merged[-1] != event:
            merged.append(event)
    return merged
