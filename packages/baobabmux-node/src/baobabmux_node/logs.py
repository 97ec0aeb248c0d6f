"""Writes log lines to standard output without blocking.

Lines wait in a bounded buffer and are dropped when it is full.
"""

import collections
import os
import select
import sys
from typing import Any

import eliot
import msgspec

# A write of at most this size to a pipe that polls as writable does not block
# (POSIX).
_MAX_WRITE_BYTES = 4096
# Limit of the buffer while the reader of standard output is slow or stopped.
_MAX_WAITING_BYTES = 1_000_000


class LineWriter:
    """Bounded buffer in front of a file descriptor.

    No method blocks. While the reader is slow, lines are buffered up to a
    limit; further lines are dropped and counted.

    Attributes:
        dropped: Number of lines dropped.
        waiting_bytes: Number of bytes in the buffer.
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
        """Adds a line to the buffer, or drops it if the buffer is full."""
        total_bytes = self.waiting_bytes + len(line)
        if self._broken or total_bytes > self._max_waiting_bytes:
            self.dropped += 1
            return
        self._waiting.append(line)
        self.waiting_bytes = total_bytes

    def flush(self) -> None:
        """Writes as much as the descriptor accepts without blocking."""
        while self._waiting and self._is_writable():
            chunk = bytearray()
            while self._waiting and len(chunk) < _MAX_WRITE_BYTES:
                chunk += self._waiting.popleft()
            remainder = bytes(chunk[_MAX_WRITE_BYTES:])
            try:
                written = os.write(self._descriptor, chunk[:_MAX_WRITE_BYTES])
            except OSError:
                # The reader has closed the pipe. All further lines are dropped
                # and only counted.
                self._broken = True
                self._waiting.clear()
                self.waiting_bytes = 0
                self.dropped += 1
                return
            remainder = bytes(chunk[written:_MAX_WRITE_BYTES]) + remainder
            if remainder:
                self._waiting.appendleft(remainder)
            self.waiting_bytes -= written

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))


def start() -> LineWriter:
    """Sends log messages to standard output as lines of JSON.

    Returns:
        The writer. The caller must call `flush` regularly and at shutdown.
    """
    writer = LineWriter(sys.stdout.fileno())

    def write(message: dict[str, Any]) -> None:
        writer.enqueue(msgspec.json.encode(message, enc_hook=str) + b"\n")

    eliot.add_destinations(write)
    return writer
