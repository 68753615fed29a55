"""The clocks of a process.

Local deadlines are measured on the monotonic clock, which stops while the VM
is suspended.  Leases held or granted are measured on the boot-time clock,
which does not stop.  The wall clock may jump by seconds and back, so a jump is
followed only once it has lasted for some time.
"""

import time

from tarragonlb.controller.ports import Clock
from tarragonlb.scheduling.job import MS_PER_SECOND, Moment

# Smaller differences are clock adjustments and are followed at once.
MIN_JUMP_SECONDS = 0.5
# A jump is ignored for this long: observed jumps were reverted after a few
# seconds.
JUMP_HOLD_SECONDS = 10.0


class SystemClock:
    """Reads the clocks of the operating system."""

    __slots__ = ('_jumped_at', '_offset')

    def __init__(self) -> None:
        """Trust the wall clock at the start."""
        self._offset = time.time() - self.read_boottime()
        self._jumped_at: float | None = None

    def read_monotonic(self) -> float:
        """Return monotonic seconds, excluding time spent suspended."""
        return time.monotonic()

    def read_boottime(self) -> float:
        """Return monotonic seconds, including time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self) -> float:
        """Return Unix time in seconds, with short jumps filtered out."""
        now = self.read_boottime()
        offset = time.time() - now
        if abs(offset - self._offset) < MIN_JUMP_SECONDS:
            self._offset = offset
            self._jumped_at = None
        elif self._jumped_at is None:
            self._jumped_at = now
        elif now - self._jumped_at > JUMP_HOLD_SECONDS:
            self._offset = offset
            self._jumped_at = None
        return now + self._offset


def read_moment(clock: Clock) -> Moment:
    """Return the current time on the monotonic and the wall clock."""
    return Moment(clock.read_monotonic(), clock.read_wall() * MS_PER_SECOND)
