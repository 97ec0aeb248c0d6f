"""Writes log lines to standard output: bounded and without blocking."""

import collections
import os
import select
import sys
from typing import Any

import eliot
import msgspec

# A pipe that polls as writable takes so much without blocking (POSIX).
_WRITE_BYTES = 4096
# Lines that wait for a reader that has stopped reading.
_MAX_WAITING_BYTES = 1_000_000


class LineWriter:
    """Bounded buffer in front of a file descriptor.

    Nothing here waits: when the reader is slow, lines wait in memory up to a
    bound, and beyond it the newest are dropped and counted.

    Attributes:
        dropped: Lines dropped so far.
        waiting_bytes: Bytes that wait to be written.
    """

    def __init__(
        self, descriptor: int, max_waiting_bytes: int = _MAX_WAITING_BYTES
    ):
        self.dropped = 0
        self.waiting_bytes = 0
        self._descriptor = descriptor
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting: collections.deque[bytes] = collections.deque()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._broken = False

    def enqueue(self, line: bytes) -> None:
        """Queues a line, or drops it if too much waits."""
        waits = self.waiting_bytes + len(line)
        if self._broken or waits > self._max_waiting_bytes:
            self.dropped += 1
            return
        self._waiting.append(line)
        self.waiting_bytes = waits

    def flush(self) -> None:
        """Writes what the descriptor takes without blocking."""
        while self._waiting and self._is_writable():
            chunk = bytearray()
            while self._waiting and len(chunk) < _WRITE_BYTES:
                chunk += self._waiting.popleft()
            rest = bytes(chunk[_WRITE_BYTES:])
            try:
                written = os.write(self._descriptor, chunk[:_WRITE_BYTES])
            except OSError:
                # Nobody reads any more; the counter is what is left to tell.
                self._broken = True
                self._waiting.clear()
                self.waiting_bytes = 0
                self.dropped += 1
                return
            rest = bytes(chunk[written:_WRITE_BYTES]) + rest
            if rest:
                self._waiting.appendleft(rest)
            self.waiting_bytes -= written

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))


def start() -> LineWriter:
    """Sends log messages to standard output as lines of JSON.

    Returns:
        The writer; its owner calls `flush` regularly and at the end.
    """
    writer = LineWriter(sys.stdout.fileno())

    def write(message: dict[str, Any]) -> None:
        writer.enqueue(msgspec.json.encode(message, enc_hook=str) + b"\n")

    eliot.add_destinations(write)
    return writer
