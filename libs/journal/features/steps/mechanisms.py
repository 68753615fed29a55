"""The mechanisms that the random runs must miss when they are off."""

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


def take_at_once(self, entries, take=Replica.receive_entries):
    self.caught_up = True
    return take(self, entries)


def write_and_acknowledge(self, name, fate):
    """Tell the writer that its records count once they are appended."""
    member = self.members[name]
    batch = member.replica.outbox.take_batch()
    self.log.append([pending.blob for pending in batch])
    for pending in batch:
        counted = self.log.accepted.get(pending.record_id)
        assert counted, 'acknowledged and refused'


def decode_or_skip(blob, kinds, decode=fold.decode_record):
    """Take a record of an unknown kind for one that is void."""
    try:
        return decode(blob, kinds)
    except UnknownRecordError as error:
        raise JournalError('not known') from error


MECHANISMS = {
    'counting an id once': mock.patch.object(
        fold, '_remember', lambda *_: None
    ),
    'keeping ids in a snapshot': mock.patch.object(
        snapshot, '_list_rows', list_rows_without_ids
    ),
    'waiting for the end of the log': mock.patch.object(
        Replica, 'receive_entries', take_at_once
    ),
    'waiting for the read-back': mock.patch.object(
        ReplicaMachine, 'write', write_and_acknowledge
    ),
    'checking the level before writing': mock.patch.object(
        Version, 'find_level', lambda *_: FIRST_LEVEL
    ),
    'waiting for all members': mock.patch.object(
        memberfold, 'list_behind', lambda *_: []
    ),
    'halting at an unknown kind': mock.patch.object(
        fold, 'decode_record', decode_or_skip
    ),
}


def find_faults(names, machine=ReplicaMachine):
    """Return what the first seed that fails without mechanisms says."""
    with contextlib.ExitStack() as stack:
        for name in names:
            stack.enter_context(MECHANISMS[name])
        for seed in SEEDS:
            try:
                run_machine(60, 200, seed, machine)
            except AssertionError as error:
                return str(error)
    return ''
