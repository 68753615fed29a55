from behave import given, step, then, when

from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.ownership import (
    Bidder,
    CapacityBidPolicy,
    OwnershipBids,
)
from tarragonlb.scheduling.ownershiprecords import (
    OwnerStatus,
    build_owner_record,
)
from tarragonlb.scheduling.records import KeyedRecord

IDLE = Bidder('me', processor_cores=1.0, owned_partitions=frozenset())


def build_status(partition, number, *, term=1, is_released=False):
    return OwnerStatus(
        partition=partition,
        member=f'owner-{term}',
        term=term,
        number=number,
        processor_cores=1.0,
        is_released=is_released,
    )


def observe(context, now):
    partitions = frozenset(context.statuses) | context.new_partitions
    context.bids.observe(context.statuses, partitions, now)


@then(
    'the delay of {cores:g} cores that own {owned:d} partitions is from '
    '{least:g} to {most:g} s if the strongest have {most_cores:g}'
)
def check_delay(context, cores, owned, least, most, most_cores):
    for number in range(20):
        bidder = Bidder(f'vm-{number}', cores, frozenset(range(owned)))
        delay = CapacityBidPolicy().choose_delay(bidder, 7, most_cores)
        assert least <= delay <= most, delay


@given('stored statuses of partitions "{numbers}" are read at {now:g} s')
def read_stored(context, numbers, now):
    context.bids = OwnershipBids(CapacityBidPolicy())
    context.new_partitions = frozenset()
    context.statuses = {
        int(number): build_status(int(number), 1) for number in numbers.split()
    }
    observe(context, now)


@given('owners of partitions "{numbers}" are heard at {now:g} s')
def start(context, numbers, now):
    read_stored(context, numbers, now)
    for number in context.statuses:
        context.statuses[number] = build_status(number, 2)
    observe(context, now)


@given('partition {partition:d} gets its first pool at {now:g} s')
def add_partition(context, partition, now):
    context.new_partitions = frozenset((partition,))
    observe(context, now)


@when('the owner of partition {partition:d} releases it at {now:g} s')
def release(context, partition, now):
    context.statuses[partition] = build_status(partition, 3, is_released=True)
    observe(context, now)


@when('the owner of partition {partition:d} is heard at {now:g} s')
def hear(context, partition, now):
    number = context.statuses[partition].number + 1
    context.statuses[partition] = build_status(partition, number)
    observe(context, now)


@when('partition {partition:d} turns out to be taken at {now:g} s')
def note_taken(context, partition, now):
    context.bids.note_taken(partition, now)


@when('the store has not been read at {now:g} s')
def note_no_contact(context, now):
    context.bids.note_no_contact(now)


@step('no partition is due at {now:g} s')
def check_none_due(context, now):
    due_at, _ = context.bids.find_next(IDLE)
    assert due_at > now, due_at


@step('partition {partition:d} is due at {now:g} s')
def check_due(context, partition, now):
    due_at, found = context.bids.find_next(IDLE)
    assert (due_at <= now, found) == (True, partition), (due_at, found)


@then(
    '{seconds:d} seconds later partition {partition:d} was checked at most '
    '{most:d} times'
)
def check_backoff(context, seconds, partition, most):
    checks = 0
    for tick in range(seconds * 10):
        now = tick / 10
        if context.bids.find_next(IDLE)[0] <= now:
            checks += 1
            context.bids.note_taken(partition, now)
    assert 0 < checks <= most, checks


@step('a group with members "{names}" may be joined at {now:g} s')
def check_may_join(context, names, now):
    members = frozenset(names.split())
    assert context.bids.may_claim(1, members, IDLE.member, now)


@step('a group with members "" may be joined at {now:g} s')
def check_may_join_empty(context, now):
    assert context.bids.may_claim(1, frozenset(), IDLE.member, now)


@step('a group with members "{names}" may not be joined at {now:g} s')
def check_may_not_join(context, names, now):
    members = frozenset(names.split())
    assert not context.bids.may_claim(1, members, IDLE.member, now)


@given('a fleet state with a status of term {term:d} of partition 1')
def start_fleet_state(context, term):
    context.fleet_state = FleetState()
    add_status(context, term)


@when('a status of term {term:d} of partition 1 arrives')
def add_status(context, term):
    record = build_owner_record(build_status(1, 1, term=term))
    offset = 10 - term
    context.fleet_state.apply(
        [KeyedRecord(record.key, record.value, offset)], 0.0
    )
    assert not context.fleet_state.errors


@then('the owner of partition 1 is that of term {term:d}')
def check_owner(context, term):
    assert context.fleet_state.owner_statuses[1] == build_status(
        1, 1, term=term
    )


@when('partition {partition:d} turns out to be vacant at {now:g} s')
def note_vacant(context, partition, now):
    context.bids.note_members(partition, frozenset(), IDLE.member, now)
