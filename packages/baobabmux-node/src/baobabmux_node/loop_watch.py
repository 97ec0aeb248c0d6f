"""Records which tasks hold the loop of the node for long.

The loop runs one task at a time, until it waits for something. A task that
works on, or whose input never runs dry, keeps all others from running, and
their timeouts from firing.
"""

import collections
from collections.abc import Callable

import msgspec
from curio import kernel

from baobabmux_node import clock

MIN_SECONDS = 0.02
"""Shortest step that is recorded."""


class Steps(msgspec.Struct):
    """Long steps of the tasks of one name.

    Attributes:
        count: Number of the steps.
        longest_seconds: Length of the longest one.
    """

    count: int = 0
    longest_seconds: float = 0.0


class LoopWatch(kernel.Activation):
    """Measures the steps of all tasks; the kernel of curio calls it.

    Attributes:
        on_long_step: Called with the task's name and the seconds of each step
            of at least `MIN_SECONDS`.
    """

    def __init__(self):
        self.on_long_step: Callable[[str, float], None] = lambda *_: None
        self._began_at = 0.0
        self._steps: dict[str, Steps] = collections.defaultdict(Steps)

    def running(self, task) -> None:
        """Records the start of a step."""
        self._began_at = clock.now()

    def suspended(self, task, trap) -> None:
        """Records the end of a step."""
        seconds = clock.now() - self._began_at
        if seconds < MIN_SECONDS:
            return
        steps = self._steps[task.name]
        steps.count += 1
        steps.longest_seconds = max(steps.longest_seconds, seconds)
        self.on_long_step(task.name, seconds)

    def take(self) -> dict[str, Steps]:
        """Returns the long steps since the last call by the task's name.

        Names are those of functions, so that their number is bounded.
        """
        taken, self._steps = self._steps, collections.defaultdict(Steps)
        return dict(taken)
