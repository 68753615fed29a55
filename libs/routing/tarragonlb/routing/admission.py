"""Admission: who is served now, who waits, and who is refused at once.

A request takes a place at the endpoints of its pool or waits in the queue of
its team and class.  Urgent queues are served before patient ones, and teams
take turns by their weights.

A deadline is checked three times: on arrival against the expected wait, as
time passes, and at the head of the queue.  A request that can't be met any
more is given up at that moment, not at its deadline.
"""

import enum
from dataclasses import dataclass

from tarragonlb.routing.permits import Places
from tarragonlb.routing.request import RequestInfo
from tarragonlb.routing.requestqueue import WaitingRequests
from tarragonlb.routing.retryafter import ReturnPacing
from tarragonlb.routing.servicetime import ServiceTimes

MAX_QUEUED_PER_TEAM = 256
LATE_REASON = 'the deadline can not be met'


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


@dataclass(frozen=True, slots=True)
class Pass:
    """What a look at the queues has brought: started and given-up requests."""

    started: tuple[RequestInfo, ...] = ()
    given_up: tuple[RequestInfo, ...] = ()


class Admission:
    """The places and queues of one pool, as one entry VM sees them.

    A place is given back, and a waiting request withdrawn, at ``places`` and
    ``waiting``; ``advance`` then passes on what has become free.
    """

    __slots__ = ('_pacing', '_times', 'places', 'waiting')

    def __init__(self) -> None:
        """Start without any endpoint."""
        self.places = Places()
        self.waiting = WaitingRequests()
        self._times = ServiceTimes()
        self._pacing = ReturnPacing()

    def declare(self, slots: int, now: float) -> Pass:
        """Take over the declared slots; active requests go on.

        Waiting requests that a smaller pool can't serve in time are given up
        here, and all of them where no endpoint is left.
        """
        shrunk = slots < self.places.limit.declared
        self.places.limit.declare(slots)
        shed = self._shed(now) if shrunk else ()
        after = self.advance(now)
        return Pass(after.started, shed + after.given_up)

    def offer(self, request: RequestInfo, now: float) -> Answer:
        """Decide on a request that has arrived."""
        urgent = request.urgent
        self.places.notice(request, now)
        if self.places.limit.size < 1:
            return self._refuse(request, 'no endpoint is available', 0, now)
        if self.is_late(request, now):
            return self._refuse(request, LATE_REASON, 0, now)
        blocked = self.waiting.is_blocked(urgent=urgent)
        if not blocked and self.places.is_free(urgent=urgent, now=now):
            self.places.hold(request)
            return Answer(Decision.ADMITTED)
        return self._enqueue(request, now)

    def learn(self, request: RequestInfo, seconds: float) -> None:
        """Count an answer and how long its request held an endpoint."""
        self._times.learn(request.service, seconds)
        self.places.limit.grow(self.places.active)

    def slow_down(self, now: float) -> None:
        """Count a refusal by an endpoint for want of a slot."""
        self.places.limit.shrink(now, self._times.mean)

    def advance(self, now: float) -> Pass:
        """Give up what can't be met any more and start what has a place."""
        given_up = self.waiting.expire(now)
        started: list[RequestInfo] = []
        for urgent in (True, False):
            while self.places.is_free(urgent=urgent, now=now):
                request = self.waiting.pop(urgent=urgent)
                if request is None:
                    break
                self._take(request, started, given_up, now)
        return Pass(tuple(started), tuple(given_up))

    def is_late(self, request: RequestInfo, now: float) -> bool:
        """Return whether the deadline can't be met by starting now."""
        return request.deadline - self.estimate(request) <= now

    def estimate(self, request: RequestInfo) -> float:
        """Return the seconds that the request will hold an endpoint."""
        return self._times.estimate(request.service)

    def suggest_return(
        self, request: RequestInfo, now: float, earliest: float = 0
    ) -> float:
        """Return after how many seconds a refused caller should come back."""
        return self._pacing.suggest(
            now,
            urgent=request.urgent,
            pace=self._find_pace(),
            earliest=earliest,
        )

    def _take(
        self,
        request: RequestInfo,
        started: list[RequestInfo],
        given_up: list[RequestInfo],
        now: float,
    ) -> None:
        if self.is_late(request, now):
            given_up.append(request)
        else:
            self.places.hold(request)
            started.append(request)

    def _enqueue(self, request: RequestInfo, now: float) -> Answer:
        position = self.waiting.count_team(request)
        excess = self._find_excess(request, position, now)
        if position >= MAX_QUEUED_PER_TEAM:
            return self._refuse(request, 'the queue is full', excess, now)
        if excess > 0:
            return self._refuse(request, LATE_REASON, excess, now)
        latest_start = request.deadline - self.estimate(request)
        self.waiting.push(request, latest_start)
        return Answer(Decision.QUEUED)

    def _refuse(
        self, request: RequestInfo, reason: str, excess: float, now: float
    ) -> Answer:
        retry_after = self.suggest_return(request, now, excess)
        return Answer(Decision.REFUSED, reason, retry_after)

    def _shed(self, now: float) -> tuple[RequestInfo, ...]:
        shed = tuple(
            request
            for position, request in self.waiting.list_positions()
            if not self.places.limit.size
            or self._find_excess(request, position, now) > 0
        )
        for request in shed:
            self.waiting.remove(request)
        return shed

    def _find_pace(self) -> float:
        return self._times.mean / max(self.places.limit.size, 1)

    def _find_excess(
        self, request: RequestInfo, position: int, now: float
    ) -> float:
        turns = self.waiting.count_ahead(request, position) + 1
        wait = turns * self._find_pace()
        return now + wait + self.estimate(request) - request.deadline
