"""Leases granted to one worker, on the worker's clock and the local one.

The worker's clock may be 2% slow, so a lease may last longer on the local
clock than on the worker's.  While the worker does not answer, leases are not
extended: an unanswered call may still take effect.

A new incarnation counts its clock anew.  A lease that was meant for the former
one expires far ahead on that clock, so the worker shortens it to the longest
lease, and holds that from when the call arrived.

A reply that was handled late shows the worker's clock too low, so the clock is
also carried forward from earlier replies, as slowly as it may run.
"""

from tarragonlb.scheduling.job import MS_PER_SECOND
from tarragonlb.scheduling.settings import CLOCK_DRIFT_FACTOR

# A clock further behind its estimate has been suspended with its worker.
MAX_REPLY_DELAY_SECONDS = 1.0


class WorkerLease:
    """The latest lease expiry granted to a worker, in its milliseconds.

    >>> lease = WorkerLease()
    >>> lease.record_reply(clock_ms=5000, received_at=10.0)
    >>> lease.extend(now=10.0, seconds=4.0)
    9000
    """

    __slots__ = (
        '_assumed_until_ms',
        '_clock_ms',
        '_estimated_ms',
        '_granted_until_ms',
        '_received_at',
    )

    def __init__(self) -> None:
        """Grant nothing until the worker has answered once."""
        self._clock_ms: int | None = None
        # The worker's clock at the last reply; it shows no less.
        self._estimated_ms = 0.0
        self._received_at = 0.0
        self._granted_until_ms: int | None = None
        # An upper bound of what calls for a former incarnation have granted.
        self._assumed_until_ms = 0.0

    @property
    def clock_ms(self) -> int | None:
        """Return the worker's clock in its last reply, None without one."""
        return self._clock_ms

    @property
    def granted_until_ms(self) -> int | None:
        """Return the latest expiry granted to this worker incarnation."""
        return self._granted_until_ms

    def record_reply(self, clock_ms: int, received_at: float) -> None:
        """Record the worker's clock; a lower value is a new incarnation."""
        if self._clock_ms is not None and clock_ms < self._clock_ms:
            self.forget()
        self._estimated_ms = self._estimate_clock(clock_ms, received_at)
        self._clock_ms = clock_ms
        self._received_at = received_at

    def forget(self) -> None:
        """Grant nothing until the next reply, of another incarnation."""
        self._granted_until_ms = None
        self._clock_ms = None
        self._assumed_until_ms = 0.0

    def assume(self, seconds: float) -> None:
        """Assume that the worker held a lease of ``seconds`` as it replied."""
        until_ms = (self._clock_ms or 0) + seconds * MS_PER_SECOND
        self._assumed_until_ms = max(self._assumed_until_ms, until_ms)

    def extend(self, now: float, seconds: float) -> int | None:
        """Grant a lease of ``seconds`` from ``now`` and return its expiry."""
        if self._clock_ms is None:
            return None
        until_ms = int(self._read_clock(now) + seconds * MS_PER_SECOND)
        self._granted_until_ms = max(until_ms, self._granted_until_ms or 0)
        return self._granted_until_ms

    def compute_expiry(self) -> float:
        """Return when all leases have expired, on the local clock."""
        if self._clock_ms is None:
            return 0.0
        until_ms = max(self._granted_until_ms or 0, self._assumed_until_ms)
        if not until_ms:
            return 0.0
        remaining = (until_ms - self._clock_ms) / MS_PER_SECOND
        return self._received_at + remaining * CLOCK_DRIFT_FACTOR

    def compute_remaining(self, now: float) -> float:
        """Return the seconds left of the lease, on the worker's clock."""
        if self._clock_ms is None or self._granted_until_ms is None:
            return 0.0
        remaining_ms = self._granted_until_ms - self._read_clock(now)
        return remaining_ms / MS_PER_SECOND

    def _read_clock(self, now: float) -> float:
        return self._estimated_ms + (now - self._received_at) * MS_PER_SECOND

    def _estimate_clock(self, clock_ms: int, received_at: float) -> float:
        if self._clock_ms is None:
            return clock_ms
        elapsed = (received_at - self._received_at) / CLOCK_DRIFT_FACTOR
        carried_ms = self._estimated_ms + elapsed * MS_PER_SECOND
        if carried_ms - clock_ms > MAX_REPLY_DELAY_SECONDS * MS_PER_SECOND:
            return clock_ms
        return max(carried_ms, clock_ms)
