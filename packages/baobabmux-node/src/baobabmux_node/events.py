"""Records numbered events: in the time line and in the log."""

from typing import Any

import eliot
import msgspec

from baobabmux_core import catalogue, hlc, ids, timeline
from baobabmux_node import wall_clock

# Routine lines that are written in a second; a request causes about seven.
# Beyond that they are counted instead, so that a burst of requests does not
# cost more in lines than in answers.
_ROUTINE_LINES = 600

# What happens to every request that goes well. Refusals, failures and changes
# of what the node believes are always written.
_ROUTINE = frozenset(
    {
        catalogue.EventKind.REQUEST_RECEIVED,
        catalogue.EventKind.REQUEST_GRANTED,
        catalogue.EventKind.REQUEST_DISPATCHED,
        catalogue.EventKind.FIRST_TOKEN,
        catalogue.EventKind.REQUEST_ASKED,
        catalogue.EventKind.GRANT_SENT,
        catalogue.EventKind.RELEASE_RECEIVED,
    }
)


class EventRecorder:
    """Records events of this node.

    Attributes:
        node: Name of this node.
        clock: Hybrid logical clock of this node.
        timeline: Recent events.
        unwritten: Routine events that were counted instead of written.
    """

    def __init__(self, node: ids.NodeId, max_events: int):
        self.node = node
        self.unwritten = 0
        self._second = 0
        self._routine_lines = 0
        self.clock = hlc.HybridClock()
        self.timeline = timeline.Timeline(max_events)

    def stamp(self) -> int:
        """Returns a new stamp of the hybrid logical clock."""
        return self.clock.now(wall_clock.unix_ms())

    def update_clock(self, stamp: int) -> None:
        """Moves the clock past a peer's stamp."""
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
            request: Request that it is about, or empty.
            endpoint: Endpoint that it is about, or empty.
            **fields: Fields that the catalogue names for the kind.
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
        if kind in _ROUTINE and not self._has_room(event.hlc):
            self.unwritten += 1
            return
        eliot.log_message(
            message_type=f"{kind.number}:{kind.title}",
            **msgspec.structs.asdict(event),
        )

    def _has_room(self, stamp: int) -> bool:
        """Takes one of the routine lines of the present second."""
        second = hlc.wall_ms(stamp) // 1000
        if second != self._second:
            self._second = second
            self._routine_lines = 0
        self._routine_lines += 1
        return self._routine_lines <= _ROUTINE_LINES
