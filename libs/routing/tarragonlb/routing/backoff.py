"""Requests that wait for a moment since endpoints had no slot for them.

Such a request keeps its place, so that an entry VM that finds the endpoints
full sends less for the moment.  It tries again after a short time that doubles
with each refusal.
"""

import heapq

MIN_SECONDS = 0.02
MAX_SECONDS = 1.0
MAX_DOUBLINGS = 6


class Parking:
    """When each parked request tries again."""

    __slots__ = ('_times',)

    def __init__(self) -> None:
        """Start empty."""
        self._times: list[tuple[float, str]] = []

    def park(self, request_id: str, refusals: int, now: float) -> None:
        """Let a request wait that was refused so many times."""
        seconds = MIN_SECONDS * 2 ** min(refusals, MAX_DOUBLINGS)
        resume_at = now + min(seconds, MAX_SECONDS)
        heapq.heappush(self._times, (resume_at, request_id))

    def find_next(self) -> float:
        """Return when the next request tries again."""
        return self._times[0][0] if self._times else float('inf')

    def resume(self, now: float) -> list[str]:
        """Remove and return the requests whose time has come."""
        resumed = []
        while self._times and self._times[0][0] <= now:
            resumed.append(heapq.heappop(self._times)[1])
        return resumed
