"""Queue of the waiting requests of one class, fair between teams.

Each team has its own queue, and the teams are served by deficit round robin: in
each turn a team starts as many requests as its weight.  The cost of every
operation is independent of the number of teams and requests, except for
``list_positions``, which is only used when the pool has shrunk.
"""

from collections import OrderedDict
from collections.abc import Iterator

from tarragonlb.model.invariant import ensure
from tarragonlb.routing.request import RequestInfo


class TeamQueue:
    """Requests of one team, oldest first, and the credit left in its turn."""

    __slots__ = ('credit', 'requests', 'weight')

    def __init__(self, weight: int) -> None:
        """Start empty and without credit."""
        self.weight = weight
        self.credit = 0
        self.requests: OrderedDict[str, RequestInfo] = OrderedDict()


class FairQueue:
    """Queues of all teams; ``size`` is the number of requests in them."""

    __slots__ = ('_teams', '_total_weight', 'size')

    def __init__(self) -> None:
        """Start empty."""
        self._teams: OrderedDict[str, TeamQueue] = OrderedDict()
        self._total_weight = 0
        self.size = 0

    def push(self, request: RequestInfo) -> None:
        """Append a request to the queue of its team."""
        queue = self._teams.get(request.team)
        if queue is None:
            queue = TeamQueue(request.weight)
            self._teams[request.team] = queue
            self._total_weight += queue.weight
        queue.requests[request.request_id] = request
        self.size += 1

    def pop(self) -> RequestInfo | None:
        """Remove and return the next request, or None."""
        if not self._teams:
            return None
        team = next(iter(self._teams))
        queue = self._teams[team]
        if queue.credit < 1:
            queue.credit = queue.weight
        queue.credit -= 1
        _, request = queue.requests.popitem(last=False)
        self._update_after_removal(team, queue)
        if queue.credit < 1 and queue.requests:
            self._teams.move_to_end(team)
        return request

    def remove(self, request: RequestInfo) -> bool:
        """Remove a request; return whether it was queued."""
        queue = self._teams.get(request.team)
        if queue is None or request.request_id not in queue.requests:
            return False
        queue.requests.pop(request.request_id)
        self._update_after_removal(request.team, queue)
        return True

    def count_team(self, team: str) -> int:
        """Return the number of queued requests of a team."""
        queue = self._teams.get(team)
        if queue is None:
            return 0
        return len(queue.requests)

    def count_ahead(self, request: RequestInfo, position: int) -> float:
        """Return an upper bound of the requests that start before this one.

        ``position`` is the number of requests of its own team before it.  The
        other teams start requests in proportion to their weights, but not more
        than they have queued.
        """
        queue = self._teams.get(request.team)
        if queue is None:
            queue = TeamQueue(request.weight)
            other_weight = self._total_weight
        else:
            other_weight = self._total_weight - queue.weight
        rounds = (position + 1) / queue.weight
        other_requests = self.size - len(queue.requests)
        return position + min(other_requests, rounds * other_weight)

    def list_positions(self) -> Iterator[tuple[int, RequestInfo]]:
        """Yield each request with its position in the queue of its team."""
        for queue in list(self._teams.values()):
            yield from enumerate(list(queue.requests.values()))

    def _update_after_removal(self, team: str, queue: TeamQueue) -> None:
        self.size -= 1
        ensure(self.size >= 0, 'the queue size is never negative', team)
        if not queue.requests:
            self._teams.pop(team)
            self._total_weight -= queue.weight
