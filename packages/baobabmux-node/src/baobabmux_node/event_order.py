"""Passes on each event of a stream once, in order.

An answer may go on at another endpoint after the event that was passed on
last, so that this endpoint may send events again.
"""

import itertools
import re
from typing import TYPE_CHECKING

from baobabmux_core import event_ids
from baobabmux_node import client, event_streams

if TYPE_CHECKING:
    from baobabmux_node import adapters

_EVENT_ID = re.compile(rb"^id: ?(\d+)\r?$", re.MULTILINE)
_DATA = re.compile(rb"^data:", re.MULTILINE)


def new_events(events: bytes, sink: "adapters.Sink") -> tuple[bytes, int]:
    """Drops events that were sent to the sink before.

    Events without a number are passed on, but a stream with such events cannot
    go on at another endpoint, which the sink is told.

    Args:
        events: Complete events.
        sink: Receiver of the events. Its `last_event` is set to the last one.

    Returns:
        The new events and their count.

    Raises:
        ProtocolError: The event numbers do not increase, or are too long.
    """
    try:
        names = [
            event_ids.parse(text.decode("ascii"))
            for text in _EVENT_ID.findall(events)
        ]
    except ValueError as error:
        raise client.ProtocolError(str(error)) from error
    if len(names) != _count(events) and _has_unnamed(events):
        sink.position_lost()
    if not names:
        return events, len(event_streams.split(events))
    numbers = [event_ids.position(name) for name in names]
    last = (
        -1 if sink.last_event is None else event_ids.position(sink.last_event)
    )
    if numbers[0] <= last:
        events = b"".join(
            event
            for event in event_streams.split(events)
            if (name := _EVENT_ID.search(event)) and int(name[1]) > last
        )
        numbers = [number for number in numbers if number > last]
    if any(a >= b for a, b in itertools.pairwise(numbers)):
        raise client.ProtocolError("events are out of order")
    if numbers:
        sink.last_event = names[-1]
    return events, len(numbers)


def _count(events: bytes) -> int:
    return events.count(b"\n\n") + events.count(b"\n\r\n")


def _has_unnamed(events: bytes) -> bool:
    """Returns whether an event has data but no number."""
    return any(
        _DATA.search(event) and not _EVENT_ID.search(event)
        for event in event_streams.split(events)
    )
