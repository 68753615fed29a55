"""Admission control: start, queue or refuse each request of a pool.

A request either gets a permit to use the endpoints of its pool or waits in the
queue of its team and class.  Urgent queues are served before patient ones, and
teams share the permits by weighted round robin.

The deadline is checked on arrival against the expected wait, while the request
waits, and when it reaches the head of its queue.  A request that can no longer
meet its deadline is dropped at that moment, not when the deadline passes.
"""

import enum
from dataclasses import dataclass

from tarragonlb.routing.permits import Permits
from tarragonlb.routing.request import RequestInfo
from tarragonlb.routing.requestqueue import RequestQueue
from tarragonlb.routing.retryafter import RetryAfterPacing
from tarragonlb.routing.servicetime import ServiceTimes

MAX_QUEUED_PER_TEAM = 256
LATE_REASON = 'the deadline can not be met'


class Decision(enum.Enum):
    """Outcome of offering a request to admission control."""

    ADMITTED = 'admitted'
    QUEUED = 'queued'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True)
class AdmissionResult:
    """A decision and, for a refusal, its reason and retry time."""

    decision: Decision
    reason: str = ''
    retry_after: float = 0


@dataclass(frozen=True, slots=True)
class QueueChanges:
    """Requests that left the queue: started or dropped."""

    started: tuple[RequestInfo, ...] = ()
    dropped: tuple[RequestInfo, ...] = ()


class Admission:
    """Permits and queue of one pool, as seen by one entry VM.

    Callers release permits and remove queued requests directly on ``permits``
    and ``queue``, and then call ``advance`` to start the next requests.
    """

    __slots__ = ('_pacing', '_times', 'permits', 'queue')

    def __init__(self) -> None:
        """Start without endpoints."""
        self.permits = Permits()
        self.queue = RequestQueue()
        self._times = ServiceTimes()
        self._pacing = RetryAfterPacing()

    def update_slots(self, slots: int, now: float) -> QueueChanges:
        """Set the number of slots; active requests continue.

        If the pool has shrunk, queued requests that it can no longer serve in
        time are dropped, and all of them if no endpoint is left.
        """
        has_shrunk = slots < self.permits.limit.declared
        self.permits.limit.resize(slots)
        dropped = self._drop_unservable(now) if has_shrunk else ()
        changes = self.advance(now)
        return QueueChanges(changes.started, dropped + changes.dropped)

    def offer(self, request: RequestInfo, now: float) -> AdmissionResult:
        """Admit, queue or refuse a request that has arrived."""
        urgent = request.urgent
        self.permits.record_arrival(request, now)
        if self.permits.limit.size < 1:
            return self._refuse(request, 'no endpoint is available', 0, now)
        if self.is_late(request, now):
            return self._refuse(request, LATE_REASON, 0, now)
        blocked = self.queue.is_blocked(urgent=urgent)
        if not blocked and self.permits.is_available(urgent=urgent, now=now):
            self.permits.acquire(request)
            return AdmissionResult(Decision.ADMITTED)
        return self._enqueue(request, now)

    def record_answer(self, request: RequestInfo, seconds: float) -> None:
        """Record an answered request and how long it held its endpoint."""
        self._times.record(request.service, seconds)
        self.permits.limit.grow(self.permits.active)

    def record_refusal(self, now: float) -> None:
        """Record that an endpoint refused a request for lack of a slot."""
        self.permits.limit.shrink(now, self._times.mean)

    def advance(self, now: float) -> QueueChanges:
        """Drop requests that are too late and start those that get a permit."""
        dropped = self.queue.expire(now)
        started: list[RequestInfo] = []
        for urgent in (True, False):
            while self.permits.is_available(urgent=urgent, now=now):
                request = self.queue.pop(urgent=urgent)
                if request is None:
                    break
                self._start_or_drop(request, started, dropped, now)
        return QueueChanges(tuple(started), tuple(dropped))

    def is_late(self, request: RequestInfo, now: float) -> bool:
        """Return whether a request would miss its deadline if started now."""
        return request.deadline - self.estimate_seconds(request) <= now

    def estimate_seconds(self, request: RequestInfo) -> float:
        """Return the expected seconds that a request holds its endpoint."""
        return self._times.estimate(request.service)

    def suggest_retry_after(
        self, request: RequestInfo, now: float, earliest: float = 0
    ) -> float:
        """Return the seconds after which a refused caller should retry."""
        return self._pacing.suggest(
            now,
            urgent=request.urgent,
            interval=self._estimate_interval(),
            earliest=earliest,
        )

    def _start_or_drop(
        self,
        request: RequestInfo,
        started: list[RequestInfo],
        dropped: list[RequestInfo],
        now: float,
    ) -> None:
        if self.is_late(request, now):
            dropped.append(request)
        else:
            self.permits.acquire(request)
            started.append(request)

    def _enqueue(self, request: RequestInfo, now: float) -> AdmissionResult:
        position = self.queue.count_team(request)
        overrun = self._estimate_overrun(request, position, now)
        if position >= MAX_QUEUED_PER_TEAM:
            return self._refuse(request, 'the queue is full', overrun, now)
        if overrun > 0:
            return self._refuse(request, LATE_REASON, overrun, now)
        latest_start = request.deadline - self.estimate_seconds(request)
        self.queue.push(request, latest_start)
        return AdmissionResult(Decision.QUEUED)

    def _refuse(
        self, request: RequestInfo, reason: str, overrun: float, now: float
    ) -> AdmissionResult:
        retry_after = self.suggest_retry_after(request, now, overrun)
        return AdmissionResult(Decision.REFUSED, reason, retry_after)

    def _drop_unservable(self, now: float) -> tuple[RequestInfo, ...]:
        dropped = tuple(
            request
            for position, request in self.queue.list_positions()
            if not self.permits.limit.size
            or self._estimate_overrun(request, position, now) > 0
        )
        for request in dropped:
            self.queue.remove(request)
        return dropped

    def _estimate_interval(self) -> float:
        return self._times.mean / max(self.permits.limit.size, 1)

    def _estimate_overrun(
        self, request: RequestInfo, position: int, now: float
    ) -> float:
        starts = self.queue.count_ahead(request, position) + 1
        wait = starts * self._estimate_interval()
        return now + wait + self.estimate_seconds(request) - request.deadline
