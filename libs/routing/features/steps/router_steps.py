"""Steps for the request router."""

import random

from behave import given, then, when
from router_machine import run_router_machine

from tarragonlb.routing.action import Refuse
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.endpointhealth import Outcome
from tarragonlb.routing.event import (
    AttemptEnded,
    EndpointsChanged,
    RequestArrived,
)
from tarragonlb.routing.request import RequestInfo
from tarragonlb.routing.retry import RetryBudget
from tarragonlb.routing.router import PoolRouter


@then('{streams:d} random streams of {steps:d} events violate no invariant')
def check_streams(context, streams, steps):
    assert run_router_machine(None, streams, steps) > streams


@given('a router with {count:d} endpoints and retries in reserve')
def create_router(context, count):
    context.router = PoolRouter('a', random.Random(1), RetryBudget())
    endpoints = tuple(
        Endpoint(
            vm_id=f'vm-{number}',
            address=f'127.0.0.1:{number + 1}',
            zone='a',
            slots=4,
        )
        for number in range(count)
    )
    context.router.handle(EndpointsChanged(endpoints), 0.0)


@when('an idempotent request arrives and each endpoint breaks its connection')
def break_all(context):
    play(context, [Outcome.BROKEN] * 20)


@when('an idempotent request arrives and {count:d} endpoints are not reached')
def reach_none(context, count):
    play(context, [Outcome.NOT_SENT] * count)


def play(context, outcomes):
    request = RequestInfo(
        request_id='r',
        team='x',
        service='x',
        pool='p',
        urgent=False,
        idempotent=True,
        deadline=30.0,
    )
    actions = list(context.router.handle(RequestArrived(request), 0.1))
    context.sends = []
    for outcome in outcomes:
        if isinstance(actions[0], Refuse):
            break
        context.sends.append(actions[0].endpoint.vm_id)
        actions = list(
            context.router.handle(AttemptEnded('r', outcome, 'broke'), 0.2)
        )
    else:
        context.sends.append(actions[0].endpoint.vm_id)
    context.last_action = actions[0]


@then('it was sent {count:d} times')
def check_sends(context, count):
    assert len(context.sends) == count, context.sends


@then('it is refused as "{verdict}"')
def check_refused(context, verdict):
    assert isinstance(context.last_action, Refuse), context.last_action
    assert context.last_action.verdict.value == verdict, context.last_action
