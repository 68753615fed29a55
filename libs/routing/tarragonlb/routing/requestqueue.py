"""Queue of all waiting requests of a pool, by class and with expiry times."""

import heapq

from tarragonlb.routing.fairqueue import FairQueue
from tarragonlb.routing.request import RequestInfo

MIN_STALE_EXPIRIES = 64


class RequestQueue:
    """Fair queues of both classes and a heap of latest start times.

    The heap entries of requests that have left the queue are removed when their
    time comes, or together once they are the greater part of the heap, so that
    mass cancellations stay cheap.
    """

    __slots__ = ('_expiries', '_queues')

    def __init__(self) -> None:
        """Start empty."""
        self._queues = {True: FairQueue(), False: FairQueue()}
        self._expiries: list[tuple[float, str, RequestInfo]] = []

    def count(self) -> int:
        """Return the number of queued requests."""
        return sum(queue.size for queue in self._queues.values())

    def is_blocked(self, *, urgent: bool) -> bool:
        """Return whether queued requests start before a new one."""
        return bool(self._queues[True].size if urgent else self.count())

    def count_team(self, request: RequestInfo) -> int:
        """Return the number of queued requests of the same team and class."""
        return self._queues[request.urgent].count_team(request.team)

    def count_ahead(self, request: RequestInfo, position: int) -> float:
        """Return an upper bound of the requests that start before this one.

        ``position`` is its position in the queue of its team and class.
        """
        ahead = self._queues[request.urgent].count_ahead(request, position)
        if request.urgent:
            return ahead
        return ahead + self._queues[True].size

    def push(self, request: RequestInfo, latest_start: float) -> None:
        """Append a request to the queue of its team and class."""
        self._queues[request.urgent].push(request)
        expiry = (latest_start, request.request_id, request)
        heapq.heappush(self._expiries, expiry)

    def pop(self, *, urgent: bool) -> RequestInfo | None:
        """Remove and return the next request of a class, or None."""
        return self._queues[urgent].pop()

    def remove(self, request: RequestInfo) -> bool:
        """Remove a request; return whether it was queued."""
        removed = self._queues[request.urgent].remove(request)
        if len(self._expiries) > 2 * self.count() + MIN_STALE_EXPIRIES:
            self._discard_stale_expiries()
        return removed

    def find_next_expiry(self) -> float:
        """Return the next time at which a request may have to be dropped."""
        return self._expiries[0][0] if self._expiries else float('inf')

    def expire(self, now: float) -> list[RequestInfo]:
        """Remove and return the requests whose latest start time has passed."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            request = heapq.heappop(self._expiries)[2]
            if self._queues[request.urgent].remove(request):
                expired.append(request)
        return expired

    def list_positions(self) -> list[tuple[int, RequestInfo]]:
        """Return each request with its position in the queue of its team."""
        return [
            positioned
            for queue in self._queues.values()
            for positioned in queue.list_positions()
        ]

    def _discard_stale_expiries(self) -> None:
        request_ids = {
            request.request_id for _, request in self.list_positions()
        }
        self._expiries = [
            expiry for expiry in self._expiries if expiry[1] in request_ids
        ]
        heapq.heapify(self._expiries)
