"""Steps for replicas."""

import contextlib
import dataclasses

import cbor2
from behave import given, then, when
from level_world import MixedMachine
from mechanisms import find_faults
from replica_world import FakeLog, Member, run_machine

from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.replica import Replica
from tarragonlb.journal.snapshotter import make_snapshot_records
from tarragonlb.model.errors import JournalError
from tarragonlb.model.record import SettingPublished
from tarragonlb.model.snapshot import SnapshotChunk, SnapshotOpened

READ_ALL = 10_000


@then('{examples:d} random runs of {steps:d} steps keep every invariant')
def check_runs(context, examples, steps):
    run_machine(examples, steps)


@when('{mechanism} is switched off')
def switch_off(context, mechanism):
    context.missing = [*getattr(context, 'missing', ()), mechanism]


@then('the random runs fail with "{fault}"')
def check_failing_runs(context, fault):
    found = find_faults(context.missing)
    assert fault in found, found


@then('the random runs with two versions fail with "{fault}"')
def check_failing_mixed_runs(context, fault):
    found = find_faults(context.missing, MixedMachine)
    assert fault in found, found


@then(
    '{examples:d} random runs of {steps:d} steps '
    'with two versions keep every invariant'
)
def check_mixed_runs(context, examples, steps):
    run_machine(examples, steps, machine=MixedMachine)


def publish(member, text):
    record = SettingPublished(
        head=member.make_head(),
        path='/fleet',
        text=text,
        source='test',
        expected_version=0,
    )
    return encode_record(record)


def write_snapshot(member, log):
    opened = SnapshotOpened(
        head=member.make_head(),
        expected_opened=member.replica.state.stream.snapshot.opened,
    )
    log.append([encode_record(opened)])
    catch_up(member, log)
    return list(make_snapshot_records(member.replica, opened, member.make_head))


def catch_up(member, log):
    member.replica.receive_entries(
        log.read(member.replica.read_after, READ_ALL)
    )


@given('two replicas, one of which has a different text of a setting')
def start_two_replicas(context):
    context.log = FakeLog()
    context.members = [Member('a1'), Member('b1')]
    context.log.append([publish(context.members[0], '{}')])
    for member in context.members:
        catch_up(member, context.log)
    settings = context.members[1].replica.state.settings
    settings['/fleet'] = dataclasses.replace(
        settings['/fleet'], text='weights: {}'
    )


@when('a snapshot is written by the other')
def write_by_first(context):
    records = write_snapshot(context.members[0], context.log)
    context.log.append([encode_record(record) for record in records])
    for member in context.members:
        catch_up(member, context.log)


@then('the one that differs has halted with "{reason}"')
def check_halted(context, reason):
    intact, differing = context.members
    assert not intact.replica.halted
    assert reason in differing.replica.halted, differing.replica.halted


@then('it refuses to submit a record')
def check_refusal(context):
    differing = context.members[1]
    with contextlib.suppress(JournalError):
        differing.replica.submit(
            SnapshotOpened(head=differing.make_head(), expected_opened=0)
        )
        raise AssertionError('the record was submitted')
    assert not differing.replica.outbox.take_batch()


@when('a record of an unknown kind is appended')
def append_unknown(context):
    blob = cbor2.dumps(['FromTheFuture', {}])
    context.log.entries.append(
        type(context.log.entries[0])(len(context.log.entries) + 1, blob)
    )
    for member in context.members:
        catch_up(member, context.log)


@then('every replica has halted with "{reason}"')
def check_all_halted(context, reason):
    for member in context.members:
        assert reason in member.replica.halted
        assert member.replica.state.offset == 1


@given('a log with a snapshot that has a corrupt chunk, and an intact one')
def write_two_snapshots(context):
    context.log = FakeLog()
    context.member = Member('a1')
    context.log.append([publish(context.member, '{}')])
    catch_up(context.member, context.log)
    for corrupt in (True, False):
        for record in write_snapshot(context.member, context.log):
            blob = encode_record(record)
            if corrupt and isinstance(record, SnapshotChunk):
                blob = blob.replace(record.body[-4:], b'0000')
            context.log.append([blob])
        catch_up(context.member, context.log)


@when('the records before the snapshots expire')
def expire(context):
    context.log.oldest = 2


@then('a new replica starts from the intact one')
def check_start(context):
    replica = Replica()
    replica.start_snapshot_search(context.log.oldest)
    for _ in range(3):
        replica.receive_entries(context.log.read(replica.read_after, READ_ALL))
    assert not replica.searching
    assert replica.state.digest == context.log.reference.digest
