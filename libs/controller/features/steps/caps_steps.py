import sys
from dataclasses import replace
from pathlib import Path

import trio
from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from fakedocuments import FakeDocumentDecoder  # noqa: E402
from fakeplatform import (  # noqa: E402
    QUEUE,
    FakeStore,
    FakeVmApi,
    FakeWorkerApi,
)
from simulation import SETTINGS, Simulation  # noqa: E402

from tarragonlb.controller.platformview import PlatformView  # noqa: E402
from tarragonlb.controller.ports import Configuration, Topic  # noqa: E402
from tarragonlb.controller.quotafeed import QuotaFeed  # noqa: E402
from tarragonlb.controller.results import NotDone  # noqa: E402
from tarragonlb.scheduling.job import Demand  # noqa: E402
from tarragonlb.scheduling.queue import QueueTable  # noqa: E402
from tarragonlb.scheduling.quotarecords import decode_grant  # noqa: E402
from tarragonlb.scheduling.tenant import Tenant, TenantTable  # noqa: E402
from tarragonlb.scheduling.worker import Worker  # noqa: E402

TENANT = 'harbour'
TOPIC = (Topic.TENANTS, 0)
STEP_SECONDS = 0.02


class TenantDocuments(FakeDocumentDecoder):
    """A configuration with a tenant; each pool has three workers."""

    pools = ()
    tenants = TenantTable()

    def decode_operator_record(self, record):
        queues = [
            replace(QUEUE, name=pool, path_prefix=f'/{pool}/', pool=pool)
            for pool in self.pools
        ]
        return Configuration(1, QueueTable(queues), 1000, tenants=self.tenants)

    def decode_worker_record(self, record):
        number = int(record.key.removeprefix('w'))
        return Worker(
            worker_id=record.key,
            pool=self.pools[number % len(self.pools)],
            address='x:1',
            capacity=Demand(4000, 8000, 0),
        )


class CapStore(FakeStore):
    """A store that refuses the reports on one partition."""

    refused = 0

    def __init__(self):
        super().__init__()
        self.tenant_reads = 0

    async def append(self, partition, records, append_key, topic=Topic.JOBS):
        prefix = f'report/{self.refused}/'
        if any(record.key.startswith(prefix) for record in records):
            return NotDone('busy')
        return await super().append(partition, records, append_key, topic)

    async def read(self, topic, partition, offset, wait_seconds):
        self.tenant_reads += topic is Topic.TENANTS
        return await super().read(topic, partition, offset, wait_seconds)

    async def read_newest(self, topic, partition):
        self.tenant_reads += topic is Topic.TENANTS
        return await super().read_newest(topic, partition)


class CapWorkerApi(FakeWorkerApi):
    """Workers with tasks of a given length, and the most that ever ran."""

    seconds = 1.0

    async def start(self, worker, order, token, lease_until_ms):
        reply = await super().start(worker, order, token, lease_until_ms)
        runs = self.runs[worker.worker_id]
        if order.key in runs:
            attempt, _ = runs[order.key]
            until = trio.current_time() + self.seconds
            runs[order.key] = (attempt, until)
        self.most = max(getattr(self, 'most', 0), self.count_runs())
        return reply

    def count_runs(self):
        now = trio.current_time()
        return sum(
            ends_at > now
            for runs in self.runs.values()
            for _, ends_at in runs.values()
        )


class UnlistedVms(FakeVmApi):
    """VMs that can not be listed, so none is moved."""

    async def list_vms(self):
        return NotDone('busy')


def add_action(context, action):
    context.simulation.actions.append(action)


def find_owner(sim, partition):
    names = [
        name
        for name, owned in sim.list_owners()
        if owned.partition == partition
    ]
    assert names, (partition, sim.list_owners())
    return names[0]


def kill(sim, partition):
    name = find_owner(sim, partition)
    sim.scopes[name].cancel()
    sim.controllers.pop(name)


def list_grants(sim):
    return [
        decode_grant(record.key.partition('/')[2], record.value)
        for record in sim.store.logs[TOPIC]
        if record.key.startswith('grant/')
    ]


async def wait_until(check, seconds):
    for _ in range(round(seconds / STEP_SECONDS)):
        if check():
            return
        await trio.sleep(STEP_SECONDS)


@given('{count:d} daemons with the pools "{pools}" and no tenants')
def build_without(context, count, pools):
    build(context, count, pools, None, has_tenants=False)


@given('{count:d} daemons with the pools "{pools}" and a tenant without cap')
def build_uncapped(context, count, pools):
    build(context, count, pools, 0)


