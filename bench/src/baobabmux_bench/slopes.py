"""Measures costs at several sizes and fits a line through them.

The costs are CPU time, memory or any other number, such as bytes of a message.
"""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

_REPEATS = 3


class Slope(NamedTuple):
    """Costs measured at several sizes, and the line fitted through them.

    Attributes:
        sizes: Sizes measured, at least three.
        costs: Cost at each size.
        fixed_cost: Cost at size 0 on the fitted line.
        unit_cost: Increase in cost when the size grows by one.
    """

    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    fixed_cost: float
    unit_cost: float

    def at(self, size: float) -> float:
        """Returns the cost at a size on the fitted line."""
        return self.fixed_cost + self.unit_cost * size


def fit(sizes: Sequence[int], cost_of: Callable[[int], float]) -> Slope:
    """Fits a line through the costs at at least three sizes.

    Raises:
        ValueError: There are fewer than three sizes.
    """
    if len(sizes) < 3:
        raise ValueError("a slope needs at least three sizes")
    costs = tuple(cost_of(size) for size in sizes)
    line = statistics.linear_regression(sizes, costs)
    return Slope(tuple(sizes), costs, line.intercept, line.slope)


def memory_bytes(build: Callable[[], Any]) -> float:
    """Returns the memory of the result of `build` in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del kept
        return float(after - before)
    finally:
        tracemalloc.stop()


def cpu_seconds(
    prepare: Callable[[], Any], work: Callable[[Any], object]
) -> float:
    """Returns the lowest CPU time of several runs in seconds.

    Args:
        prepare: Builds a new argument for each run; not timed.
        work: Function that is timed.
    """
    best = float("inf")
    for _ in range(_REPEATS):
        argument = prepare()
        gc.collect()
        started = time.process_time()
        work(argument)
        best = min(best, time.process_time() - started)
    return best
