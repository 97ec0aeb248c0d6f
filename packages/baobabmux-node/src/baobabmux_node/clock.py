"""The node's clock: steady, and it counts while the VM is suspended."""

import time

# Without suspension both clocks run alike, so a system that lacks the first
# only misses suspensions.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Returns the time in seconds since an arbitrary moment.

    Leases and deadlines pass while a VM is suspended, which the monotonic
    clock of Linux does not count.
    """
    return time.clock_gettime(_CLOCK)
