import trio
import trio.testing
from behave import given, then, when
from fakeplatform import QUEUE, FakeClock, FakeStore
from simulation import SETTINGS

from tarragonlb.controller.jobservice import JobService
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Topic
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Step
from tarragonlb.scheduling.records import build_submission_record

JOB = Job(
    job_id='a' * 16,
    queue=QUEUE.name,
    pool=QUEUE.pool,
    spec=JobSpec(payload='x', steps=(Step(width=1, demand=Demand(1, 1)),)),
)
PARTITION = 1
MAX_QUERIES = 100
QUERY_SECONDS = 0.05


class StoreWithSlowReadsAtEnd(FakeStore):
    """Each read that finds no record takes longer than the next one."""

    def __init__(self, delays):
        super().__init__()
        self.delays = list(delays)
        self.read_count = 0

    async def read(self, topic, partition, offset, wait_seconds):
        self.read_count += 1
        batch = await super().read(topic, partition, offset, wait_seconds)
        if not batch.records and self.delays:
            await trio.sleep(self.delays.pop(0))
        return batch


@given('a daemon whose reads at the end of a partition take {seconds:g} s')
def create_daemon(context, seconds):
    context.delay_seconds = seconds


async def start_service(context, queries):
    store = StoreWithSlowReadsAtEnd([context.delay_seconds])
    context.store = store
    store.logs[Topic.JOBS, PARTITION].append(build_submission_record(JOB))
    feed = PartitionFeed(PARTITION, store, SETTINGS, FakeClock())
    view = PlatformView()
    view.fleet_state.partitions[QUEUE.pool] = PARTITION
    service = JobService(store, {PARTITION: feed}, SETTINGS, FakeClock(), view)
    context.states = []

    async def query(job_id=JOB.job_id):
        context.states.append(await service.describe(QUEUE, job_id))

    await queries(query)


def run_queries(context, queries):
    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(start_service, context, queries, clock=clock)


@when('two queries for a job that it has not read come {gap:g} s apart')
def query_twice(context, gap):
    async def queries(query):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(query)
            await trio.sleep(gap)
            nursery.start_soon(query)

    run_queries(context, queries)


@when('a query for a job that it has not read is abandoned after {after:g} s')
def abandon_query(context, after):
    async def queries(query):
        with trio.move_on_after(after):
            await query()
        await query()

    run_queries(context, queries)


@when('{count:d} queries for a job that does not exist come {gap:g} s apart')
def query_unknown(context, count, gap):
    async def queries(query):
        async with trio.open_nursery() as nursery:
            for _ in range(count):
                nursery.start_soon(query, 'f' * 16)
                await trio.sleep(gap)

    run_queries(context, queries)


@then('all report that there is no such job')
def check_unknown(context):
    assert set(context.states) == {None}, context.states


@then('the store was read at most {count:d} times')
def check_read_count(context, count):
    assert context.store.read_count <= count, context.store.read_count


@then('both report the job as queued')
def check_states(context):
    assert context.states == ['queued', 'queued'], context.states


@then('a later query reports the job as queued')
def check_later(context):
    assert context.states == ['queued'], context.states


@then('all daemons show its end within {seconds:g} seconds of each other')
def check_ends(context, seconds):
    ended_at = []

    async def watch(service, job_id):
        for _ in range(MAX_QUERIES):
            if await service.describe(QUEUE, job_id) == 'completed':
                ended_at.append(trio.current_time())
                return
            await trio.sleep(QUERY_SECONDS)
        raise AssertionError('the job did not end')

    async def action(sim):
        async with trio.open_nursery() as nursery:
            for controller in sim.controllers.values():
                nursery.start_soon(watch, controller.job_service, sim.jobs[0])

    context.simulation.actions.append(action)
    context.simulation.run()
    assert max(ended_at) - min(ended_at) <= seconds, ended_at
