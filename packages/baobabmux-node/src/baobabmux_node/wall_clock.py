"""Wall-clock time, for ages of keys, event stamps and incarnations.

Deadlines and leases use `clock` instead.
"""

import time


def unix_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
