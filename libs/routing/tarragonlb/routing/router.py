"""Request router of one pool: typed events in, typed actions out.

The router combines admission control, endpoint selection and the retry budget,
and tracks each request from its arrival to its end.  A driver (the daemon, a
test or a benchmark) calls ``handle`` with each event and executes the actions.
"""

import random
from collections.abc import Callable, Iterable
from typing import Any, TypeAlias

from tarragonlb.model.invariant import ensure
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.action import Action, Refuse, Send
from tarragonlb.routing.admission import (
    LATE_REASON,
    Admission,
    Decision,
    QueueChanges,
)
from tarragonlb.routing.backoff import BackoffQueue
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
DEADLINE_PASSED_REASON = 'the deadline has passed'

Handler: TypeAlias = Callable[[Any, float], Iterable[Action]]


class PoolRouter:
    """Routes all requests to one pool.

    ``requests`` maps request ids to the requests that have not ended.
    """

    __slots__ = (
        '_backoff',
        '_handlers',
        '_refresh_at',
        '_retry_budget',
        'admission',
        'balancer',
        'requests',
    )

    def __init__(
        self, zone: str, rng: random.Random, retry_budget: RetryBudget
    ) -> None:
        """Start without endpoints; all pools share ``retry_budget``."""
        self.admission = Admission()
        self.balancer = Balancer(zone, rng)
        self._retry_budget = retry_budget
        self._backoff = BackoffQueue()
        self.requests: dict[str, RequestState] = {}
        self._refresh_at = float('inf')
        self._handlers: dict[type[Event], Handler] = {
            RequestArrived: self._handle_arrival,
            AttemptEnded: self._handle_attempt_end,
            RequestCancelled: self._handle_withdrawal,
            DeadlinePassed: self._handle_withdrawal,
            EndpointsChanged: self._handle_endpoint_change,
        }

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that follow from an event."""
        actions: list[Action] = []
        if not isinstance(event, TimePassed):
            actions.extend(self._handlers[type(event)](event, now))
        actions.extend(self._advance(now))
        ensure(
            self.admission.permits.active + self.admission.queue.count()
            == len(self.requests),
            'each request that has not ended holds a permit or is queued',
        )
        return tuple(actions)

    def find_next_wake(self) -> float:
        """Return the time at which ``TimePassed`` is due at the latest."""
        return min(
            self.admission.queue.find_next_expiry(),
            self._backoff.find_next_retry(),
            self._refresh_at,
        )

    def can_replace_attempt(self, request_id: str, now: float) -> bool:
        """Return whether a silent attempt should be replaced by a new one.

        The new attempt may take as long as this one has, so that much time must
        be left; otherwise it is better to wait for the answer.
        """
        state = self.requests.get(request_id)
        if state is None or not self._retry_budget.has_reserve():
            return False
        elapsed = now - state.sent_at
        if now + elapsed > state.request.deadline:
            return False
        if self.admission.is_late(state.request, now):
            return False
        return self.balancer.choose(now) is not None

    def _handle_arrival(
        self, event: RequestArrived, now: float
    ) -> Iterable[Action]:
        request = event.request
        request_id = request.request_id
        ensure(
            request_id not in self.requests,
            'each request arrives only once',
            request_id,
        )
        result = self.admission.offer(request, now)
        if result.decision is Decision.REFUSED:
            return [
                Refuse(
                    request, result.reason, Verdict.NOT_RUN, result.retry_after
                )
            ]
        self.requests[request_id] = RequestState(request)
        if result.decision is Decision.QUEUED:
            return []
        return self._apply_changes(QueueChanges((request,)), now)

    def _handle_attempt_end(
        self, event: AttemptEnded, now: float
    ) -> Iterable[Action]:
        state = self.requests[event.request_id]
        self._record_attempt_end(state, event.outcome, now)
        if event.outcome in FINAL_OUTCOMES:
            self._end_request(state)
            return []
        endpoint = self._choose_retry_endpoint(state, event, now)
        if endpoint:
            return [self._send(state, endpoint, now)]
        if event.outcome is Outcome.BUSY and event.replayable:
            self._backoff.add(event.request_id, state.refusals, now)
            return []
        self._end_request(state)
        return [self._refuse(state, event.reason, now)]

    def _handle_withdrawal(
        self, event: RequestCancelled | DeadlinePassed, now: float
    ) -> Iterable[Action]:
        state = self.requests.get(event.request_id)
        if state is None:
            return []
        cancelled = isinstance(event, RequestCancelled)
        if self.admission.queue.remove(state.request):
            self.requests.pop(event.request_id)
        else:
            outcome = Outcome.ABANDONED if cancelled else Outcome.TIMED_OUT
            self._record_attempt_end(state, outcome, now)
            self._end_request(state)
        if cancelled:
            return []
        return [self._refuse(state, DEADLINE_PASSED_REASON, now)]

    def _handle_endpoint_change(
        self, event: EndpointsChanged, now: float
    ) -> Iterable[Action]:
        self.balancer.update_endpoints(event.endpoints, now)
        self._refresh_at = now
        return []

    def _advance(self, now: float) -> Iterable[Action]:
        actions: list[Action] = []
        for request_id in self._backoff.pop_due(now):
            state = self.requests.get(request_id)
            if state:
                actions.extend(self._send_or_wait(state, now))
        if now >= self._refresh_at:
            return [*actions, *self._refresh_slots(now)]
        changes = self.admission.advance(now)
        return [*actions, *self._apply_changes(changes, now)]

    def _send_or_wait(self, state: RequestState, now: float) -> list[Action]:
        request = state.request
        if self.admission.is_late(request, now):
            self._end_request(state)
            return [self._refuse(state, LATE_REASON, now)]
        endpoint = self.balancer.choose(now)
        if endpoint:
            return [self._send(state, endpoint, now)]
        if self.balancer.count_declared_slots():
            self._backoff.add(request.request_id, state.refusals, now)
            return []
        self._end_request(state)
        return [self._refuse(state, 'no endpoint is available', now)]

    def _refresh_slots(self, now: float) -> Iterable[Action]:
        slots = self.balancer.count_usable_slots(now)
        degraded = slots < self.balancer.count_declared_slots()
        self._refresh_at = now + REFRESH_SECONDS if degraded else float('inf')
        return self._apply_changes(self.admission.update_slots(slots, now), now)

    def _record_attempt_end(
        self, state: RequestState, outcome: Outcome, now: float
    ) -> None:
        endpoint = state.end_attempt(outcome)
        if endpoint is None:
            return
        seconds = now - state.sent_at
        self.balancer.record_end(endpoint.vm_id, outcome, seconds, now)
        if outcome is Outcome.ANSWERED:
            self.admission.record_answer(state.request, seconds)
        if outcome in OVERLOAD_OUTCOMES:
            self.admission.record_refusal(now)
        if outcome in FAILURES:
            self._refresh_at = now

    def _end_request(self, state: RequestState) -> None:
        self.requests.pop(state.request.request_id)
        self.admission.permits.release(state.request)

    def _choose_retry_endpoint(
        self, state: RequestState, event: AttemptEnded, now: float
    ) -> Endpoint | None:
        if not (event.replayable and state.can_send()):
            return None
        if self.admission.is_late(state.request, now):
            return None
        endpoint = self.balancer.choose(now, state.tried_vm_ids)
        if endpoint is None and event.outcome in CONNECTION_FAULTS:
            endpoint = self.balancer.choose(now)
        if endpoint and self._retry_budget.spend():
            return endpoint
        return None

    def _apply_changes(self, changes: QueueChanges, now: float) -> list[Action]:
        actions: list[Action] = []
        for dropped in changes.dropped:
            state = self.requests.pop(dropped.request_id)
            actions.append(self._refuse(state, LATE_REASON, now))
        for started in changes.started:
            state = self.requests[started.request_id]
            actions.extend(self._send_or_wait(state, now))
        return actions

    def _send(
        self, state: RequestState, endpoint: Endpoint, now: float
    ) -> Send:
        if not state.tried_vm_ids:
            self._retry_budget.earn()
        new_connection = state.needs_new_connection
        state.start_attempt(endpoint, now)
        self.balancer.record_start(endpoint.vm_id)
        silence_seconds = None
        if state.request.idempotent and not new_connection:
            expected = self.admission.estimate_seconds(state.request)
            half_remaining = (state.request.deadline - now) / 2
            scaled = expected * SILENCE_FACTOR
            silence_seconds = max(MIN_SILENCE_SECONDS, scaled, half_remaining)
        return Send(state.request, endpoint, new_connection, silence_seconds)

    def _refuse(self, state: RequestState, reason: str, now: float) -> Refuse:
        request = state.request
        retry_after = None
        if state.can_send():
            retry_after = self.admission.suggest_retry_after(request, now)
        return Refuse(request, reason, state.verdict, retry_after)
