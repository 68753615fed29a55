"""The clocks of a process.

Deadlines of our own count on the steady clock.  What was granted to others
counts on the clock that goes on while the VM is suspended.  The time of day
may jump by seconds and back; a jump is followed only once it has lasted.
"""

import time

from tarragonlb.controller.ports import Clock
from tarragonlb.scheduling.job import MS_PER_SECOND, Moment

# A difference below this is an adjustment, not a jump.
JUMP_SECONDS = 0.5
# Jumps that were seen lasted some seconds and were then undone.
JUMP_HOLD_SECONDS = 10.0


class SystemClock:
    """Reads the clocks of the machine."""

    __slots__ = ('_jumped_at', '_offset')

    def __init__(self) -> None:
        """Take the time of day for true at the start."""
        self._offset = time.time() - self.read_boottime()
        self._jumped_at: float | None = None

    def read_steady(self) -> float:
        """Return seconds that stand still while the VM is suspended."""
        return time.monotonic()

    def read_boottime(self) -> float:
        """Return seconds that also count while the VM is suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self) -> float:
        """Return seconds since 1970, without short jumps."""
        now = self.read_boottime()
        offset = time.time() - now
        if abs(offset - self._offset) < JUMP_SECONDS:
            self._offset = offset
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = now
        elif now - self._jumped_at > JUMP_HOLD_SECONDS:
            self._offset = offset
            self._jumped_at = None
        return now + self._offset


def read_moment(clock: Clock) -> Moment:
    """Return the present by both clocks that decisions are made on."""
    return Moment(clock.read_steady(), clock.read_wall() * MS_PER_SECOND)
