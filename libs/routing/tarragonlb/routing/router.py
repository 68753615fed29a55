"""The routing front of one pool: typed events in, typed actions out.

It joins admission, endpoint choice and the retry budget, and follows each
request from its arrival to its end.  A driver (the daemon, a test, a bench)
calls ``handle`` with what has happened and carries out the actions.
"""

import random
from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

from tarragonlb.model.invariant import ensure
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.action import Action, Refuse, Send
from tarragonlb.routing.admission import LATE_REASON, Admission, Decision, Pass
from tarragonlb.routing.backoff import Parking
from tarragonlb.routing.balancer import Balancer, Endpoint
from tarragonlb.routing.endpointhealth import FAILURES, Outcome
from tarragonlb.routing.event import (
    AttemptEnded,
    DeadlinePassed,
    EndpointsChanged,
    Event,
    RequestArrived,
    RequestCancelled,
    TimePassed,
)
from tarragonlb.routing.requeststate import (
    CONNECTION_FAULTS,
    FINAL_OUTCOMES,
    OVERLOAD_OUTCOMES,
    RequestState,
)
from tarragonlb.routing.retry import RetryBudget

REFRESH_SECONDS = 1.0
MIN_SILENCE_SECONDS = 1.0
SILENCE_FACTOR = 8
OVERDUE_REASON = 'the deadline has passed'

Handler: TypeAlias = Callable[[Any, float], Iterable[Action]]


