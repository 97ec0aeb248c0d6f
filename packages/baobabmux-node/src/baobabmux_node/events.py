"""Records the events of this node in the timeline and in the log."""

from collections.abc import Callable
from typing import Any

import eliot
import msgspec

from baobabmux_core import catalogue, hlc, ids, timeline
from baobabmux_node import wall_clock

# A request causes about seven routine lines. Above this limit they are counted
# instead of written; otherwise log lines would cost more than answers during a
# burst of requests.
_MAX_ROUTINE_LINES_PER_SECOND = 600

# Events that every successful request, or every caller that leaves, causes.
# Refusals, failures and changes of the node's state are always written.
_ROUTINE_KINDS = frozenset(
    {
        catalogue.EventKind.REQUEST_RECEIVED,
        catalogue.EventKind.REQUEST_GRANTED,
        catalogue.EventKind.REQUEST_DISPATCHED,
        catalogue.EventKind.FIRST_TOKEN,
        catalogue.EventKind.REQUEST_ASKED,
        catalogue.EventKind.GRANT_SENT,
        catalogue.EventKind.RELEASE_RECEIVED,
        catalogue.EventKind.ANSWER_UNREAD,
    }
)


class EventRecorder:
    """Records events of this node.

    Attributes:
        node: Name of this node.
        clock: Hybrid logical clock of this node.
        timeline: Recent events.
        unwritten: Number of routine events that were not written to the log.
        write_line: Receives the lines of the log, or None if eliot does.
    """

    def __init__(self, node: ids.NodeId, max_events: int):
        self.node = node
        self.unwritten = 0
        self.write_line: Callable[[bytes], None] | None = None
        self._current_second = 0
        self._routine_lines = 0
        self.clock = hlc.HybridClock()
        self.timeline = timeline.Timeline(max_events)

    def stamp(self) -> int:
        """Returns a new stamp of the hybrid logical clock."""
        return self.clock.now(wall_clock.unix_ms())

    def update_clock(self, stamp: int) -> None:
        """Advances the clock beyond a peer's stamp."""
        self.clock.update(stamp, wall_clock.unix_ms())

    def record(
        self,
        kind: catalogue.EventKind,
        request: str = "",
        endpoint: str = "",
        **fields: Any,
    ) -> None:
        """Records an event.

        Args:
            kind: Kind from the catalogue.
            request: Request that the event concerns, or empty.
            endpoint: Endpoint that the event concerns, or empty.
            **fields: Fields that the catalogue lists for the kind.
        """
        event = timeline.Event(
            hlc=self.stamp(),
            kind=kind.number,
            node=self.node,
            request=request,
            endpoint=endpoint,
            fields=fields,
        )
        self.timeline.add(event)
        if kind in _ROUTINE_KINDS and not self._count_routine_line(event.hlc):
            self.unwritten += 1
            return
        if self.write_line is not None:
            self.write_line(_encode(kind, event))
            return
        eliot.log_message(
            message_type=f"{kind.number}:{kind.title}",
            **msgspec.structs.asdict(event),
        )

    def _count_routine_line(self, stamp: int) -> bool:
        """Counts a routine line and returns whether it may be written."""
        second = hlc.wall_ms(stamp) // 1000
        if second != self._current_second:
            self._current_second = second
            self._routine_lines = 0
        self._routine_lines += 1
        return self._routine_lines <= _MAX_ROUTINE_LINES_PER_SECOND


class _Line(msgspec.Struct):
    """A line as eliot would write it, without its ids of tasks."""

    message_type: str
    timestamp: float
    hlc: int
    kind: int
    node: str
    request: str
    endpoint: str
    fields: dict[str, Any]


_ENCODER = msgspec.json.Encoder(enc_hook=str)


def _encode(kind: catalogue.EventKind, event: timeline.Event) -> bytes:
    line = _Line(
        f"{kind.number}:{kind.title}",
        hlc.wall_ms(event.hlc) / 1000,
        event.hlc,
        event.kind,
        event.node,
        event.request,
        event.endpoint,
        event.fields,
    )
    return _ENCODER.encode(line) + b"\n"
