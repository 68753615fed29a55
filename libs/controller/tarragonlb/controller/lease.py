"""Leases granted to one worker, on its clock and on ours.

The worker's clock may be 2% slow, so a lease may last longer on our clock than
on the worker's.  While the worker does not answer, no later end is granted:
an unanswered call may still be carried out.
"""

from tarragonlb.scheduling.job import MS_PER_SECOND
from tarragonlb.scheduling.settings import CLOCK_DRIFT_FACTOR


class WorkerLease:
    """The latest lease end granted to a worker, in its milliseconds.

    >>> lease = WorkerLease()
    >>> lease.record_answer(clock_ms=5000, received_at=10.0)
    >>> lease.extend(now=10.0, seconds=4.0)
    9000
    """

    __slots__ = ('_clock_ms', '_granted_until_ms', '_received_at')

    def __init__(self) -> None:
        """Begin without any answer, so nothing can be granted."""
        self._clock_ms: int | None = None
        self._received_at = 0.0
        self._granted_until_ms: int | None = None

    @property
    def granted_until_ms(self) -> int | None:
        """Return the latest end granted in this life of the worker."""
        return self._granted_until_ms

    def record_answer(self, clock_ms: int, received_at: float) -> None:
        """Take over the worker's clock; one that ran back is a new life."""
        if self._clock_ms is not None and clock_ms < self._clock_ms:
            self._granted_until_ms = None
        self._clock_ms = clock_ms
        self._received_at = received_at

    def extend(self, now: float, seconds: float) -> int | None:
        """Grant a lease of ``seconds`` from ``now`` on and return its end."""
        if self._clock_ms is None:
            return None
        clock_ms = self._clock_ms + (now - self._received_at) * MS_PER_SECOND
        until_ms = int(clock_ms + seconds * MS_PER_SECOND)
        self._granted_until_ms = max(until_ms, self._granted_until_ms or 0)
        return self._granted_until_ms

    def compute_expiry(self) -> float:
        """Return when everything granted is over, in our seconds."""
        if self._clock_ms is None or self._granted_until_ms is None:
            return 0.0
        left = (self._granted_until_ms - self._clock_ms) / MS_PER_SECOND
        return self._received_at + left * CLOCK_DRIFT_FACTOR
