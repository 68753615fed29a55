import heapq
import random
import sys

from behave import given, then
from sharesimulation import (
    EPOCH_MS,
    build_job,
    build_scheduler,
    build_steps,
    list_ready,
)

from tarragonlb.scheduling.fairshare import FairShareOrder
from tarragonlb.scheduling.job import Moment
from tarragonlb.scheduling.jobstate import JobState


@given('{count:d} waiting steps of {tenants:d} tenants in a full pool')
def fill_pool(context, count, tenants):
    source = random.Random(3)
    # Their quotients are the shares that the order compares.
    context.weights = weights = {
        f't{number}': CountedFloat(1 + number % 7) for number in range(tenants)
    }
    scheduler = build_scheduler(FairShareOrder(), weights)
    now = Moment(30.0, EPOCH_MS + 30000)
    # 40 jobs of 8 tasks fill the pool.
    for number in range(count + 40):
        job = build_job(
            f'j{number}',
            source.choice(list(weights)),
            source.uniform(0, 30),
            build_steps(1, source.uniform(0.5, 5)),
        )
        scheduler.state.add_job(JobState(job, now))
    scheduler.decide(now)
    context.now, context.state = now, scheduler.state
    context.ready = list_ready(scheduler, now)
    for ready in context.ready:
        ready.rank = (*ready.rank[:-1], CountedFloat(ready.rank[-1]))
    assert len(context.ready) == count, len(context.ready)


class CountedFloat(float):
    """Counts comparisons; a quotient by one counts too."""

    count = 0

    def __lt__(self, other):
        CountedFloat.count += 1
        return float.__lt__(self, other)

    def __gt__(self, other):
        CountedFloat.count += 1
        return float.__gt__(self, other)

    def __rtruediv__(self, other):
        return CountedFloat(float(other) / float(self))


def count_comparisons(function):
    before = CountedFloat.count
    function()
    return CountedFloat.count - before


def count_lines(function):
    lines = 0

    def trace(frame, event, argument):
        nonlocal lines
        lines += event == 'line'
        return trace

    former = sys.gettrace()
    sys.settrace(trace)
    try:
        function()
    finally:
        sys.settrace(former)
    return lines


def arrange_all(context, places):
    order = FairShareOrder()
    order._rates.update(context.state)

    def run():
        for ready in order.arrange(context.ready, context.state, context.now):
            if places:
                order.note_placed(ready)

    return run


@then(
    'the order makes at most {most:d} times the comparisons of a sort with a '
    'heap, while the pool is {fill}'
)
def compare_comparisons(context, most, fill):
    times = [ready.rank[-1] for ready in context.ready]

    def sort_with_heap():
        heap = [CountedFloat(number) for number in range(len(context.weights))]
        for number, _ in enumerate(sorted(times)):
            heapq.heapreplace(heap, CountedFloat(len(heap) + number))

    allowed = most * count_comparisons(sort_with_heap)
    made = count_comparisons(arrange_all(context, fill == 'empty'))
    print(fill, made, allowed)
    assert len(times) < made <= allowed, (made, allowed)


@then('the order runs at most {most:d} lines a step, while the pool is {fill}')
def check_lines(context, most, fill):
    lines = count_lines(arrange_all(context, fill == 'empty'))
    print(fill, lines / len(context.ready))
    assert lines <= most * len(context.ready), lines
