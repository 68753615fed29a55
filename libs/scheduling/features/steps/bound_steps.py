from behave import step, then, when

from tarragonlb.scheduling.leasebound import (
    LEASE_BOUND,
    BoundChanges,
    LeaseBoundIndex,
    build_bound_records,
)
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
