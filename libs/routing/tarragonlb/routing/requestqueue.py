"""All waiting requests of a pool, by class, and when they become hopeless."""

import heapq

from tarragonlb.routing.fairqueue import FairQueue
from tarragonlb.routing.request import RequestInfo

MIN_STALE_EXPIRIES = 64


class WaitingRequests:
    """The fair queues of both classes, with the latest start of each request.

    Latest starts lie in a heap.  Those of requests that have left stay there
    until their time or until they are the greater part of it, so that a mass
    of cancellations stays cheap.
    """

    __slots__ = ('_expiries', '_queues')

    def __init__(self) -> None:
        """Start empty."""
        self._queues = {True: FairQueue(), False: FairQueue()}
        self._expiries: list[tuple[float, str, RequestInfo]] = []

    def count(self) -> int:
        """Return how many requests wait."""
        return sum(queue.waiting for queue in self._queues.values())

    def is_blocked(self, *, urgent: bool) -> bool:
        """Return whether requests wait that start before a new one."""
        return bool(self._queues[True].waiting if urgent else self.count())

    def count_team(self, request: RequestInfo) -> int:
        """Return how many requests of the same team and class wait."""
        return self._queues[request.urgent].count_team(request.team)

    def count_ahead(self, request: RequestInfo, position: int) -> float:
        """Return how many requests start before one, at most.

        ``position`` is its place in the queue of its team and class.
        """
        ahead = self._queues[request.urgent].count_ahead(request, position)
        if request.urgent:
            return ahead
        return ahead + self._queues[True].waiting

    def push(self, request: RequestInfo, latest_start: float) -> None:
        """Append a request to the queue of its team and class."""
        self._queues[request.urgent].push(request)
        expiry = (latest_start, request.request_id, request)
        heapq.heappush(self._expiries, expiry)

    def pop(self, *, urgent: bool) -> RequestInfo | None:
        """Remove and return the request of a class whose turn it is."""
        return self._queues[urgent].pop()

    def remove(self, request: RequestInfo) -> bool:
        """Remove a request; return whether it was waiting."""
        removed = self._queues[request.urgent].remove(request)
        if len(self._expiries) > 2 * self.count() + MIN_STALE_EXPIRIES:
            self._forget_stale_expiries()
        return removed

    def find_next_expiry(self) -> float:
        """Return the next time at which a request may become hopeless."""
        return self._expiries[0][0] if self._expiries else float('inf')

    def expire(self, now: float) -> list[RequestInfo]:
        """Remove and return the requests whose latest start has passed."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now:
            request = heapq.heappop(self._expiries)[2]
            if self._queues[request.urgent].remove(request):
                expired.append(request)
        return expired

    def list_positions(self) -> list[tuple[int, RequestInfo]]:
        """Return each request with its position in the queue of its team."""
        return [
            waiting
            for queue in self._queues.values()
            for waiting in queue.list_waiting()
        ]

    def _forget_stale_expiries(self) -> None:
        names = {request.request_id for _, request in self.list_positions()}
        self._expiries = [
            expiry for expiry in self._expiries if expiry[1] in names
        ]
        heapq.heapify(self._expiries)