@given(
    '{count:d} daemons with the pools "{pools}" and a tenant with a cap of '
    '{cap:d}'
)
def build_capped(context, count, pools, cap):
    build(context, count, pools, cap)


def build(context, count, pools, cap, has_tenants=True):
    tenants = []
    if has_tenants:
        tenants.append(Tenant(name=TENANT, cap=Demand(cap, 0, 0)))

    def create_documents():
        documents = TenantDocuments()
        documents.pools = pools.split()
        documents.tenants = TenantTable(tenants)
        return documents

    sim = Simulation(count, 9, create_worker_api=CapWorkerApi)
    sim.settings = replace(SETTINGS, has_tenants=has_tenants)
    sim.create_store = CapStore
    sim.create_vms = UnlistedVms
    sim.create_documents = create_documents
    sim.has_tenants = has_tenants
    context.simulation = sim


@when('tasks last {seconds:d} seconds')
def set_seconds(context, seconds):
    async def action(sim):
        sim.worker_api.seconds = seconds

    add_action(context, action)


@when('{count:d} tasks of the tenant are handed in to pool "{pool}"')
def submit(context, count, pool):
    async def action(sim):
        job = sim.add_job(count, pool, pool)
        if sim.has_tenants:
            job = replace(job, tenant=TENANT)
        controller = next(iter(sim.controllers.values()))
        outcome = await controller.job_service.submit(job)
        assert outcome.verdict.value == 'ran', outcome

    add_action(context, action)


@when('{seconds:d} seconds of the pools pass')
def wait(context, seconds):
    async def action(sim):
        await trio.sleep(seconds)

    add_action(context, action)


@when('the owner of pool "{pool}" can not report')
def refuse_reports(context, pool):
    async def action(sim):
        sim.store.refused = sim.find_partition(pool)

    add_action(context, action)


@when('the owner of pool "{pool}" can report again')
def accept_reports(context, pool):
    async def action(sim):
        sim.store.refused = 0

    add_action(context, action)


@when('the fleet owner is killed after it has lowered a share')
def kill_fleet_owner(context):
    async def action(sim):
        def is_lowered():
            return any(
                row.lowered
                for grant in list_grants(sim)
                for row in grant.shares.values()
            )

        await wait_until(is_lowered, 2)
        assert is_lowered()
        assert len(sim.worker_api.starts) < 6, sim.worker_api.starts
        kill(sim, 0)

    add_action(context, action)


@when('the owner of pool "{pool}" is killed')
def kill_owner(context, pool):
    async def action(sim):
        kill(sim, sim.find_partition(pool))

    add_action(context, action)


@then('within {seconds:g} seconds {count:d} of its tasks run')
def check_runs_soon(context, seconds, count):
    async def action(sim):
        await wait_until(lambda: sim.worker_api.count_runs() >= count, seconds)
        assert sim.worker_api.count_runs() >= count, sim.worker_api.starts

    add_action(context, action)


@then('within {seconds:g} seconds {count:d} of its tasks have started')
def check_started(context, seconds, count):
    async def action(sim):
        await wait_until(lambda: len(sim.worker_api.starts) >= count, seconds)
        assert len(sim.worker_api.starts) >= count, sim.worker_api.starts

    add_action(context, action)


@then('{count:d} of its tasks run')
def check_runs(context, count):
    async def action(sim):
        assert sim.worker_api.count_runs() == count, sim.worker_api.runs

    add_action(context, action)


@then('at no time more than {most:d} of its tasks ran')
def check_most(context, most):
    context.simulation.run()
    assert context.simulation.worker_api.most <= most


@then('the topic of tenants was never read and is empty')
def check_unused(context):
    context.simulation.run()
    store = context.simulation.store
    assert len(context.simulation.worker_api.starts) == 6
    assert not store.tenant_reads
    assert not store.logs[TOPIC]


@then('no record was stored after the first grants')
def check_no_records(context):
    context.simulation.run()
    sim = context.simulation
    assert len(sim.worker_api.starts) == 2
    keys = [record.key for record in sim.store.logs[TOPIC] if record.value]
    kinds = [key.partition('/')[0] for key in keys]
    assert sorted(kinds) == ['grant', 'term', 'term', 'term'], keys


@given('a feed of records on caps')
def create_feed(context):
    context.feed = QuotaFeed(FakeStore(), SETTINGS, PlatformView())


@when('{count:d} owners subscribe and end, one after the other')
def subscribe(context, count):
    for _ in range(count):
        with context.feed.subscribe():
            pass


@then('at most 1 subscription is kept')
def check_subscriptions(context):
    assert len(context.feed._subscribers) <= 1
