"""Exponential backoff for requests that all endpoints refused as busy.

A request keeps its permit while it backs off, so an entry VM whose endpoints
are full sends less.  The delay doubles with each refusal.
"""

import heapq

MIN_BACKOFF_SECONDS = 0.02
MAX_BACKOFF_SECONDS = 1.0
MAX_DOUBLINGS = 6


class BackoffQueue:
    """Retry times of the requests that are backing off."""

    __slots__ = ('_due',)

    def __init__(self) -> None:
        """Start empty."""
        self._due: list[tuple[float, str]] = []

    def add(self, request_id: str, refusals: int, now: float) -> None:
        """Schedule the retry of a request that was refused so many times."""
        seconds = MIN_BACKOFF_SECONDS * 2 ** min(refusals, MAX_DOUBLINGS)
        retry_at = now + min(seconds, MAX_BACKOFF_SECONDS)
        heapq.heappush(self._due, (retry_at, request_id))

    def find_next_retry(self) -> float:
        """Return the time of the earliest retry."""
        return self._due[0][0] if self._due else float('inf')

    def pop_due(self, now: float) -> list[str]:
        """Remove and return the requests whose retry time has come."""
        due = []
        while self._due and self._due[0][0] <= now:
            due.append(heapq.heappop(self._due)[1])
        return due