class PoolRouter:
    """Decides on all requests to one pool.

    ``requests`` holds the requests that have not ended, by their ids.
    """

    __slots__ = (
        '_handlers',
        'requests',
        '_parking',
        '_refresh_at',
        '_retries',
        'admission',
        'balancer',
    )

    def __init__(
        self, zone: str, source: random.Random, retries: RetryBudget
    ) -> None:
        """Start without endpoints; ``retries`` is shared by all pools."""
        self.admission = Admission()
        self.balancer = Balancer(zone, source)
        self._retries = retries
        self._parking = Parking()
        self.requests: dict[str, RequestState] = {}
        self._refresh_at = float('inf')
        self._handlers: dict[type[Event], Handler] = {
            RequestArrived: self._arrive,
            AttemptEnded: self._end_attempt,
            RequestCancelled: self._drop,
            DeadlinePassed: self._drop,
            EndpointsChanged: self._change_endpoints,
        }

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return what is to be done now that something has happened."""
        actions: list[Action] = []
        if not isinstance(event, TimePassed):
            actions.extend(self._handlers[type(event)](event, now))
        actions.extend(self._advance(now))
        ensure(
            self.admission.places.active + self.admission.waiting.count()
            == len(self.requests),
            'each request that has not ended holds a place or waits',
        )
        return tuple(actions)

    def find_next_wake(self) -> float:
        """Return when ``TimePassed`` is due at the latest."""
        return min(
            self.admission.waiting.find_next_expiry(),
            self._parking.find_next(),
            self._refresh_at,
        )

    def can_replace_attempt(self, request_id: str, now: float) -> bool:
        """Return whether a silent attempt should be given up for another.

        Another one may take as long as this one has, so that much time must
        be left; else the answer that may still come is worth more.
        """
        journey = self.requests.get(request_id)
        if journey is None or not self._retries.has_reserve():
            return False
        elapsed = now - journey.sent_at
        if now + elapsed > journey.request.deadline:
            return False
        if self.admission.is_late(journey.request, now):
            return False
        return self.balancer.choose(now) is not None

    def _arrive(self, event: RequestArrived, now: float) -> Iterable[Action]:
        request = event.request
        name = request.request_id
        ensure(name not in self.requests, 'a request arrives once', name)
        answer = self.admission.offer(request, now)
        if answer.decision is Decision.REFUSED:
            return [
                Refuse(
                    request, answer.reason, Verdict.NOT_RUN, answer.retry_after
                )
            ]
        self.requests[name] = RequestState(request)
        if answer.decision is Decision.QUEUED:
            return []
        return self._carry_out(Pass((request,)), now)

    def _end_attempt(self, event: AttemptEnded, now: float) -> Iterable[Action]:
        journey = self.requests[event.request_id]
        self._count_end(journey, event.outcome, now)
        if event.outcome in FINAL_OUTCOMES:
            self._finish(journey)
            return []
        endpoint = self._find_retry(journey, event, now)
        if endpoint:
            return [self._send(journey, endpoint, now)]
        if event.outcome is Outcome.BUSY and event.replayable:
            self._parking.park(event.request_id, journey.refusals, now)
            return []
        self._finish(journey)
        return [self._refuse(journey, event.reason, now)]

    def _drop(
        self, event: RequestCancelled | DeadlinePassed, now: float
    ) -> Iterable[Action]:
        journey = self.requests.get(event.request_id)
        if journey is None:
            return []
        left = isinstance(event, RequestCancelled)
        if self.admission.waiting.remove(journey.request):
            self.requests.pop(event.request_id)
        else:
            outcome = Outcome.ABANDONED if left else Outcome.TIMED_OUT
            self._count_end(journey, outcome, now)
            self._finish(journey)
        if left:
            return []
        return [self._refuse(journey, OVERDUE_REASON, now)]

    def _change_endpoints(
        self, event: EndpointsChanged, now: float
    ) -> Iterable[Action]:
        self.balancer.replace(event.endpoints, now)
        self._refresh_at = now
        return []

    def _advance(self, now: float) -> Iterable[Action]:
        actions: list[Action] = []
        for request_id in self._parking.resume(now):
            journey = self.requests.get(request_id)
            if journey:
                actions.extend(self._resume(journey, now))
        if now >= self._refresh_at:
            return [*actions, *self._refresh(now)]
        done = self.admission.advance(now)
        return [*actions, *self._carry_out(done, now)]

    def _resume(self, journey: RequestState, now: float) -> list[Action]:
        request = journey.request
        if self.admission.is_late(request, now):
            self._finish(journey)
            return [self._refuse(journey, LATE_REASON, now)]
        endpoint = self.balancer.choose(now)
        if endpoint:
            return [self._send(journey, endpoint, now)]
        if self.balancer.count_declared():
            self._parking.park(request.request_id, journey.refusals, now)
            return []
        self._finish(journey)
        return [self._refuse(journey, 'no endpoint is available', now)]

    def _refresh(self, now: float) -> Iterable[Action]:
        slots = self.balancer.count_slots(now)
        degraded = slots < self.balancer.count_declared()
        self._refresh_at = now + REFRESH_SECONDS if degraded else float('inf')
        return self._carry_out(self.admission.declare(slots, now), now)

    def _count_end(
        self, journey: RequestState, outcome: Outcome, now: float
    ) -> None:
        endpoint = journey.end(outcome)
        if endpoint is None:
            return
        seconds = now - journey.sent_at
        self.balancer.finish(endpoint.vm_id, outcome, seconds, now)
        if outcome is Outcome.ANSWERED:
            self.admission.learn(journey.request, seconds)
        if outcome in OVERLOAD_OUTCOMES:
            self.admission.slow_down(now)
        if outcome in FAILURES:
            self._refresh_at = now

    def _finish(self, journey: RequestState) -> None:
        self.requests.pop(journey.request.request_id)
        self.admission.places.release(journey.request)

    def _find_retry(
        self, journey: RequestState, event: AttemptEnded, now: float
    ) -> Endpoint | None:
        if not (event.replayable and journey.may_send()):
            return None
        if self.admission.is_late(journey.request, now):
            return None
        endpoint = self.balancer.choose(now, journey.tried)
        if endpoint is None and event.outcome in CONNECTION_FAULTS:
            endpoint = self.balancer.choose(now)
        if endpoint and self._retries.spend():
            return endpoint
        return None

    def _carry_out(self, done: Pass, now: float) -> list[Action]:
        actions: list[Action] = []
        for late in done.given_up:
            journey = self.requests.pop(late.request_id)
            actions.append(self._refuse(journey, LATE_REASON, now))
        for started in done.started:
            journey = self.requests[started.request_id]
            actions.extend(self._resume(journey, now))
        return actions

    def _send(
        self, journey: RequestState, endpoint: Endpoint, now: float
    ) -> Send:
        if not journey.tried:
            self._retries.earn()
        fresh = journey.needs_fresh
        journey.begin(endpoint, now)
        self.balancer.begin(endpoint.vm_id)
        silence = None
        if journey.request.idempotent and not fresh:
            expected = self.admission.estimate(journey.request)
            half = (journey.request.deadline - now) / 2
            usual = expected * SILENCE_FACTOR
            silence = max(MIN_SILENCE_SECONDS, usual, half)
        return Send(journey.request, endpoint, fresh, silence)

    def _refuse(self, journey: RequestState, reason: str, now: float) -> Refuse:
        request = journey.request
        retry_after = None
        if journey.may_send():
            retry_after = self.admission.suggest_return(request, now)
        return Refuse(request, reason, journey.verdict, retry_after)
