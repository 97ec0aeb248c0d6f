"""Measures what something costs as a function of its size."""

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

_REPEATS = 3


class Slope(NamedTuple):
    """A cost that was measured at several sizes.

    Attributes:
        sizes: Sizes measured, at least three.
        costs: Cost at each size.
        base: Cost at size 0 of the fitted line.
        each: Cost of one more.
    """

    sizes: tuple[int, ...]
    costs: tuple[float, ...]
    base: float
    each: float

    def at(self, size: float) -> float:
        """Returns the cost at a size, by the fitted line."""
        return self.base + self.each * size


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
    """Returns the memory that the result of `build` occupies, in bytes."""
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
    """Returns the least CPU time of some runs, in seconds.

    Args:
        prepare: Builds a fresh argument for each run, not timed.
        work: What is timed.
    """
    best = float("inf")
    for _ in range(_REPEATS):
        argument = prepare()
        gc.collect()
        started = time.process_time()
        work(argument)
        best = min(best, time.process_time() - started)
    return best
