import trio
import trio.testing
from behave import given, then, when
from fakeplatform import FakeClock, FakeStore
from simulation import SETTINGS

from tarragonlb.controller.feeds import FleetStateFeed
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Topic
from tarragonlb.controller.results import Batch
from tarragonlb.controller.settings import FLEET_PARTITION
from tarragonlb.scheduling.fleetrecords import (
    DrainRequest,
    build_drain_record,
    build_reopen_record,
)
from tarragonlb.scheduling.ownershiprecords import build_pool_record

POOLS = ('a', 'b', 'c')
KEY = (Topic.JOBS, FLEET_PARTITION)


class ShortReadStore(FakeStore):
    async def read(self, topic, partition, offset, wait_seconds):
        batch = await super().read(topic, partition, offset, wait_seconds)
        if not isinstance(batch, Batch) or not batch.records:
            return batch
        return Batch(batch.records[:1], offset + 1, batch.end)


@given('a store that returns one record a read')
def create_store(context):
    context.store = ShortReadStore()
    context.view = PlatformView()
    context.feed = FleetStateFeed(
        context.store, SETTINGS, context.view, FakeClock()
    )
    # The first read is a snapshot.
    refresh(context)


def refresh(context):
    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(context.feed.refresh, clock=clock)


@when("three pools are assigned and the fleet's records are read once")
def assign(context):
    context.store.logs[KEY].extend(
        build_pool_record(pool, number) for number, pool in enumerate(POOLS, 1)
    )
    refresh(context)


@then('all three pools have their partition')
def check_partitions(context):
    found = {pool: context.view.find_partition(pool) for pool in POOLS}
    assert found == {'a': 1, 'b': 2, 'c': 3}, found


@when("a drain is requested and the fleet's records are read once")
def request_drain(context):
    request = DrainRequest('m', 'w', 0, 1)
    context.store.logs[KEY].append(build_drain_record(request))
    refresh(context)
    assert context.view.fleet_state.drain_requests


@when("it is withdrawn, records expire and the fleet's records are read again")
def withdraw(context):
    context.store.logs[KEY].append(build_reopen_record('m'))
    context.store.firsts[KEY] = len(context.store.logs[KEY])
    refresh(context)


@then('no VM is to be drained')
def check_drains(context):
    requests = context.view.fleet_state.drain_requests
    assert not requests, requests
