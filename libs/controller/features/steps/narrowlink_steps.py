import math

import trio
import trio.testing
from behave import given, then, when
from fakeplatform import FakeClock
from narrowstore import NarrowStore
from simulation import SETTINGS

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.ports import Topic
from tarragonlb.controller.readgate import ReadGate
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.termwriter import TermWriter
from tarragonlb.scheduling.records import SUBMISSION, KeyedRecord

RECORDS = 100
OWNED = 6
FLEET = 0
JOIN_SECONDS = 0.4
POLL_SECONDS = 0.05
# After this all partitions of a scenario could have been read twice.
MOST_SECONDS = 60


@given(
    '{count:d} partitions of {size:g} MB behind a link of 1 MB a second, '
    'which all feeds of a daemon read'
)
def create_partitions(context, count, size):
    context.store = NarrowStore()
    gate = ReadGate()
    context.feeds = {}
    for partition in range(1, count + 1):
        log = context.store.logs[Topic.JOBS, partition]
        value = bytes(int(size * 1_000_000 / RECORDS))
        log.extend(
            KeyedRecord(f'{number:016x}{SUBMISSION}', value)
            for number in range(RECORDS)
        )
        context.feeds[partition] = PartitionFeed(
            partition,
            context.store,
            SETTINGS,
            FakeClock(),
            read_gate=gate,
        )


@when('the daemon becomes the owner of one of them after {seconds:g} s')
def own_partition(context, seconds):
    async def run(nursery):
        await trio.sleep(seconds)
        owned_at = trio.current_time()
        feed = context.feeds[OWNED]
        sender, _ = trio.open_memory_channel(math.inf)
        feed.subscribe(sender)
        owned = OwnedPartition(OWNED, term=1)
        writer = TermWriter(owned, context.store, SETTINGS)
        assert not await writer.fence(feed.refresh)
        context.elapsed = trio.current_time() - owned_at
        nursery.cancel_scope.cancel()

    _run_feeds(context, run)


@when('the daemon joins a group until all are read')
def join_group(context):
    async def run(nursery):
        context.failed_joins = 0
        while any(feed.last_read_at is None for feed in context.feeds.values()):
            joined = await context.store.join(FLEET, 'm', 1.6, 0)
            context.failed_joins += isinstance(joined, NotDone)
            await trio.sleep(JOIN_SECONDS)
        context.elapsed = trio.current_time()
        nursery.cancel_scope.cancel()

    _run_feeds(context, run)


@when('partitions "{numbers}" can not be read, and the others are')
def read_others(context, numbers):
    unreadable = frozenset(int(number) for number in numbers.split())
    context.store.unreadable = unreadable

    async def run(nursery):
        await _wait_until_read(
            feed
            for partition, feed in context.feeds.items()
            if partition not in unreadable
        )
        context.elapsed = trio.current_time()
        nursery.cancel_scope.cancel()

    _run_feeds(context, run)


@when('queries of all partitions give up after {seconds:g} s, and all are read')
def give_up(context, seconds):
    async def query():
        with trio.move_on_after(seconds):
            async with trio.open_nursery() as nursery:
                for feed in context.feeds.values():
                    nursery.start_soon(feed.refresh)

    async def run(nursery):
        await _wait_until_read(context.feeds.values())
        context.elapsed = trio.current_time()
        nursery.cancel_scope.cancel()

    _run_feeds(context, run, query)


async def _wait_until_read(feeds):
    waiting = tuple(feeds)
    for _ in range(int(MOST_SECONDS / POLL_SECONDS)):
        waiting = [feed for feed in waiting if feed.last_read_at is None]
        if not waiting:
            return
        await trio.sleep(POLL_SECONDS)
    raise AssertionError(f'not read: {len(waiting)}')


def _run_feeds(context, action, prepare=trio.lowlevel.checkpoint):
    context.elapsed = math.inf

    async def run():
        await prepare()
        with trio.move_on_after(MOST_SECONDS):
            async with trio.open_nursery() as nursery:
                for feed in context.feeds.values():
                    nursery.start_soon(feed.run)
                nursery.start_soon(action, nursery)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then('that partition is read within {seconds:g} s')
def check_owned_read(context, seconds):
    assert context.elapsed <= seconds, context.elapsed


@then('these are read within {seconds:g} s')
def check_all_read(context, seconds):
    assert context.elapsed <= seconds, context.elapsed


@then('all are read within {seconds:g} s and no join has failed')
def check_joins(context, seconds):
    assert context.elapsed <= seconds, context.elapsed
    assert not context.failed_joins, context.failed_joins
