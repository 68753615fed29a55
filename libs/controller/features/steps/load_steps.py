import trio
import trio.testing
from behave import given, then, when
from fakeplatform import FakeClock, FakeStore
from simulation import SETTINGS

from tarragonlb.controller.drainreporter import DrainReporter
from tarragonlb.controller.feeds import FleetStateFeed
from tarragonlb.controller.loadpublisher import LoadPublisher
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Topic
from tarragonlb.controller.settings import FLEET_PARTITION
from tarragonlb.scheduling.demand import measure_load
from tarragonlb.scheduling.fleetrecords import (
    DrainRequest,
    build_drain_record,
    build_drained_record,
)
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.worker import Worker, WorkerState

POOL = 'pool'
KEY = (Topic.JOBS, FLEET_PARTITION)
CAPACITY = Demand(4000, 8000, 0)
INTERVAL_SECONDS = 0.25


def add_jobs(context, count):
    jobs = context.partition_state.jobs
    for _ in range(count):
        step = Step(width=4, demand=Demand(1000, 100, 0))
        job = Job(
            job_id=f'{len(jobs):016x}',
            queue='q',
            pool=POOL,
            spec=JobSpec(payload='x', steps=(step,)),
        )
        state = JobState(job, Moment(0))
        state.add_due_occurrences(0)
        context.partition_state.add_job(state)


def publish(context, seconds):
    async def run():
        trio.lowlevel.current_clock().jump(context.now)
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            records = context.publisher.list_changed(
                context.partition_state, trio.current_time()
            )
            for record in records:
                await context.publisher.publish(record)
            await context.feed.refresh()
            await trio.sleep(INTERVAL_SECONDS)
        context.now = trio.current_time()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@given('a pool with {count:d} waiting job, whose load is published')
def begin(context, count):
    context.now = 1.0
    context.repeated = 0
    context.store = FakeStore()
    context.view = PlatformView()
    context.feed = FleetStateFeed(
        context.store, SETTINGS, context.view, FakeClock()
    )
    context.partition_state = PartitionState(SETTINGS.scheduling, 0)
    context.partition_state.update_workers(
        Worker(worker_id=name, pool=POOL, capacity=CAPACITY)
        for name in ('w0', 'w1')
    )
    add_jobs(context, count)
    context.publisher = LoadPublisher(
        OwnedPartition(1, 1), context.store, context.view, SETTINGS
    )
    publish(context, INTERVAL_SECONDS)


@when('{count:d} more jobs wait, and their load is published')
def add_more(context, count):
    add_jobs(context, count)
    publish(context, INTERVAL_SECONDS)


@when('the first record of the load is stored once more')
def store_again(context):
    log = context.store.logs[KEY]
    log.append(log[0])
    context.repeated += 1


@when('{seconds:d} seconds pass in which loads are published and read')
def let_pass(context, seconds):
    publish(context, seconds)


@then('the stored load is the present one')
def check_load(context):
    stored = context.view.fleet_state.loads[POOL]
    present = measure_load(context.partition_state, POOL)
    assert stored == present, (stored, present)


@then('the load was written {count:d} times')
def check_writes(context, count):
    records = context.store.logs[KEY]
    # Those that were stored once more were not written by the publisher.
    written = len(records) - context.repeated
    assert written == count, records


def request_drain(context, number):
    context.request = DrainRequest('m0', 'w0', 0, number)
    context.store.logs[KEY].append(build_drain_record(context.request))
    report_drained(context, 2 * INTERVAL_SECONDS)


def report_drained(context, seconds):
    async def run():
        trio.lowlevel.current_clock().jump(context.now)
        until = trio.current_time() + seconds
        async with trio.open_nursery() as nursery:
            while trio.current_time() < until:
                await context.feed.refresh()
                fleet_state = context.view.fleet_state
                context.worker.is_drain_requested = True
                context.reporter.start_reports(
                    nursery, fleet_state, {'w0': context.worker}
                )
                await trio.sleep(INTERVAL_SECONDS)
        context.now = trio.current_time()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@given('a drain request whose worker is reported as drained')
def begin_drain(context):
    context.now = 1.0
    context.store = FakeStore()
    context.view = PlatformView()
    context.feed = FleetStateFeed(
        context.store, SETTINGS, context.view, FakeClock()
    )
    context.reporter = DrainReporter(context.store, SETTINGS, FakeClock())
    context.worker = WorkerState(Worker(worker_id='w0', pool=POOL), 0)
    context.worker.last_report_at = 0.0
    request_drain(context, 1)
    context.first_request = context.request


@when('the worker is requested anew and reported as drained')
def request_again(context):
    request_drain(context, 2)


@when('the first record of the report is stored once more')
def store_report_again(context):
    record = build_drained_record(context.first_request)
    context.store.logs[KEY].append(record)


@when('{seconds:d} seconds pass in which drained workers are reported')
def let_pass_drained(context, seconds):
    report_drained(context, seconds)


@then('the worker counts as drained')
def check_drained(context):
    assert context.view.fleet_state.is_drained('m0', 'w0')


@then('{count:d} reports were written')
def check_reports(context, count):
    keys = [record.key for record in context.store.logs[KEY]]
    # One of them was not written by the reporter.
    assert keys.count('empty/m0') == count + 1, keys
