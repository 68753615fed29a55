"""Daemons that start after a loss of all owners, and the group of one."""

import math
from dataclasses import replace

from behave import given, step, then, when

from tarragonlb.scheduling.ownership import (
    STATUS_INTERVAL_SECONDS,
    Bidder,
    CapacityBidPolicy,
    OwnershipBids,
)
from tarragonlb.scheduling.ownershiprecords import OwnerStatus

PARTITION = 1
TICKS_PER_SECOND = 100
RUN_SECONDS = 12
# Time from a claim to its first status, and from a status to its readers.
SETTLE_SECONDS = 0.15
READ_SECONDS = 0.25
FROZEN = 'is frozen'


class Daemon:
    """Reads statuses from ``started_at`` on, and bids but for its faults."""

    def __init__(self, member, cores, started_at):
        self.started_at = started_at
        self.bidder = Bidder(member, cores, frozenset())
        self.bids = OwnershipBids(CapacityBidPolicy())
        self.faults = []

    def find_fault(self, now):
        for fault, begin, end in self.faults:
            if begin <= now < end:
                return fault
        return None


class Group:
    """The group of the partition's owner, and the statuses of the owner."""

    def __init__(self, status, listed_until):
        self.former_status = status
        self.listed_until = listed_until
        self.claims = []

    def list_members(self, now):
        if self.claims:
            return frozenset(daemon.bidder.member for _, daemon in self.claims)
        is_listed = now < self.listed_until
        return frozenset(('former',)) if is_listed else frozenset()

    def read_status(self, now):
        if not self.claims:
            return self.former_status
        claimed_at, owner = self.claims[-1]
        age = now - claimed_at - SETTLE_SECONDS - READ_SECONDS
        if age < 0:
            return self.former_status
        return replace(
            self.former_status,
            member=owner.bidder.member,
            term=self.former_status.term + len(self.claims),
            number=int(age / STATUS_INTERVAL_SECONDS),
            processor_cores=owner.bidder.processor_cores,
        )


@given('former owners that are listed as members until {seconds:g} s')
def list_former(context, seconds):
    list_former_of(context, 1, seconds)


@given(
    'former owners of {cores:g} cores that are listed as members until '
    '{seconds:g} s'
)
def list_former_of(context, cores, seconds):
    status = OwnerStatus(
        partition=PARTITION,
        member='former',
        term=1,
        number=1,
        processor_cores=cores,
    )
    context.group = Group(status, seconds)
    context.daemons = []


@when('a daemon of {cores:g} cores reads their statuses at {seconds:g} s')
def add_daemon(context, cores, seconds):
    member = f'vm-{len(context.daemons)}'
    context.daemons.append(Daemon(member, cores, seconds))


@when('{count:d} daemons of {cores:g} cores read their statuses at {now:g} s')
def add_daemons(context, count, cores, now):
    for _ in range(count):
        add_daemon(context, cores, now)


@when('the daemon of {cores:g} cores {fault} from {begin:g} to {end:g} s')
def add_fault(context, cores, fault, begin, end):
    for daemon in context.daemons:
        if daemon.bidder.processor_cores == cores:
            daemon.faults.append((fault, begin, end))


@then('the daemon of {cores:g} cores claims partition {partition:d} first')
def check_first_claim(context, cores, partition):
    assert partition == PARTITION
    claims = run_daemons(context)
    assert claims, 'nobody claims'
    found = [(at, daemon.bidder) for at, daemon in claims]
    assert found[0][1].processor_cores == cores, found


@step('partition {partition:d} is claimed once, within {seconds:g} s')
def check_one_claim(context, partition, seconds):
    assert partition == PARTITION
    claims = run_daemons(context)
    found = [(at, daemon.bidder) for at, daemon in claims]
    assert len(found) == 1, found
    assert found[0][0] <= seconds, found


def run_daemons(context):
    """Return all claims, in order; those of one scenario are made once."""
    group = context.group
    if group.claims:
        return group.claims
    for tick in range(RUN_SECONDS * TICKS_PER_SECOND):
        now = tick / TICKS_PER_SECOND
        status = group.read_status(now)
        for daemon in context.daemons:
            if now >= daemon.started_at:
                run_daemon(daemon, group, status, now)
    return group.claims


def run_daemon(daemon, group, status, now):
    bids, member = daemon.bids, daemon.bidder.member
    fault = daemon.find_fault(now)
    if fault == FROZEN:
        return
    if fault is not None:
        bids.note_no_contact(now)
        return
    bids.observe({PARTITION: status}, (PARTITION,), now)
    due_at, _ = bids.find_next(daemon.bidder) or (math.inf, PARTITION)
    is_owner = any(owner is daemon for _, owner in group.claims)
    if due_at > now or is_owner:
        return
    members = group.list_members(now)
    if bids.may_claim(PARTITION, members, member, now):
        group.claims.append((now, daemon))
    else:
        bids.note_members(PARTITION, members, member, now)
