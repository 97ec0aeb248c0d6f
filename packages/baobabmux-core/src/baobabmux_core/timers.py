"""Timers for the components of a node."""

import heapq
import itertools
from collections.abc import Callable

Callback = Callable[[float], None]


class Timer:
    """One scheduled call; `cancel` ends it.

    Attributes:
        due: Time of the next call in seconds.
        interval: Seconds between calls, or None for a single call.
        call: Callback, which receives the current time in seconds.
        cancelled: Whether `cancel` was called.
    """

    def __init__(self, due: float, interval: float | None, call: Callback):
        self.due = due
        self.interval = interval
        self.call = call
        self.cancelled = False

    def cancel(self) -> None:
        """Cancels the timer; it is never called again."""
        self.cancelled = True


class TimerService:
    """Calls timers when they are due.

    The service has no clock: its driver passes the time to `run_due` and
    sleeps until `next_due`.
    """

    def __init__(self):
        self._heap: list[tuple[float, int, Timer]] = []
        self._sequence = itertools.count()

    def once(self, due: float, call: Callback) -> Timer:
        """Schedules a single call at the time `due` in seconds."""
        return self._push(Timer(due, None, call))

    def every(self, interval: float, now: float, call: Callback) -> Timer:
        """Schedules a call every `interval` seconds from `now` on.

        The first call is one interval after `now`.
        """
        return self._push(Timer(now + interval, interval, call))

    def next_due(self) -> float | None:
        """Returns the time of the next call, or None without timers."""
        while self._heap and self._heap[0][2].cancelled:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def run_due(self, now: float, ahead: float = 0.0) -> int:
        """Calls all timers that are due.

        A periodic timer that was missed several times, for instance while the
        process was paused, is called once.

        Args:
            now: Current time in seconds.
            ahead: Seconds by which a timer may be called early, so that those
                due shortly after each other share one call.

        Returns:
            The number of calls made.
        """
        calls = 0
        while (due := self.next_due()) is not None and due <= now + ahead:
            timer = heapq.heappop(self._heap)[2]
            if timer.interval is not None:
                missed = due + timer.interval <= now
                timer.due = (now if missed else due) + timer.interval
                self._push(timer)
            timer.call(now)
            calls += 1
        return calls

    def _push(self, timer: Timer) -> Timer:
        heapq.heappush(self._heap, (timer.due, next(self._sequence), timer))
        return timer
