"""Splits the bytes of a stream into server-sent events."""

from baobabmux_node import client

MAX_EVENT_BYTES = 1_000_000


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
        end = self.rest.rfind(b"\n\n") + 2
        if end < 2:
            if len(self.rest) > MAX_EVENT_BYTES:
                raise client.ProtocolError("an event is too long")
            return b""
        events, self.rest = self.rest[:end], self.rest[end:]
        self.has_events = True
        return events
