"""A Hypothesis state machine that drives the router against fake endpoints.

The machine takes the place of the daemon: it passes in events and executes the
actions.  The fake endpoints count which requests ran, and every verdict is
checked against these counts.
"""

import collections
import random

import hypothesis
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.action import Refuse
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.endpointhealth import Outcome
from tarragonlb.routing.event import (
    AttemptEnded,
    DeadlinePassed,
    EndpointsChanged,
    RequestArrived,
    RequestCancelled,
    TimePassed,
)
from tarragonlb.routing.request import RequestInfo
from tarragonlb.routing.retry import MAX_RESERVE, RETRY_SHARE, RetryBudget
from tarragonlb.routing.router import PoolRouter

ENDPOINTS = tuple(
    Endpoint(
        vm_id=f'{zone}-{index}',
        address=f'127.0.0.1:{index + 1}',
        zone=zone,
        slots=slots,
    )
    for zone, index, slots in (('a', 0, 8), ('a', 1, 3), ('b', 2, 5))
)
LAST_STEP_SECONDS = 100.0
ROUNDING = 1e-6
ALWAYS_RAN = (Outcome.ANSWERED, Outcome.FAILED, Outcome.CUT)
NEVER_RAN = (Outcome.BUSY, Outcome.NOT_SENT)
ENDING = (Outcome.ANSWERED, Outcome.FAILED, Outcome.CUT)
STEPS = {'count': 0}


