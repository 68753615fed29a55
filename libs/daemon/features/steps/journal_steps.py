"""Steps for the journal of a daemon, on a mock clock."""

import functools
import math

import cbor2
import trio
import trio.testing
from behave import given, then, when

from tarragonlb.daemon.journal import Journal
from tarragonlb.journal.log import LogEntry, RecordLog
from tarragonlb.model.errors import (
    AnswerLostError,
    JournalError,
    PlatformUnavailableError,
)
from tarragonlb.model.record import SettingPublished
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.standin.logstore import LogStore

RETENTION = 1_000_000
SCENARIO_TIMEOUT_SECONDS = 6000
HOUR_SECONDS = 3600
SNAPSHOT_SETTINGS = 'snapshot: {records: 5, seconds: 100000}'


class FaultyLog(RecordLog):
    """One daemon's connection to an in-memory log, with faults."""

    def __init__(self, store):
        self.store = store
        self.lose_answers = 0
        self.disconnected = False

    async def append(self, blobs):
        await self._simulate_network()
        self.store.append(blobs)
        if self.lose_answers:
            self.lose_answers -= 1
            raise AnswerLostError('the test dropped the response')

    async def read(self, after, wait_seconds):
        await self._simulate_network()
        rows = await self.store.read(after, wait_seconds)
        await self._simulate_network()
        return [LogEntry(offset, blob) for offset, blob in rows]

    async def _simulate_network(self):
        await trio.sleep(0.001)
        if self.disconnected:
            raise PlatformUnavailableError('the test disconnected the log')


class DaemonGroup:
    """Daemons that share one log."""

    def __init__(self, count):
        self.store = LogStore(RETENTION)
        self.names = [f'entry-{index}' for index in range(count)]
        self.logs = []
        self.journals = []

    async def start(self, nursery, name):
        log = FaultyLog(self.store)
        journal = Journal(log, HeadFactory(name, 'start'))
        self.logs.append(log)
        self.journals.append(journal)
        nursery.start_soon(journal.run)
        await journal.wait_until_caught_up()
        return journal

    async def publish(self, text, version=0):
        journal = self.journals[0]
        record = SettingPublished(
            head=journal.make_head(),
            path='/fleet',
            text=text,
            source='test',
            expected_version=version,
        )
        return await journal.commit(record)

    async def settle(self):
        """Wait until every daemon has read what was appended."""
        await trio.sleep(2)

    def expire_records_before_snapshot(self):
        """Drop the records before the newest complete snapshot."""
        opened = self.journals[0].state.stream.snapshot.opened
        excess = opened - self.store._first
        del self.store._blobs[:excess]
        self.store._first += excess


async def run_group(count, scenario):
    group = DaemonGroup(count)
    with trio.fail_after(SCENARIO_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for name in group.names:
                await group.start(nursery, name)
            await scenario(group, nursery)
            nursery.cancel_scope.cancel()


def run_scenario(context, scenario):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(functools.partial(run_group, context.count, scenario), clock=clock)


@given('{count:d} daemons over one log')
def start_daemons(context, count):
    context.count = count


@when('one of them publishes a setting')
def publish_setting(context):
    async def scenario(group, nursery):
        context.outcome = await group.publish('{}')
        await group.settle()
        context.states = [journal.state for journal in group.journals]

    run_scenario(context, scenario)


@when('the response to an append is lost')
def lose_answer(context):
    async def scenario(group, nursery):
        group.logs[0].lose_answers = 2
        context.outcome = await group.publish('{}')
        await group.settle()
        context.states = [journal.state for journal in group.journals]

    run_scenario(context, scenario)


@then('it is in force on all of them')
def check_in_force(context):
    assert context.outcome.accepted
    for state in context.states:
        assert state.settings['/fleet'].version == 1
        assert state.settings['/fleet'].offset == context.outcome.offset
        assert state.digest == context.states[0].digest


@when('a snapshot was written and the records before it expire')
def expire_records(context):
    async def scenario(group, nursery):
        await group.publish(SNAPSHOT_SETTINGS)
        await group.settle()
        group.logs[2].disconnected = True
        for version in range(1, 9):
            await group.publish(SNAPSHOT_SETTINGS, version)
        await trio.sleep(60)
        assert group.journals[0].state.stream.snapshot.closed, 'no snapshot'
        group.expire_records_before_snapshot()
        context.offset_before = group.journals[2].state.offset
        await group.start(nursery, 'entry-new')
        group.logs[2].disconnected = False
        await group.settle()
        context.states = [journal.state for journal in group.journals]

    run_scenario(context, scenario)


@then('a new daemon starts with the same state')
def check_new(context):
    assert context.states[3].digest == context.states[0].digest
    assert context.states[3].settings['/fleet'].version == 9


@then('a daemon that was disconnected meanwhile reaches the same state')
def check_reconnected(context):
    assert context.states[2].digest == context.states[0].digest
    assert context.states[2].offset > context.offset_before


@when('a record of an unknown kind is appended')
def append_unknown(context):
    async def scenario(group, nursery):
        group.store.append([cbor2.dumps(['FromTheFuture', {}])])
        await group.settle()
        context.journals = group.journals
        context.refusals = []
        try:
            await group.publish('{}')
        except JournalError as error:
            context.refusals.append(str(error))

    run_scenario(context, scenario)


@then('each of them refuses to commit and reports no recent read')
def check_refusals(context):
    assert 'FromTheFuture' in context.refusals[0]
    for journal in context.journals:
        assert journal.replica.halted
        assert journal.last_read == -math.inf


@when('one of them is disconnected for an hour')
def disconnect_for_an_hour(context):
    async def scenario(group, nursery):
        await trio.sleep(10)
        context.members = [set(group.journals[0].state.stream.members)]
        group.logs[2].disconnected = True
        await trio.sleep(HOUR_SECONDS)
        context.members.append(set(group.journals[0].state.stream.members))
        group.logs[2].disconnected = False
        await trio.sleep(30)
        context.members.append(set(group.journals[0].state.stream.members))

    run_scenario(context, scenario)


@then('it is not a member meanwhile, and is one afterwards')
def check_members(context):
    names = {'entry-0', 'entry-1', 'entry-2'}
    assert context.members == [names, names - {'entry-2'}, names]
