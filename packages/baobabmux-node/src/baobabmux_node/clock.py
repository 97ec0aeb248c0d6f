"""Monotonic clock of the node, which also counts while the VM is suspended."""

import time

# Both clocks differ only by the time of suspensions. A system without
# CLOCK_BOOTTIME does not count that time.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Returns the time in seconds since an arbitrary moment.

    Leases and deadlines expire while a VM is suspended, but CLOCK_MONOTONIC of
    Linux stops during a suspension.
    """
    return time.clock_gettime(_CLOCK)
