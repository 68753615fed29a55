"""The places of a pool: how many requests may be at its endpoints at once.

Patient requests never hold the last quarter of the places while the pool has
urgent callers.  An urgent request therefore finds a place although long
patient ones are in progress.
"""

from tarragonlb.model.invariant import ensure
from tarragonlb.routing.limit import ConcurrencyLimit
from tarragonlb.routing.request import RequestInfo

RESERVED_SHARE = 0.25
URGENT_MEMORY_SECONDS = 600


class Places:
    """Which requests hold a place below the concurrency limit."""

    __slots__ = ('_active', '_patient_active', '_urgent_seen', 'limit')

    def __init__(self) -> None:
        """Start without any endpoint."""
        self.limit = ConcurrencyLimit()
        self._active: set[str] = set()
        self._patient_active = 0
        self._urgent_seen = float('-inf')

    @property
    def active(self) -> int:
        """Return how many requests hold a place."""
        return len(self._active)

    def notice(self, request: RequestInfo, now: float) -> None:
        """Remember that the pool has urgent callers."""
        if request.urgent:
            self._urgent_seen = now

    def is_free(self, *, urgent: bool, now: float) -> bool:
        """Return whether a request of this class may take a place."""
        if self.active >= self.limit.size:
            return False
        if urgent or now - self._urgent_seen > URGENT_MEMORY_SECONDS:
            return True
        unreserved = int(self.limit.size * (1 - RESERVED_SHARE))
        return self._patient_active < max(1, unreserved)

    def hold(self, request: RequestInfo) -> None:
        """Give a place to a request."""
        name = request.request_id
        ensure(name not in self._active, 'a request is admitted once', name)
        self._active.add(name)
        self._patient_active += not request.urgent
        ensure(self.active <= self.limit.size, 'no start over the limit', name)

    def release(self, request: RequestInfo) -> None:
        """Take back the place of a request."""
        name = request.request_id
        ensure(name in self._active, 'only a holder releases', name)
        self._active.remove(name)
        self._patient_active -= not request.urgent
