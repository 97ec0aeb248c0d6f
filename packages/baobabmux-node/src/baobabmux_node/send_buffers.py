"""Answers that callers have not read yet, within a bound for the whole node.

An endpoint must not wait for a slow reader: its slot would be lost to other
requests. What a caller's socket does not take is kept here and sent as the
caller reads. Beyond the bounds the endpoint waits for a moment, and then the
caller that holds it up is cut off.
"""

import curio

# Bytes that are sent under one timeout.
_PART_BYTES = 16_384
# Part of a node's bound that one connection may use.
_CONNECTION_SHARE = 1 / 32
_WAIT_SECONDS = 0.05
# Part that an empty buffer keeps whatever the others hold.
_ASSURED_BYTES = 16_384


class SlowReaderError(Exception):
    """A caller has held up its answer for too long."""


class SendBudget:
    """Bytes that all connections of a listener may keep for their callers.

    Attributes:
        max_bytes: Bound on all bytes together.
        used: Bytes that are kept now.
        waiting: Bytes that wait until they may be kept.
        cut_off: Number of callers that were cut off because they held up
            their answers.
    """

    def __init__(self, max_bytes: int):
        self.max_bytes = max_bytes
        self.used = 0
        self.waiting = 0
        self.cut_off = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether further answers would have to wait for slow readers."""
        return self.used + self.waiting >= self.max_bytes

    @property
    def connection_bytes(self) -> int:
        """Bound on the bytes of one connection."""
        return int(self.max_bytes * _CONNECTION_SHARE)


class SendBuffer:
    """Sends the answers of one connection, and keeps what is not read.

    Args:
        client: Socket of the connection.
        budget: Bound that all connections share.

    Attributes:
        held_seconds: Time for which the caller has held up the current answer.
    """

    def __init__(self, client: curio.io.Socket, budget: SendBudget):
        self.held_seconds = 0.0
        self._client = client
        self._budget = budget
        self._unsent = bytearray()
        self._flusher: curio.Task | None = None
        self._error: OSError | None = None

    @property
    def is_empty(self) -> bool:
        """Whether the caller's socket has taken everything."""
        return not self._unsent

    async def send(
        self, data: bytes, timeout_seconds: float, max_held_seconds: float
    ) -> None:
        """Sends data, or keeps it if the caller does not read it now.

        Args:
            data: Bytes to send.
            timeout_seconds: Longest time in which the caller reads nothing.
            max_held_seconds: Longest time for which one answer is held up.

        Raises:
            OSError: The caller closed the connection, or has read nothing for
                too long.
            SlowReaderError: The caller has held up its answer for too long.
        """
        self._raise_error()
        if not self._unsent:
            data = memoryview(data)[self._send_now(data) :]
        if not data:
            return
        if not self._admits(len(data)):
            await self._wait_for_room(len(data), max_held_seconds)
        self._unsent += data
        self._budget.used += len(data)
        if self._flusher is None:
            self._flusher = await curio.spawn(
                self._flush, timeout_seconds, daemon=True
            )

    async def _wait_for_room(self, size: int, max_held_seconds: float) -> None:
        self._budget.waiting += size
        try:
            while not self._admits(size):
                if self.held_seconds >= max_held_seconds:
                    self._budget.cut_off += 1
                    raise SlowReaderError
                await curio.sleep(_WAIT_SECONDS)
                self.held_seconds += _WAIT_SECONDS
                self._raise_error()
        finally:
            self._budget.waiting -= size

    async def drain(self) -> None:
        """Waits until everything is sent.

        Raises:
            OSError: The caller closed the connection, or has read nothing for
                too long.
        """
        while self._unsent:
            await curio.sleep(_WAIT_SECONDS)
        self._raise_error()

    async def close(self) -> None:
        """Drops what is not sent; the connection is about to be closed."""
        self._discard()
        if self._flusher is not None:
            await self._flusher.cancel()

    def _discard(self) -> None:
        self._budget.used -= len(self._unsent)
        self._unsent.clear()

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error

    def _admits(self, size: int) -> bool:
        """Returns whether more may be kept.

        An empty buffer takes any part while there is room for a byte, because
        a part may be a whole answer.
        """
        if not self._unsent:
            return (
                size <= _ASSURED_BYTES
                or self._budget.used < self._budget.max_bytes
            )
        return (
            len(self._unsent) + size <= self._budget.connection_bytes
            and self._budget.used + size <= self._budget.max_bytes
        )

    def _send_now(self, data: bytes) -> int:
        try:
            # Most parts fit into the socket's buffer, and a timer for each part
            # would cost more than the send itself.
            return self._client._socket.send(data)
        except BlockingIOError:
            return 0

    def _fail(self, error: OSError) -> None:
        self._error = error
        self._discard()

    async def _flush(self, timeout_seconds: float) -> None:
        try:
            while self._unsent:
                part = bytes(self._unsent[:_PART_BYTES])
                async with curio.timeout_after(timeout_seconds):
                    await self._client.sendall(part)
                sent = min(len(part), len(self._unsent))
                del self._unsent[:sent]
                self._budget.used -= sent
        except curio.TaskTimeout:
            self._fail(TimeoutError("the caller reads nothing"))
        except OSError as error:
            self._fail(error)
        finally:
            self._flusher = None
