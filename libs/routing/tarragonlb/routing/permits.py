"""Permits of a pool: how many requests may be at its endpoints at once.

Patient requests never get the last quarter of the permits while the pool has
urgent callers, so an urgent request gets a permit although long patient ones
are in progress.
"""

from tarragonlb.model.invariant import ensure
from tarragonlb.routing.limit import ConcurrencyLimit
from tarragonlb.routing.request import RequestInfo

RESERVED_SHARE = 0.25
URGENT_MEMORY_SECONDS = 600


class Permits:
    """The requests that hold a permit, within the concurrency limit."""

    __slots__ = ('_active', '_patient_active', '_urgent_seen_at', 'limit')

    def __init__(self) -> None:
        """Start without endpoints."""
        self.limit = ConcurrencyLimit()
        self._active: set[str] = set()
        self._patient_active = 0
        self._urgent_seen_at = float('-inf')

    @property
    def active(self) -> int:
        """Return the number of requests that hold a permit."""
        return len(self._active)

    def record_arrival(self, request: RequestInfo, now: float) -> None:
        """Record the time of the latest urgent request."""
        if request.urgent:
            self._urgent_seen_at = now

    def is_available(self, *, urgent: bool, now: float) -> bool:
        """Return whether a request of this class may get a permit."""
        if self.active >= self.limit.size:
            return False
        if urgent or now - self._urgent_seen_at > URGENT_MEMORY_SECONDS:
            return True
        unreserved = int(self.limit.size * (1 - RESERVED_SHARE))
        return self._patient_active < max(1, unreserved)

    def acquire(self, request: RequestInfo) -> None:
        """Give a permit to a request."""
        request_id = request.request_id
        ensure(
            request_id not in self._active,
            'a request gets only one permit',
            request_id,
        )
        self._active.add(request_id)
        self._patient_active += not request.urgent
        ensure(
            self.active <= self.limit.size,
            'active requests stay within the limit',
            request_id,
        )

    def release(self, request: RequestInfo) -> None:
        """Take back the permit of a request."""
        request_id = request.request_id
        ensure(
            request_id in self._active,
            'only a request with a permit releases it',
            request_id,
        )
        self._active.remove(request_id)
        self._patient_active -= not request.urgent
