"""Steps for admission control."""

import sys
from itertools import pairwise

from behave import given, then, when

from tarragonlb.routing.admission import Admission, Decision
from tarragonlb.routing.limit import ConcurrencyLimit
from tarragonlb.routing.request import RequestInfo

FAR_DEADLINE = 1000.0


def make_request(name, team='a', urgent=True, deadline=FAR_DEADLINE, weight=1):
    return RequestInfo(
        request_id=name,
        team=team,
        service='s',
        pool='p',
        urgent=urgent,
        idempotent=False,
        deadline=deadline,
        weight=weight,
    )


def offer_many(context, count, prefix, **properties):
    requests = [
        make_request(f'{prefix}{index}', **properties) for index in range(count)
    ]
    answers = [context.pool.offer(request, 0) for request in requests]
    for request, answer in zip(requests, answers, strict=True):
        if answer.decision is Decision.ADMITTED:
            context.active.append(request)
        elif answer.decision is Decision.REFUSED:
            context.refused.append(answer)
    context.answer = answers[-1]


@given('a pool with {permits:d} permits and urgent callers')
def start(context, permits):
    context.pool = Admission()
    context.pool.permits.limit.resize(permits * 4)
    context.pool.permits.limit.declared = permits
    context.active = []
    context.refused = []
    context.started = []
    assert context.pool.permits.limit.size == permits
    first = make_request('first')
    assert context.pool.offer(first, 0).decision is Decision.ADMITTED
    context.active.append(first)


@when('{count:d} patient requests arrive')
def offer_patient(context, count):
    offer_many(context, count, 'patient', urgent=False)


@when('{count:d} urgent requests arrive')
def offer_urgent(context, count):
    offer_many(
        context, count, 'urgent', deadline=FAR_DEADLINE if count < 150 else 12
    )


@when('an urgent request arrives')
def offer_one(context):
    offer_many(context, 1, 'single')


@then('the urgent request is admitted')
def check_admitted(context):
    assert context.answer.decision is Decision.ADMITTED


@when('a permit becomes free')
def release_permit(context):
    last = len(context.active) - 1
    context.pool.permits.release(context.active.pop(min(1, last)))
    started = context.pool.advance(0).started
    context.started.extend(started)
    context.active.extend(started)


@when('{count:d} permits become free in turn')
def release_permits(context, count):
    for _ in range(count):
        release_permit(context)


@then('an urgent request starts')
def check_urgent(context):
    assert [request.urgent for request in context.started] == [True]


@when('team "a" of weight 3 and team "b" of weight 1 queue 40 requests each')
def queue_teams(context):
    for index in range(40):
        offer_many(context, 1, f'a{index}', team='a', weight=3)
        offer_many(context, 1, f'b{index}', team='b')


@then('team "a" has started {first:d} and team "b" {second:d}')
def check_shares(context, first, second):
    teams = [request.team for request in context.started]
    assert (teams.count('a'), teams.count('b')) == (first, second), teams


@when('team "a" of weight 1 queues 200 requests')
def queue_burst(context):
    offer_many(context, 200, 'a', team='a')


@when('team "b" sends a request with {seconds:g} seconds left')
def offer_other(context, seconds):
    offer_many(context, 1, 'b', team='b', deadline=seconds)


@then('the request of team "b" is queued')
def check_queued(context):
    assert context.answer.decision is Decision.QUEUED, context.answer


@when('a request is queued whose deadline is in 2 seconds')
def queue_short(context):
    offer_many(context, 1, 'short', deadline=2.0)
    assert context.answer.decision is Decision.QUEUED


@then('it is dropped after 1.9 seconds, before its deadline')
def check_dropped(context):
    assert context.pool.queue.find_next_expiry() == 1.9
    assert context.pool.advance(1.89).dropped == ()
    dropped = context.pool.advance(1.9).dropped
    assert [request.request_id for request in dropped] == ['short0']


@when('no endpoint is left')
def remove_endpoints(context):
    context.queued = context.pool.queue.count()
    context.changes = context.pool.update_slots(0, 0)


@then('all queued requests are dropped')
def check_all_dropped(context):
    assert len(context.changes.dropped) == context.queued > 0
    assert context.pool.queue.count() == 0


@then('their retry times are at least 0.1 seconds apart')
def check_spread(context):
    times = [answer.retry_after for answer in context.refused]
    assert len(times) > 50
    gaps = [later - sooner for sooner, later in pairwise(times)]
    assert min(gaps) > 0.099, gaps
    assert min(times) >= 1


def count_calls(teams):
    pool = Admission()
    pool.permits.limit.resize(32)
    for index in range(teams * 4):
        pool.offer(make_request(f'r{index}', team=f't{index % teams}'), 0)
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += 1

    sys.setprofile(count)
    try:
        request = make_request('last', team='t0')
        pool.offer(request, 0)
        pool.queue.remove(request)
    finally:
        sys.setprofile(None)
    return calls


@then('a decision takes as many calls with 4 teams as with 400')
def check_cost(context):
    assert count_calls(4) == count_calls(400)


@given('a limit of 48 declared slots of which 20 exist')
def start_limit(context):
    context.limit = ConcurrencyLimit()
    context.limit.resize(48)


@when('it is kept full for 400 service times')
def fill(context):
    context.sizes = []
    for turn in range(400):
        sent = context.limit.size
        for _answer in range(min(sent, 20)):
            context.limit.grow(sent)
        for _refusal in range(sent - 20):
            context.limit.shrink(turn, 1)
        context.sizes.append(sent)


@then('the limit stays between {low:d} and {high:d}')
def check_limit(context, low, high):
    settled = context.sizes[100:]
    assert low <= min(settled) and max(settled) <= high, settled
