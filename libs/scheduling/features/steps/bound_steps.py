from behave import step, then, when
from decision_steps import SETTINGS, run_round

from tarragonlb.scheduling.leasebound import (
    LEASE_BOUND,
    BoundChanges,
    LeaseBoundIndex,
    build_bound_records,
)
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.records import KeyedRecord


def build_records(names):
    changes = BoundChanges(dict.fromkeys(names.split(), 2.0), ())
    return [
        KeyedRecord(record.key, record.value, offset)
        for offset, record in enumerate(build_bound_records(changes, term=1))
    ]


def get_index(context):
    if not hasattr(context, 'index'):
        context.index = LeaseBoundIndex()
    return context.index


@step('the bounds of "{names}" were read at {now:d} s')
def read(context, names, now):
    assert not get_index(context).apply(build_records(names), now)


@when('the removal of the bound of "{name}" is read at {now:d} s')
def read_removal(context, name, now):
    (record,) = build_bound_records(BoundChanges({}, (name,)), term=1)
    context.index.apply([KeyedRecord(record.key, record.value, 5)], now)


@when('an invalid bound of "{name}" is read at {now:d} s')
def read_invalid(context, name, now):
    context.index.apply([KeyedRecord(name + LEASE_BOUND, b'x', 5)], now)


@when(
    'a snapshot up to offset {end:d} that lists only "{name}" is read at '
    '{now:d} s'
)
def read_snapshot(context, end, name, now):
    listed = [
        record
        for record in build_records('w0 w1')
        if record.key == name + LEASE_BOUND
    ]
    context.index.apply_snapshot(listed, end, now)


@then('the bound of "{name}" counts from {now:d} s')
def check_bound(context, name, now):
    bound = context.index.bounds[name]
    assert (bound.read_at, bound.remaining_seconds) == (now, 2.0), bound


@then('there is no bound of "{name}"')
def check_none(context, name):
    assert name not in context.index.bounds


@then('the error is reported')
def check_error(context):
    assert len(context.index.errors) == 1


def run_until(context, end_at):
    """Run rounds and return the bounds that they store, each with its time."""
    stored = []
    while context.now < end_at:
        run_round(context)
        changes = context.round.bound_changes
        context.scheduler.bound_keeper.note_stored(changes)
        stored.extend(
            (context.now, changes.stored[name]) for name in changes.stored
        )
    return stored


@when('a scheduling round runs, and its starts are sent')
def send_starts(context):
    run_round(context)
    (context.order,) = context.round.starts
    context.scheduler.note_stored(context.round, context.now)


@when('the leases on "{name}", which is silent, end in {seconds:g} second')
def end_leases(context, name, seconds):
    context.scheduler.reconciler.note_silence(
        name, context.now + seconds, context.now
    )


@then('no bound of "{name}" is stored within {seconds:g} seconds')
def check_no_bounds(context, name, seconds):
    assert not run_until(context, context.now + seconds)


@then('the task is not released')
def check_not_released(context):
    order = context.order
    assert context.scheduler.state.find_attempt(
        order.key, order.attempt, order.worker_id
    )


@when('the start gets no answer')
def lose_answer(context):
    context.settled_at = context.now
    context.scheduler.apply_order_result(
        context.order, OrderResult.UNANSWERED, context.now, 5
    )


@then(
    'bounds of "{name}" are stored, and none is shorter than the longest lease'
)
def check_bounds(context, name):
    context.released_at = context.settled_at + SETTINGS.compute_longest_lease()
    stored = run_until(context, context.released_at - 0.1)
    assert stored
    ends = [at + seconds for at, seconds in stored]
    assert min(ends) >= context.released_at - 0.001, ends


@then('the task is released after the longest lease')
def check_released(context):
    check_not_released(context)
    run_until(context, context.released_at + 0.6)
    state = context.scheduler.state
    (job_state,) = state.jobs.values()
    ((_, task),) = job_state.list_tasks()
    assert not task.is_attached
