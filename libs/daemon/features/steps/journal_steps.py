"""Steps for the journal of a daemon, on a clock that jumps."""

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
SCENE_SECONDS = 6000
HOUR_SECONDS = 3600
PACE = 'snapshot: {records: 5, seconds: 100000}'


class FaultyLog(RecordLog):
    """One daemon's connection to a log in memory."""

    def __init__(self, store):
        self.store = store
        self.lose_answers = 0
        self.cut_off = False

    async def append(self, blobs):
        await self._pass()
        self.store.append(blobs)
        if self.lose_answers:
            self.lose_answers -= 1
            raise AnswerLostError('lost on purpose')

    async def read(self, after, wait_seconds):
        await self._pass()
        rows = await self.store.read(after, wait_seconds)
        await self._pass()
        return [LogEntry(offset, blob) for offset, blob in rows]

    async def _pass(self):
        await trio.sleep(0.001)
        if self.cut_off:
            raise PlatformUnavailableError('cut off')


class World:
    """Some daemons over one log."""

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
        """Let every daemon read what was appended."""
        await trio.sleep(2)

    def expire(self):
        """Drop the records before the newest complete snapshot."""
        opened = self.journals[0].state.stream.snapshot.opened
        excess = opened - self.store._first
        del self.store._blobs[:excess]
        self.store._first += excess


async def run_world(count, scene):
    world = World(count)
    with trio.fail_after(SCENE_SECONDS):
        async with trio.open_nursery() as nursery:
            for name in world.names:
                await world.start(nursery, name)
            await scene(world, nursery)
            nursery.cancel_scope.cancel()


def play(context, scene):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(functools.partial(run_world, context.count, scene), clock=clock)


@given('{count:d} daemons over one log')
def start_daemons(context, count):
    context.count = count


@when('one of them publishes a setting')
def publish_setting(context):
    async def scene(world, nursery):
        context.outcome = await world.publish('{}')
        await world.settle()
        context.states = [journal.state for journal in world.journals]

    play(context, scene)


@when('the answer to an append is lost')
def lose_answer(context):
    async def scene(world, nursery):
        world.logs[0].lose_answers = 2
        context.outcome = await world.publish('{}')
        await world.settle()
        context.states = [journal.state for journal in world.journals]

    play(context, scene)


@then('it is in force on all of them')
def check_in_force(context):
    assert context.outcome.accepted
    for state in context.states:
        assert state.settings['/fleet'].version == 1
        assert state.settings['/fleet'].offset == context.outcome.offset
        assert state.digest == context.states[0].digest


@when('a snapshot was written and the records before it expire')
def expire_records(context):
    async def scene(world, nursery):
        await world.publish(PACE)
        await world.settle()
        world.logs[2].cut_off = True
        for version in range(1, 9):
            await world.publish(PACE, version)
        await trio.sleep(60)
        assert world.journals[0].state.stream.snapshot.closed, 'no snapshot'
        world.expire()
        context.shown = world.journals[2].state.offset
        await world.start(nursery, 'entry-new')
        world.logs[2].cut_off = False
        await world.settle()
        context.states = [journal.state for journal in world.journals]

    play(context, scene)


@then('a new daemon starts with the same state')
def check_new(context):
    assert context.states[3].digest == context.states[0].digest
    assert context.states[3].settings['/fleet'].version == 9


@then('a daemon that was cut off meanwhile goes on with the same state')
def check_cut_off(context):
    assert context.states[2].digest == context.states[0].digest
    assert context.states[2].offset > context.shown


@when('a record of an unknown kind is appended')
def append_unknown(context):
    async def scene(world, nursery):
        world.store.append([cbor2.dumps(['FromTheFuture', {}])])
        await world.settle()
        context.journals = world.journals
        context.refusals = []
        try:
            await world.publish('{}')
        except JournalError as error:
            context.refusals.append(str(error))

    play(context, scene)


@then('each of them refuses to commit and has read nothing lately')
def check_refusals(context):
    assert 'FromTheFuture' in context.refusals[0]
    for journal in context.journals:
        assert journal.replica.halted
        assert journal.last_read == -math.inf


@when('one of them is cut off for an hour')
def cut_off_for_long(context):
    async def scene(world, nursery):
        await trio.sleep(10)
        context.members = [set(world.journals[0].state.stream.members)]
        world.logs[2].cut_off = True
        await trio.sleep(HOUR_SECONDS)
        context.members.append(set(world.journals[0].state.stream.members))
        world.logs[2].cut_off = False
        await trio.sleep(30)
        context.members.append(set(world.journals[0].state.stream.members))

    play(context, scene)


@then('it is no member meanwhile, and is one afterwards')
def check_members(context):
    names = {'entry-0', 'entry-1', 'entry-2'}
    assert context.members == [names, names - {'entry-2'}, names]
