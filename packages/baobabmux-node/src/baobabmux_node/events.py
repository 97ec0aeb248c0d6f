"""Records numbered events: in the time line and in the log."""

import sys
from typing import Any

import eliot
import msgspec

from baobabmux_core import catalogue, hlc, ids, timeline
from baobabmux_node import wall_clock


def start_logging() -> None:
    """Sends log messages to the standard error stream as JSON lines."""
    eliot.to_file(sys.stderr)


class EventRecorder:
    """Records events of this node.

    Attributes:
        node: Name of this node.
        clock: Hybrid logical clock of this node.
        timeline: Recent events.
    """

    def __init__(self, node: ids.NodeId, max_events: int):
        self.node = node
        self.clock = hlc.HybridClock()
        self.timeline = timeline.Timeline(max_events)

    def stamp(self) -> int:
        """Returns a new stamp of the hybrid logical clock."""
        return self.clock.now(wall_clock.unix_ms())

    def heard(self, stamp: int) -> None:
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
        eliot.log_message(
            message_type=f"{kind.number}:{kind.title}",
            **msgspec.structs.asdict(event),
        )
