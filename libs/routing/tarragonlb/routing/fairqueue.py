"""The waiting requests of one class, shared fairly between teams.

Each team has a queue of its own, and the teams are served by deficit round
robin: in its turn a team may start as many requests as its weight says.  Every
operation costs the same however many teams and requests wait, but for
``list_waiting``, which is for the rare case that the pool has shrunk.
"""

from collections import OrderedDict
from collections.abc import Iterator

from tarragonlb.model.invariant import ensure
from tarragonlb.routing.request import RequestInfo


class TeamQueue:
    """The requests of one team, oldest first, and what is left of its turn."""

    __slots__ = ('credit', 'requests', 'weight')

    def __init__(self, weight: int) -> None:
        """Start empty, with the turn still to come."""
        self.weight = weight
        self.credit = 0
        self.requests: OrderedDict[str, RequestInfo] = OrderedDict()


class FairQueue:
    """The queues of all teams; ``waiting`` counts their requests."""

    __slots__ = ('_teams', '_weight', 'waiting')

    def __init__(self) -> None:
        """Start empty."""
        self._teams: OrderedDict[str, TeamQueue] = OrderedDict()
        self._weight = 0
        self.waiting = 0

    def push(self, request: RequestInfo) -> None:
        """Append a request to the queue of its team."""
        queue = self._teams.get(request.team)
        if queue is None:
            queue = TeamQueue(request.weight)
            self._teams[request.team] = queue
            self._weight += queue.weight
        queue.requests[request.request_id] = request
        self.waiting += 1

    def pop(self) -> RequestInfo | None:
        """Remove and return the request whose turn it is."""
        if not self._teams:
            return None
        team = next(iter(self._teams))
        queue = self._teams[team]
        if queue.credit < 1:
            queue.credit = queue.weight
        queue.credit -= 1
        _, request = queue.requests.popitem(last=False)
        self._count_removed(team, queue)
        if queue.credit < 1 and queue.requests:
            self._teams.move_to_end(team)
        return request

    def remove(self, request: RequestInfo) -> bool:
        """Remove a request; return whether it was waiting."""
        queue = self._teams.get(request.team)
        if queue is None or request.request_id not in queue.requests:
            return False
        queue.requests.pop(request.request_id)
        self._count_removed(request.team, queue)
        return True

    def count_team(self, team: str) -> int:
        """Return how many requests of a team wait."""
        queue = self._teams.get(team)
        if queue is None:
            return 0
        return len(queue.requests)

    def count_ahead(self, request: RequestInfo, position: int) -> float:
        """Return how many requests start before one, at most.

        ``position`` is the number of requests of its own team before it.  The
        other teams start theirs in proportion to their weights, and no more
        than they have.
        """
        queue = self._teams.get(request.team)
        if queue is None:
            queue = TeamQueue(request.weight)
            others = self._weight
        else:
            others = self._weight - queue.weight
        rounds = (position + 1) / queue.weight
        theirs = self.waiting - len(queue.requests)
        return position + min(theirs, rounds * others)

    def list_waiting(self) -> Iterator[tuple[int, RequestInfo]]:
        """Yield each request with its position in the queue of its team."""
        for queue in list(self._teams.values()):
            yield from enumerate(list(queue.requests.values()))

    def _count_removed(self, team: str, queue: TeamQueue) -> None:
        self.waiting -= 1
        ensure(self.waiting >= 0, 'no request leaves a queue twice', team)
        if not queue.requests:
            self._teams.pop(team)
            self._weight -= queue.weight
