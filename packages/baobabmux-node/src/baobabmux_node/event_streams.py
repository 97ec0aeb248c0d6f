"""Splits the bytes of a stream into server-sent events."""

import re

from baobabmux_node import client

MAX_EVENT_BYTES = 1_000_000
# An empty line ends an event; lines end with LF or CR LF.
_LINE_ENDS = (b"\n\n", b"\n\r\n")
_MAX_LINE_ENDS_BYTES = 3
_EVENT = re.compile(rb".*?\n\r?\n", re.DOTALL)


class EventSplitter:
    """Separates complete events from the bytes that follow them.

    Attributes:
        has_events: Whether a complete event has arrived.
    """

    def __init__(self):
        self.has_events = False
        self._pending = bytearray()

    @property
    def rest(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._pending)

    def add(self, part: bytes) -> bytes:
        """Adds a part of the stream.

        Returns:
            The events that are complete now, or b"" if there is none.

        Raises:
            ProtocolError: An event is longer than `MAX_EVENT_BYTES`.
        """
        # An empty line may begin with the last bytes of the part before.
        searched = max(0, len(self._pending) - _MAX_LINE_ENDS_BYTES + 1)
        self._pending += part
        end = _end_of_events(self._pending, searched)
        if end == 0:
            if len(self._pending) > MAX_EVENT_BYTES:
                raise client.ProtocolError("an event is too long")
            return b""
        events = bytes(self._pending[:end])
        del self._pending[:end]
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


def _end_of_events(data: bytearray, start: int) -> int:
    """Returns the position after the last event that ends after `start`.

    Returns 0 if none does.
    """
    ends = (
        data.rfind(line_ends, start) + len(line_ends)
        for line_ends in _LINE_ENDS
        if data.find(line_ends, start) >= 0
    )
    return max(ends, default=0)


def split(events: bytes) -> list[bytes]:
    """Returns complete events one by one, with their line ends."""
    return _EVENT.findall(events)


def is_event_stream(head: client.Head) -> bool:
    """Returns whether the body of an answer consists of events."""
    return "text/event-stream" in head.headers.get("content-type", "")
