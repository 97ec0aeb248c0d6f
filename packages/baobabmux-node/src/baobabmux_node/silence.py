"""Notices that an endpoint's answer makes no progress."""

from collections.abc import Awaitable, Callable

import curio

from baobabmux_node import client, clock

_CHECK_SECONDS = 0.5
# Consecutive checks with new data that show an endpoint to be sending.
_BUSY_CHECKS = 2


class SilenceWatch:
    """Reports an endpoint that sends nothing within a limit.

    A silent endpoint may be sound and go on, so its connection stays open. If
    data keeps arriving without progress, the connection is interrupted, unless
    the reader bounds that data.

    One task checks the limit for a whole call, because a timer for each read
    would cost more than the read. Time in which the node passes data on to the
    caller does not count.

    Attributes:
        expired: Whether the connection was interrupted.
        is_bounded: Whether the reader bounds the bytes that arrive without
            progress, as it does for an answer that it reads whole.
    """

    def __init__(
        self,
        connection: client.ClientConnection,
        limit_seconds: float,
        now: float,
        report: Callable[[float, bool], Awaitable[None]] | None,
        slow_seconds: float | None = None,
        report_slow: Callable[[float], Awaitable[None]] | None = None,
    ):
        """Starts to watch.

        Args:
            connection: Connection of the call.
            limit_seconds: Longest time until the answer makes progress.
            now: Time on the node's clock in seconds.
            report: Called with the time without progress in seconds, and
                whether data keeps arriving; again after each further limit. If
                None, a silent connection is interrupted too.
            slow_seconds: Time until its first progress after which the answer
                counts as slow, or None.
            report_slow: Called once with that time if it is slow.
        """
        self.expired = False
        self.is_bounded = False
        self._connection = connection
        self._limit_seconds = limit_seconds
        self._report = report
        self._slow_seconds = slow_seconds
        self._report_slow = report_slow
        self._is_slow = False
        self._since: float | None = now
        self._longest_seconds = 0.0
        self._reports = 0
        self._received_at = 0.0
        # Consecutive checks between which data arrived.
        self._busy_checks = 0

    def progressed(self, now: float) -> bool:
        """Records progress; the watch waits for `resume` then.

        Returns:
            Whether the endpoint had been reported as silent or slow.
        """
        was_silent = self._reports > 0 or self._is_slow
        self._is_slow = False
        self._slow_seconds = None
        self._longest_seconds = self.longest_seconds(now)
        self._since = None
        self._reports = 0
        self._busy_checks = 0
        self._received_at = self._connection.received_at
        return was_silent

    def resume(self, limit_seconds: float, now: float) -> None:
        """Watches on with another limit."""
        self._limit_seconds = limit_seconds
        self._since = now

    def longest_seconds(self, now: float) -> float:
        """Returns the longest time without progress so far."""
        if self._since is None:
            return self._longest_seconds
        return max(self._longest_seconds, now - self._since)

    def release(self) -> None:
        """Drops what refers to the call, once `run` has been cancelled.

        The exception that ends the task refers to this watch, and would keep
        the body of the request until a collection of cycles.
        """
        self._report = self._report_slow = None

    async def run(self) -> None:
        """Watches until the connection is interrupted."""
        while True:
            now = clock.now()
            if self._is_slow_due(now):
                await self._report_slowness(now)
                continue
            if (left := self._seconds_left(now)) > 0:
                await curio.sleep(min(left, self._check_seconds(now)))
                self._count_check()
                continue
            is_arriving = self._busy_checks >= _BUSY_CHECKS
            is_endless = is_arriving and not self.is_bounded
            if self._report is None or is_endless:
                self.expired = True
                self._connection.interrupt()
                return
            self._reports += 1
            await self._report(now - self._since, is_arriving)

    def _is_slow_due(self, now: float) -> bool:
        return (
            self._slow_seconds is not None
            and self._since is not None
            and now - self._since >= self._slow_seconds
        )

    async def _report_slowness(self, now: float) -> None:
        self._slow_seconds = None
        self._is_slow = True
        await self._report_slow(now - self._since)

    def _check_seconds(self, now: float) -> float:
        if self._slow_seconds is None or self._since is None:
            return _CHECK_SECONDS
        left = self._since + self._slow_seconds - now
        return min(_CHECK_SECONDS, max(left, 0.0))

    def _count_check(self) -> None:
        received_at = self._connection.received_at
        is_busy = received_at > self._received_at
        self._busy_checks = self._busy_checks + 1 if is_busy else 0
        self._received_at = received_at

    def _seconds_left(self, now: float) -> float:
        """Returns the time until the next report."""
        if self._since is None:
            return self._limit_seconds
        return self._since + (1 + self._reports) * self._limit_seconds - now
