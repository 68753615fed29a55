"""Tells the own delay of a process from the silence of those that it calls.

When the event loop is behind, a response that has arrived waits in its socket
while the timeout of the call runs.  A probe that sleeps for a fixed time and
looks how late it is woken measures that delay, and calls wait longer by it.
"""

import math

import trio

PROBE_SECONDS = 0.05
# The scheduler of the operating system wakes a process this late at times.
TOLERANCE_SECONDS = 0.002
# A response that comes more slowly is given up; a narrow link that several
# calls share is faster.
MIN_BYTES_PER_SECOND = 16_384
# Two calls that are extended by this much still end within one lease.
MAX_EXTENSION_SECONDS = 0.8


class LoopLag:
    """Sums up by how much the event loop was behind.

    >>> lag = LoopLag()
    >>> lag.expect(10.0)
    >>> round(lag.read_total(10.5), 3)
    0.498
    """

    __slots__ = ('_due_at', '_total_seconds')

    def __init__(self) -> None:
        """Start without lag."""
        self._total_seconds = 0.0
        self._due_at = float('inf')

    async def run(self) -> None:
        """Measure until cancelled.  Without a probe, no lag is seen."""
        try:
            while True:
                self.expect(trio.current_time() + PROBE_SECONDS)
                await trio.sleep_until(self._due_at)
                self._total_seconds = self.read_total(trio.current_time())
        finally:
            self.expect(math.inf)

    def expect(self, due_at: float) -> None:
        """Expect the probe to be woken at ``due_at`` seconds."""
        self._due_at = due_at

    def read_total(self, now: float) -> float:
        """Return the total lag in seconds, the current delay included."""
        delay = now - self._due_at - TOLERANCE_SECONDS
        return self._total_seconds + max(delay, 0)


class CallTimeout:
    """When a call counts as unanswered: its timeout plus the lag since."""

    __slots__ = ('_ends_at', '_lag', '_lag_before', '_latest_end', '_seconds')

    def __init__(self, seconds: float, lag: LoopLag, now: float) -> None:
        """Begin a call that may take ``seconds``."""
        self._seconds = seconds
        self._lag = lag
        self._lag_before = lag.read_total(now)
        # A response that has begun in time may take as long again.
        self._latest_end = now + 2 * seconds
        self.restart(now, 0)

    def restart(self, now: float, received_bytes: int) -> None:
        """Allow the full time again, since a part of the response came.

        Parts that are too small for the time that they take don't count.
        """
        lag = self._lag.read_total(now)
        self._latest_end += lag - self._lag_before
        self._latest_end += received_bytes / MIN_BYTES_PER_SECOND
        self._lag_before = lag
        self._ends_at = min(now + self._seconds, self._latest_end)

    def compute_deadline(self, now: float) -> float:
        """Return the end of the wait, as far as is known at ``now``."""
        seen = self._lag.read_total(now) - self._lag_before
        return self._ends_at + min(seen, MAX_EXTENSION_SECONDS)
