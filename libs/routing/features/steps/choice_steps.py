"""Steps for endpoint selection, in virtual time and with a fixed seed."""

import heapq
import itertools
import random

from behave import given, then, when

from tarragonlb.routing.balancer import Balancer, Endpoint
from tarragonlb.routing.endpointhealth import Outcome
from tarragonlb.routing.retry import RetryBudget

SEED = 7
SERVICE_SECONDS = 0.1
FAST_SECONDS = 0.001


def make_endpoint(zone, index):
    return Endpoint(
        vm_id=f'{zone}-{index}', address='127.0.0.1:1', zone=zone, slots=8
    )


def start(context, endpoints):
    context.balancer = Balancer('a', random.Random(SEED))
    context.balancer.update_endpoints(endpoints, 0)
    context.endpoints = endpoints
    context.sent = {endpoint.vm_id: 0 for endpoint in endpoints}
    context.now = 0.0
    context.attempts = {}


@given('{count:d} endpoints in zone "a" of which {faulty:d} fails at once')
@given('{count:d} endpoints in zone "a" of which {faulty:d} fail at once')
def start_failing(context, count, faulty):
    start(context, [make_endpoint('a', index) for index in range(count)])
    for index in range(faulty):
        context.attempts[f'a-{index}'] = lambda: (FAST_SECONDS, Outcome.FAILED)


@given('6 endpoints in zone "a" of which 1 fails every second request')
def start_flaky(context):
    start(context, [make_endpoint('a', index) for index in range(6)])
    outcomes = itertools.cycle(
        (
            (FAST_SECONDS, Outcome.FAILED),
            (SERVICE_SECONDS, Outcome.ANSWERED),
        )
    )
    context.attempts['a-0'] = lambda: next(outcomes)


@given('6 endpoints in zone "a" of which 1 is ten times slower')
def start_slow(context):
    start(context, [make_endpoint('a', index) for index in range(6)])
    context.attempts['a-0'] = lambda: (1.0, Outcome.ANSWERED)


@given('2 endpoints in zone "a" of which 1 is slow in its first request')
def start_once_slow(context):
    start(context, [make_endpoint('a', index) for index in range(2)])
    first = iter([(1.0, Outcome.ANSWERED)])
    usual = (SERVICE_SECONDS, Outcome.ANSWERED)
    context.attempts['a-0'] = lambda: next(first, usual)


@then('the one that was slow got at least 100 of them')
def check_again(context):
    assert context.sent['a-0'] >= 100, context.sent


@given('2 endpoints in zone "a" and 2 in zone "b"')
def start_zones(context):
    start(
        context,
        [make_endpoint(zone, index) for zone in 'ab' for index in range(2)],
    )


@when('{count:d} requests are sent, {at_once:d} at a time')
def send(context, count, at_once):
    ends = []
    for number in range(count):
        if number >= at_once:
            finish_next(context, ends)
        endpoint = context.balancer.choose(context.now)
        assert endpoint is not None
        context.balancer.record_start(endpoint.vm_id)
        context.sent[endpoint.vm_id] += 1
        attempt = context.attempts.get(endpoint.vm_id)
        seconds, outcome = (
            attempt() if attempt else (SERVICE_SECONDS, Outcome.ANSWERED)
        )
        end = (context.now + seconds, number, endpoint.vm_id, seconds, outcome)
        heapq.heappush(ends, end)
    while ends:
        finish_next(context, ends)


def finish_next(context, ends):
    context.now, _, vm_id, seconds, outcome = heapq.heappop(ends)
    context.balancer.record_end(vm_id, outcome, seconds, context.now)


@then('the failing one got fewer than {limit:d} of them')
@then('the slow one got fewer than {limit:d} of them')
def check_few(context, limit):
    assert context.sent['a-0'] < limit, context.sent


@then('at most 3 endpoints are ejected and requests are still sent')
def check_cap(context):
    assert context.balancer.count_ejected(context.now) <= 3
    assert context.balancer.choose(context.now) is not None


@when('the failing one recovers and its ejection ends')
def recover(context):
    assert context.balancer.count_ejected(context.now) == 1
    context.now += 60
    assert context.balancer.count_ejected(context.now) == 0


@then('it gets 1 request until one succeeds, then 1, then 4, then 8')
def check_slow_start(context):
    balancer = context.balancer
    usable_slots = [balancer.count_usable_slots(context.now) - 8]
    balancer.record_start('a-0')
    balancer.record_end('a-0', Outcome.ANSWERED, SERVICE_SECONDS, context.now)
    for seconds in (0, 5, 5):
        context.now += seconds
        usable_slots.append(balancer.count_usable_slots(context.now) - 8)
    assert usable_slots == [1, 1, 4, 8], usable_slots


@when('20 requests are sent that do not end')
def hold(context):
    for _ in range(20):
        endpoint = context.balancer.choose(context.now)
        context.balancer.record_start(endpoint.vm_id)
        context.sent[endpoint.vm_id] += 1


@then('16 went to zone "a" and 4 to zone "b"')
def check_zones(context):
    local = context.sent['a-0'] + context.sent['a-1']
    assert (local, sum(context.sent.values())) == (16, 20)


@when('both endpoints of zone "a" refuse a request')
def refuse(context):
    for vm_id in ('a-0', 'a-1'):
        context.balancer.record_start(vm_id)
        context.balancer.record_end(vm_id, Outcome.BUSY, 0, context.now)


@then('the next request goes to zone "{zone}"')
def check_next(context, zone):
    assert context.balancer.choose(context.now).zone == zone


@then('a request one second later goes to zone "{zone}"')
def check_later(context, zone):
    assert context.balancer.choose(context.now + 1).zone == zone


@given('a retry budget')
def start_budget(context):
    context.budget = RetryBudget()


@when('1000 requests are sent and every attempt fails')
def fail_all(context):
    context.granted = 0
    for _ in range(1000):
        context.budget.earn()
        while context.budget.spend():
            context.granted += 1


@then('at most 110 retries are granted')
def check_budget(context):
    assert 100 <= context.granted <= 110, context.granted
