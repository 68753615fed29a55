"""The two clocks of a process.

Durations and deadlines use the monotonic clock.  Wall-clock time is written to
records and logs for people to read, and no decision depends on it.
"""

import time

import trio


def read_monotonic() -> float:
    """Return the monotonic time in seconds, the clock of all deadlines."""
    return trio.current_time()


def read_wall() -> float:
    """Return the wall-clock time in seconds since 1970."""
    return time.time()
