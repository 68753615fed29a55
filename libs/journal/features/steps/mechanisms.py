"""Mechanisms whose absence the random runs must detect."""

import contextlib
from unittest import mock

from replica_world import ReplicaMachine, run_machine

from tarragonlb.journal import fold, memberfold, snapshot
from tarragonlb.journal.replica import Replica
from tarragonlb.journal.version import FIRST_LEVEL, Version
from tarragonlb.model.errors import JournalError, UnknownRecordError

SEEDS = range(1, 9)


def list_rows_without_ids(fields, list_rows=snapshot._list_rows):
    return (row for row in list_rows(fields) if row[0] != 'seen')


def receive_as_caught_up(
    self, entries, receive_entries=Replica.receive_entries
):
    self.caught_up = True
    return receive_entries(self, entries)


def write_and_acknowledge(self, name, fate):
    """Report records as accepted as soon as they are appended."""
    member = self.members[name]
    batch = member.replica.outbox.take_batch()
    self.log.append([pending.blob for pending in batch])
    for pending in batch:
        accepted_at = self.log.accepted.get(pending.record_id)
        assert accepted_at, 'acknowledged and refused'


def decode_or_skip(blob, kinds, decode=fold.decode_record):
    """Reject a record of an unknown kind instead of raising an error."""
    try:
        return decode(blob, kinds)
    except UnknownRecordError as error:
        raise JournalError('the record kind is unknown') from error


MECHANISMS = {
    'counting an id once': mock.patch.object(
        fold, '_remember_id', lambda *_: None
    ),
    'keeping ids in a snapshot': mock.patch.object(
        snapshot, '_list_rows', list_rows_without_ids
    ),
    'waiting for the end of the log': mock.patch.object(
        Replica, 'receive_entries', receive_as_caught_up
    ),
    'waiting for the read-back': mock.patch.object(
        ReplicaMachine, 'write', write_and_acknowledge
    ),
    'checking the level before writing': mock.patch.object(
        Version, 'get_required_level', lambda *_: FIRST_LEVEL
    ),
    'waiting for all members': mock.patch.object(
        memberfold, 'list_members_below', lambda *_: []
    ),
    'halting at an unknown kind': mock.patch.object(
        fold, 'decode_record', decode_or_skip
    ),
}


def find_faults(names, machine=ReplicaMachine):
    """Return the error of the first seed that fails without the mechanisms."""
    with contextlib.ExitStack() as stack:
        for name in names:
            stack.enter_context(MECHANISMS[name])
        for seed in SEEDS:
            try:
                run_machine(60, 200, seed, machine)
            except AssertionError as error:
                return str(error)
    return ''
