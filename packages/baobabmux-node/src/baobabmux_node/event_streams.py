"""Splits the bytes of a stream into server-sent events."""

import re

from baobabmux_node import client

MAX_EVENT_BYTES = 1_000_000
# An empty line ends an event; lines end with LF or CR LF.
_EVENT = re.compile(rb".*?\n\r?\n", re.DOTALL)


class EventSplitter:
    """Separates complete events from the bytes that follow them.

    Attributes:
        rest: Bytes after the last complete event.
        has_events: Whether a complete event has arrived.
    """

    def __init__(self):
        self.rest = b""
        self.has_events = False

    def add(self, part: bytes) -> bytes:
        """Adds a part of the stream.

        Returns:
            The events that are complete now, or b"" if there is none.

        Raises:
            ProtocolError: An event is longer than `MAX_EVENT_BYTES`.
        """
        self.rest += part
        end = _end_of_events(self.rest)
        if end == 0:
            if len(self.rest) > MAX_EVENT_BYTES:
                raise client.ProtocolError("an event is too long")
            return b""
        events, self.rest = self.rest[:end], self.rest[end:]
        self.has_events = True
        return events

    def check_end(self, framing: client.Framing | None) -> None:
        """Checks that the stream is complete once its answer has ended.

        Blank lines and comments may follow the last event of an answer whose
        end is marked. An answer that ends with its connection must end with a
        complete event.

        Raises:
            BrokenError: The stream ended inside an event, or without any.
        """
        if any(
            line and not line.startswith(b":")
            for line in self.rest.splitlines()
        ):
            raise client.BrokenError("the stream ended inside an event")
        if framing is client.Framing.CONNECTION and (
            self.rest or not self.has_events
        ):
            raise client.BrokenError("the stream ended before a whole event")


def _end_of_events(data: bytes) -> int:
    """Returns the position after the last complete event, or 0."""
    ends = (
        data.rfind(line_end) + len(line_end)
        for line_end in (b"\n\n", b"\n\r\n")
        if line_end in data
    )
    return max(ends, default=0)


def split(events: bytes) -> list[bytes]:
    """Returns complete events one by one, with their line ends."""
    return _EVENT.findall(events)


def is_event_stream(head: client.Head) -> bool:
    """Returns whether the body of an answer consists of events."""
    return "text/event-stream" in head.headers.get("content-type", "")
