"""Notices that an endpoint's answer makes no progress."""

import curio

from baobabmux_node import client, clock

_CHECK_SECONDS = 0.5


class SilenceWatch:
    """Ends a connection whose answer makes no progress within a limit.

    One task checks the limit for a whole call, because a timer for each read
    would cost more than the read.

    Attributes:
        expired: Whether the limit has passed.
    """

    def __init__(
        self,
        limit_seconds: float,
        now: float,
        connection: client.ClientConnection,
    ):
        self.expired = False
        self._limit_seconds = limit_seconds
        self._since = now
        self._longest_seconds = 0.0
        self._connection = connection

    def progressed(self, limit_seconds: float, now: float) -> None:
        """Records progress, and the limit until the next one."""
        self._longest_seconds = self.longest_until(now)
        self._limit_seconds = limit_seconds
        self._since = now

    def longest_until(self, now: float) -> float:
        """Returns the longest time without progress, in seconds."""
        return max(self._longest_seconds, now - self._since)

    async def run(self) -> None:
        """Interrupts the connection once the limit has passed."""
        while (left := self._since + self._limit_seconds - clock.now()) > 0:
            await curio.sleep(min(left, _CHECK_SECONDS))
        self.expired = True
        self._connection.interrupt()
