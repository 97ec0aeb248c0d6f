"""Reads sockets without holding the loop.

`recv` of curio returns at once, and gives other tasks no turn, as long as
there is data. A task that reads on until its input runs dry holds the loop for
as long as its peer sends. All sockets of the node are read here.
"""

import socket

import curio
import curio.io
from curio.traps import _read_wait

STEPS_PER_TURN = 32
"""Steps that a task may take before the others get a turn."""

# Reading so many bytes takes as long as parsing a part.
_BYTES_PER_STEP = 16_384


class SocketReader:
    """Reads a socket and counts the work that its input makes.

    A step is a read or a parsed part, such as a chunk or a frame: parsing a
    chunk takes as long for one byte as for a thousand. The steps begin anew
    when the reader has to wait for its peer, since the others run meanwhile.

    Attributes:
        steps: Steps since the other tasks last had a turn.
        turns: How often the reader gave them one.
    """

    def __init__(self, source: curio.io.Socket):
        self.steps = 0
        self.turns = 0
        self._source = source

    async def receive(self, max_bytes: int) -> bytes:
        """Returns the bytes that have arrived, b"" at the end of the input.

        Raises:
            OSError: The connection was reset.
        """
        await self.step()
        while True:
            try:
                # Nothing is awaited after the read, so that a task which is
                # cancelled loses no bytes.
                data = self._source._socket.recv(max_bytes)
            except BlockingIOError:
                self.steps = 0
                await _read_wait(self._source._fileno)
            else:
                self.steps += len(data) // _BYTES_PER_STEP
                return data

    async def step(self) -> None:
        """Counts a step; gives other tasks a turn once it is their time."""
        if self.steps >= STEPS_PER_TURN:
            self.steps = 0
            self.turns += 1
            await curio.sleep(0)
        self.steps += 1

    def has_data(self) -> bool | None:
        """Returns whether bytes have arrived; None at the end of the input.

        Raises:
            OSError: The connection was reset.
        """
        try:
            return bool(self._source._socket.recv(1, socket.MSG_PEEK)) or None
        except BlockingIOError:
            return False
