"""Wall-clock time, for keys' ages and timeline stamps only."""

import time


def unix_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000
