import trio
import trio.testing
from behave import given, then, when
from fakeplatform import FakeClock, FakeStore
from simulation import SETTINGS

from tarragonlb.controller.decisionstorage import DecisionStorage
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.results import NotDone
from tarragonlb.scheduling.job import Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.orders import SchedulingDecision
from tarragonlb.scheduling.records import build_submission_record

OWNED = OwnedPartition(1, term=1)
BYTES_PER_MB = 1_000_000
MOST_SECONDS = 30


class BoundedStore(FakeStore):
    """Refuses appends of more than ``max_bytes``."""

    max_bytes = 0

    async def append(self, partition, records, append_key, *topic):
        if sum(len(record.value) for record in records) > self.max_bytes:
            return NotDone('too large')
        return await super().append(partition, records, append_key, *topic)


def create_feed(context):
    return PartitionFeed(OWNED.partition, context.store, SETTINGS, FakeClock())


@given(
    'an owner of {jobs:d} jobs of {tasks:d} tasks and a store that takes '
    '{size:g} MB a call'
)
def create_jobs(context, jobs, tasks, size):
    context.store = BoundedStore()
    context.store.max_bytes = size * BYTES_PER_MB
    spec = JobSpec(payload='x', steps=(Step(width=tasks),))
    context.states = [
        JobState(
            Job(job_id=f'{number:016x}', queue='q', pool='pool', spec=spec),
            Moment(0),
        )
        for number in range(jobs)
    ]
    for state in context.states:
        state.add_occurrence()
        for _, task in state.list_tasks():
            task.place('worker-0', incarnation=1, attempt=1, now=0)


@when('the owner stores a decision on all of them')
def store_decision(context):
    decision = SchedulingDecision(jobs=tuple(context.states))
    context.is_stored = False

    async def store():
        storage = DecisionStorage(
            OWNED, context.store, create_feed(context), SETTINGS
        )
        for state in context.states:
            record = build_submission_record(state.job)
            await context.store.append(OWNED.partition, (record,), None)
        with trio.move_on_after(MOST_SECONDS):
            started_at = trio.current_time()
            context.reason = await storage.store(decision, started_at)
            context.elapsed = trio.current_time() - started_at
            context.is_stored = True

    trio.run(store, clock=trio.testing.MockClock(autojump_threshold=0))


@then('it is stored within {seconds:g} s')
def check_stored(context, seconds):
    assert context.is_stored
    assert not context.reason, context.reason
    assert context.elapsed <= seconds, context.elapsed


@then('a new reader of the partition finds all jobs as they were decided')
def check_found(context):
    feed = create_feed(context)
    clock = trio.testing.MockClock(autojump_threshold=0)
    assert trio.run(feed.refresh, clock=clock)
    for state in context.states:
        records = feed.job_index.find(state.job.job_id)
        found = records.build_state(Moment(0))
        phases = [task.phase for _, task in found.list_tasks()]
        assert phases == [task.phase for _, task in state.list_tasks()]