class RouterMachine(RuleBasedStateMachine):
    """Callers, endpoints and time around one router."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        budget = RetryBudget()
        for _ in range(int(MAX_RESERVE) - 1):
            budget.spend()
        self.router = PoolRouter('a', random.Random(1), budget)
        self.live_ids = set()
        self.ended_ids = set()
        self.in_flight = {}
        self.runs = collections.Counter()
        self.unrepeatable_ids = set()
        self.listed_vm_ids = frozenset()
        self.first_attempts = 0
        self.retries = 0
        self.sent_ids = set()
        self.failed_ids = set()

    def handle(self, event):
        STEPS['count'] += 1
        event_request_id = getattr(event, 'request_id', None)
        for action in self.router.handle(event, self.now):
            request_id = action.request.request_id
            assert request_id in self.live_ids, ('ended twice', action)
            if isinstance(action, Refuse):
                self.check_refusal(action)
                self.end(request_id)
            else:
                self.check_send(action)
                self.retries += request_id == event_request_id
                self.in_flight[request_id] = action

    def check_refusal(self, action):
        request_id = action.request.request_id
        if action.verdict is Verdict.NOT_RUN:
            assert request_id not in self.runs, (
                'verdict not-run, but it ran',
                action,
            )
            assert action.retry_after > 1 - ROUNDING, action
        assert request_id not in self.in_flight, (
            'refused while an attempt is in progress',
            action,
        )
        assert action.reason != 'no endpoint is free', action

    def check_send(self, action):
        request_id = action.request.request_id
        assert request_id not in self.in_flight, ('sent twice at once', action)
        assert action.endpoint.vm_id in self.listed_vm_ids, (
            'sent to an endpoint that is not listed',
            action,
        )
        if not action.request.idempotent:
            assert request_id not in self.runs, (
                'sent again after it ran',
                action,
            )
        at_endpoint = sum(
            attempt.endpoint.vm_id == action.endpoint.vm_id
            for attempt in self.in_flight.values()
        )
        assert at_endpoint < action.endpoint.slots, (
            'more requests than slots',
            action,
        )
        assert action.new_connection == (request_id in self.failed_ids), action
        self.first_attempts += request_id not in self.sent_ids
        self.sent_ids.add(request_id)

    def end(self, request_id):
        self.live_ids.remove(request_id)
        self.ended_ids.add(request_id)

    @rule(
        team=strategies.sampled_from('xyz'),
        urgent=strategies.booleans(),
        idempotent=strategies.booleans(),
        timeout=strategies.sampled_from((2.0, 30.0, 0.3, 0.05)),
        count=strategies.integers(1, 6),
    )
    def arrive(self, team, urgent, idempotent, timeout, count):
        for _ in range(count):
            new_id = f'r{len(self.live_ids) + len(self.ended_ids)}'
            request = RequestInfo(
                request_id=new_id,
                team=team,
                service=team,
                pool='p',
                urgent=urgent,
                idempotent=idempotent,
                deadline=self.now + timeout,
                weight=1 + 'xyz'.index(team),
            )
            self.live_ids.add(new_id)
            if not idempotent:
                self.unrepeatable_ids.add(new_id)
            self.handle(RequestArrived(request))

    @precondition(lambda self: self.in_flight)
    @rule(count=strategies.integers(1, 6))
    def answer(self, count):
        for request_id in sorted(self.in_flight)[:count]:
            self.in_flight.pop(request_id)
            self.run_at_endpoint(request_id)
            self.end(request_id)
            self.handle(AttemptEnded(request_id, Outcome.ANSWERED))

    @precondition(lambda self: self.in_flight)
    @rule(count=strategies.integers(1, 8))
    def refuse(self, count):
        for request_id in sorted(self.in_flight)[:count]:
            self.in_flight.pop(request_id)
            self.handle(AttemptEnded(request_id, Outcome.BUSY, 'full'))

    @precondition(lambda self: self.in_flight)
    @rule(
        choice=strategies.integers(0, 1000),
        outcome=strategies.sampled_from(
            (
                Outcome.ANSWERED,
                Outcome.FAILED,
                Outcome.CUT,
                Outcome.BUSY,
                Outcome.NOT_SENT,
                Outcome.BROKEN,
                Outcome.SILENT,
            )
        ),
        ran=strategies.booleans(),
        replayable=strategies.booleans(),
    )
    def end_attempt(self, choice, outcome, ran, replayable):
        request_id = sorted(self.in_flight)[choice % len(self.in_flight)]
        self.in_flight.pop(request_id)
        if outcome in ALWAYS_RAN or (ran and outcome not in NEVER_RAN):
            self.run_at_endpoint(request_id)
        if outcome in ENDING:
            self.end(request_id)
        if outcome is not Outcome.BUSY:
            self.failed_ids.add(request_id)
        self.handle(AttemptEnded(request_id, outcome, 'reason', replayable))

    def run_at_endpoint(self, request_id):
        self.runs[request_id] += 1

    @precondition(lambda self: self.live_ids)
    @rule(
        choice=strategies.integers(0, 1000),
        ran=strategies.booleans(),
        count=strategies.sampled_from((1, 1, 8)),
    )
    def leave(self, choice, ran, count):
        request_ids = sorted(self.live_ids)
        for request_id in request_ids[choice % len(request_ids) :][:count]:
            if self.in_flight.pop(request_id, None) and ran:
                self.run_at_endpoint(request_id)
            self.end(request_id)
            self.handle(RequestCancelled(request_id))

    @initialize()
    def list_endpoints(self):
        self.set_endpoints(ENDPOINTS)

    @rule(
        removed=strategies.sets(strategies.sampled_from(ENDPOINTS)),
        remove_one=strategies.integers(0, 3),
    )
    def change_endpoints(self, removed, remove_one):
        if remove_one:
            removed = set(
                sorted(removed, key=lambda endpoint: endpoint.vm_id)[:1]
            )
        self.set_endpoints(set(ENDPOINTS) - removed)

    def set_endpoints(self, endpoints):
        self.listed_vm_ids = frozenset(endpoint.vm_id for endpoint in endpoints)
        ordered = sorted(endpoints, key=lambda endpoint: endpoint.vm_id)
        self.handle(EndpointsChanged(tuple(ordered)))

    @rule(seconds=strategies.sampled_from((0.1, 0.01, 0.03, 0.5, 2.0, 20.0)))
    def pass_time(self, seconds):
        until = self.now + seconds
        while True:
            wake = self.router.find_next_wake()
            self.now = max(self.now, min(wake, until))
            self.pass_deadlines()
            self.handle(TimePassed())
            assert self.router.find_next_wake() > self.now, 'wakes without need'
            if wake > until:
                break

    def pass_deadlines(self):
        for request_id in sorted(self.in_flight):
            attempt = self.in_flight.get(request_id)
            if attempt and attempt.request.deadline <= self.now:
                self.in_flight.pop(request_id)
                self.run_at_endpoint(request_id)
                self.handle(DeadlinePassed(request_id))

    @invariant()
    def urgent_requests_queue_only_without_permits(self):
        permits = self.router.admission.permits
        if self.router.admission.queue.is_blocked(urgent=True):
            assert permits.active >= permits.limit.size

    @invariant()
    def unrepeatable_requests_run_at_most_once(self):
        for request_id in self.unrepeatable_ids:
            assert self.runs[request_id] <= 1, request_id

    @invariant()
    def retries_stay_within_budget(self):
        granted = 1 + RETRY_SHARE * self.first_attempts
        assert self.retries <= granted + ROUNDING

    @invariant()
    def queued_requests_have_time_left(self):
        for _, request in self.router.admission.queue.list_positions():
            assert request.deadline > self.now, request

    def teardown(self):
        self.now += LAST_STEP_SECONDS
        self.pass_deadlines()
        self.handle(TimePassed())
        while self.in_flight:
            request_id = sorted(self.in_flight)[0]
            self.in_flight.pop(request_id)
            self.end(request_id)
            self.handle(AttemptEnded(request_id, Outcome.ANSWERED))
        assert not self.live_ids, ('never ended', self.live_ids)
        assert self.router.admission.permits.active == 0


def run_router_machine(seed, examples, steps):
    """Run the machine and return the number of events it passed in."""
    STEPS['count'] = 0
    settings = hypothesis.settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=seed is None,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    machine = RouterMachine
    if seed is not None:
        machine = hypothesis.seed(seed)(
            type('SeededRouterMachine', (RouterMachine,), {})
        )
    run_state_machine_as_test(machine, settings=settings)
    return STEPS['count']
