"""Admission: who is served now, who waits, and who is refused at once.

Each pool has a number of slots.  A request takes one or waits in the queue of
its team and class.  Urgent queues are served before patient ones, and teams
take turns, so that one team's burst doesn't delay another team's request.
"""

import enum
from collections import OrderedDict, deque
from dataclasses import dataclass

from tarragonlb.model.invariant import ensure
from tarragonlb.routing.request import RequestInfo

MAX_QUEUED_PER_TEAM = 256
INITIAL_SERVICE_SECONDS = 0.1
SMOOTHING = 0.1


class Decision(enum.Enum):
    """Say what becomes of a request on arrival."""

    ADMITTED = 'admitted'
    QUEUED = 'queued'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class Answer:
    """A decision; for a refusal, the reason and when to come back."""

    decision: Decision
    reason: str = ''
    retry_after: float = 0


class Admission:
    """The slots and queues of one pool, as one entry VM sees them."""

    __slots__ = ('_active', '_queues', '_service_seconds', '_slots')

    def __init__(self, slots: int) -> None:
        """Start with all slots free."""
        self._slots = slots
        self._active: set[str] = set()
        self._service_seconds = INITIAL_SERVICE_SECONDS
        self._queues: dict[bool, OrderedDict[str, deque[RequestInfo]]] = {
            True: OrderedDict(),
            False: OrderedDict(),
        }

    def resize(self, slots: int) -> None:
        """Take over a new number of slots; active requests go on."""
        self._slots = slots

    def offer(self, request: RequestInfo, now: float) -> Answer:
        """Decide on a request that has arrived."""
        if self._slots < 1:
            return Answer(Decision.REFUSED, 'no endpoint is available', 1)
        waiting = self._count_ahead(request)
        if len(self._active) < self._slots and waiting == 0:
            self._active.add(request.request_id)
            return Answer(Decision.ADMITTED)
        wait = self._estimate_wait(waiting)
        queue = self._queues[request.urgent].setdefault(request.team, deque())
        if len(queue) >= MAX_QUEUED_PER_TEAM:
            return Answer(Decision.REFUSED, 'the queue is full', wait)
        if now + wait + self._service_seconds > request.deadline:
            return Answer(Decision.REFUSED, 'the deadline can not be met', wait)
        queue.append(request)
        return Answer(Decision.QUEUED)

    def release(
        self, request_id: str, seconds: float, now: float
    ) -> list[RequestInfo]:
        """Give back a slot and return the requests that may start now.

        ``seconds`` is how long the request held its slot.
        """
        ensure(request_id in self._active, 'only a holder releases', request_id)
        self._active.remove(request_id)
        self._service_seconds += SMOOTHING * (seconds - self._service_seconds)
        return self.start_waiting(now)

    def start_waiting(self, now: float) -> list[RequestInfo]:
        """Return the waiting requests that free slots allow to start.

        Requests whose deadline has passed are dropped; their callers have
        their answer already.
        """
        started = []
        while len(self._active) < self._slots:
            request = self._take_next(now)
            if request is None:
                break
            self._active.add(request.request_id)
            started.append(request)
        ensure(len(self._active) >= len(started), 'started ones hold slots')
        return started

    def withdraw(self, request: RequestInfo) -> bool:
        """Remove a waiting request; return whether it was still waiting."""
        queue = self._queues[request.urgent].get(request.team)
        if queue is None or request not in queue:
            return False
        queue.remove(request)
        return True

    def _take_next(self, now: float) -> RequestInfo | None:
        for urgent in (True, False):
            queues = self._queues[urgent]
            for team in list(queues):
                queue = queues.pop(team)
                while queue and queue[0].deadline <= now:
                    queue.popleft()
                if queue:
                    request = queue.popleft()
                    queues[team] = queue
                    return request
        return None

    def _count_ahead(self, request: RequestInfo) -> int:
        ahead = sum(len(queue) for queue in self._queues[True].values())
        if not request.urgent:
            ahead += sum(len(queue) for queue in self._queues[False].values())
        return ahead

    def _estimate_wait(self, waiting: int) -> float:
        return (waiting + 1) * self._service_seconds / self._slots
