"""The two clocks of a process.

Durations and deadlines are counted on the monotonic clock.  Wall-clock time
goes into records and logs for people to read, and decides nothing.
"""

import time

import trio


def read_monotonic() -> float:
    """Return seconds on the clock that deadlines are counted on."""
    return trio.current_time()


def read_wall() -> float:
    """Return seconds since 1970, for people."""
    return time.time()
