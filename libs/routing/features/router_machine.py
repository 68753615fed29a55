"""A Hypothesis machine that drives the routing front against fake endpoints.

The machine stands where the daemon does: it hands in events and carries out
actions.  Its endpoints keep a journal of what ran, which is the witness for
every verdict.
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
    """Callers, endpoints and time around one routing front."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        budget = RetryBudget()
        for _ in range(int(MAX_RESERVE) - 1):
            budget.spend()
        self.front = PoolRouter('a', random.Random(1), budget)
        self.live = set()
        self.ended = set()
        self.flights = {}
        self.journal = collections.Counter()
        self.unrepeatable = set()
        self.listed = frozenset()
        self.first_sends = 0
        self.retries = 0
        self.sent = set()
        self.failed = set()

    def tell(self, event):
        STEPS['count'] += 1
        told = getattr(event, 'request_id', None)
        for action in self.front.handle(event, self.now):
            name = action.request.request_id
            assert name in self.live, ('ended twice', action)
            if isinstance(action, Refuse):
                self.check_refusal(action)
                self.end(name)
            else:
                self.check_send(action)
                self.retries += name == told
                self.flights[name] = action

    def check_refusal(self, action):
        name = action.request.request_id
        if action.verdict is Verdict.NOT_RUN:
            assert name not in self.journal, ('not-run is a lie', action)
            assert action.retry_after > 1 - ROUNDING, action
        assert name not in self.flights, ('refused while on its way', action)
        assert action.reason != 'no endpoint is free', action

    def check_send(self, action):
        name = action.request.request_id
        assert name not in self.flights, ('sent twice at once', action)
        assert action.endpoint.vm_id in self.listed, ('left the list', action)
        if not action.request.idempotent:
            assert name not in self.journal, ('sent after it ran', action)
        at_endpoint = sum(
            flight.endpoint.vm_id == action.endpoint.vm_id
            for flight in self.flights.values()
        )
        assert at_endpoint < action.endpoint.slots, ('over the slots', action)
        assert action.new_connection == (name in self.failed), action
        self.first_sends += name not in self.sent
        self.sent.add(name)

    def end(self, name):
        self.live.remove(name)
        self.ended.add(name)

    @rule(
        team=strategies.sampled_from('xyz'),
        urgent=strategies.booleans(),
        idempotent=strategies.booleans(),
        timeout=strategies.sampled_from((2.0, 30.0, 0.3, 0.05)),
        count=strategies.integers(1, 6),
    )
    def arrive(self, team, urgent, idempotent, timeout, count):
        for _ in range(count):
            name = f'r{len(self.live) + len(self.ended)}'
            request = RequestInfo(
                request_id=name,
                team=team,
                service=team,
                pool='p',
                urgent=urgent,
                idempotent=idempotent,
                deadline=self.now + timeout,
                weight=1 + 'xyz'.index(team),
            )
            self.live.add(name)
            if not idempotent:
                self.unrepeatable.add(name)
            self.tell(RequestArrived(request))

    @precondition(lambda self: self.flights)
    @rule(count=strategies.integers(1, 6))
    def answer(self, count):
        for name in sorted(self.flights)[:count]:
            self.flights.pop(name)
            self.run_at_endpoint(name)
            self.end(name)
            self.tell(AttemptEnded(name, Outcome.ANSWERED))

    @precondition(lambda self: self.flights)
    @rule(count=strategies.integers(1, 8))
    def refuse(self, count):
        for name in sorted(self.flights)[:count]:
            self.flights.pop(name)
            self.tell(AttemptEnded(name, Outcome.BUSY, 'full'))

    @precondition(lambda self: self.flights)
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
        name = sorted(self.flights)[choice % len(self.flights)]
        self.flights.pop(name)
        if outcome in ALWAYS_RAN or (ran and outcome not in NEVER_RAN):
            self.run_at_endpoint(name)
        if outcome in ENDING:
            self.end(name)
        if outcome is not Outcome.BUSY:
            self.failed.add(name)
        self.tell(AttemptEnded(name, outcome, 'reason', replayable))

    def run_at_endpoint(self, name):
        self.journal[name] += 1

    @precondition(lambda self: self.live)
    @rule(
        choice=strategies.integers(0, 1000),
        ran=strategies.booleans(),
        count=strategies.sampled_from((1, 1, 8)),
    )
    def leave(self, choice, ran, count):
        names = sorted(self.live)
        for name in names[choice % len(names) :][:count]:
            if self.flights.pop(name, None) and ran:
                self.run_at_endpoint(name)
            self.end(name)
            self.tell(RequestCancelled(name))

    @initialize()
    def list_endpoints(self):
        self.list(ENDPOINTS)

    @rule(
        gone=strategies.sets(strategies.sampled_from(ENDPOINTS)),
        likely=strategies.integers(0, 3),
    )
    def change_endpoints(self, gone, likely):
        if likely:
            gone = set(sorted(gone, key=lambda spot: spot.vm_id)[:1])
        self.list(set(ENDPOINTS) - gone)

    def list(self, endpoints):
        self.listed = frozenset(spot.vm_id for spot in endpoints)
        ordered = sorted(endpoints, key=lambda spot: spot.vm_id)
        self.tell(EndpointsChanged(tuple(ordered)))

    @rule(seconds=strategies.sampled_from((0.1, 0.01, 0.03, 0.5, 2.0, 20.0)))
    def pass_time(self, seconds):
        until = self.now + seconds
        while True:
            wake = self.front.find_next_wake()
            self.now = max(self.now, min(wake, until))
            self.pass_deadlines()
            self.tell(TimePassed())
            assert self.front.find_next_wake() > self.now, 'wakes for nothing'
            if wake > until:
                break

    def pass_deadlines(self):
        for name in sorted(self.flights):
            flight = self.flights.get(name)
            if flight and flight.request.deadline <= self.now:
                self.flights.pop(name)
                self.run_at_endpoint(name)
                self.tell(DeadlinePassed(name))

    @invariant()
    def urgent_waits_only_for_a_place(self):
        places = self.front.admission.places
        if self.front.admission.waiting.is_blocked(urgent=True):
            assert places.active >= places.limit.size

    @invariant()
    def nothing_unrepeatable_ran_twice(self):
        for name in self.unrepeatable:
            assert self.journal[name] <= 1, name

    @invariant()
    def retries_stay_in_the_budget(self):
        granted = 1 + RETRY_SHARE * self.first_sends
        assert self.retries <= granted + ROUNDING

    @invariant()
    def waiting_ones_have_time_left(self):
        for _, request in self.front.admission.waiting.list_positions():
            assert request.deadline > self.now, request

    def teardown(self):
        self.now += LAST_STEP_SECONDS
        self.pass_deadlines()
        self.tell(TimePassed())
        while self.flights:
            name = sorted(self.flights)[0]
            self.flights.pop(name)
            self.end(name)
            self.tell(AttemptEnded(name, Outcome.ANSWERED))
        assert not self.live, ('never ended', self.live)
        assert self.front.admission.places.active == 0


def run_router_machine(seed, examples, steps):
    """Run the machine and return how many events the front was told."""
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
