# Guards against LOST: a daemon answered "no such job" for an accepted job,
# since records of a read were dropped when a later read failed or its client
# disconnected.

import math
import sys
from pathlib import Path

import trio
import trio.testing
from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from fakeplatform import FakeClock, FakeStore  # noqa: E402
from simulation import SETTINGS  # noqa: E402

from tarragonlb.controller.partition import PartitionFeed  # noqa: E402
from tarragonlb.controller.ports import Topic  # noqa: E402
from tarragonlb.controller.results import NotDone  # noqa: E402
from tarragonlb.scheduling.job import (  # noqa: E402
    Demand,
    Job,
    JobSpec,
    Step,
)
from tarragonlb.scheduling.records import (  # noqa: E402
    build_removal_records,
    build_submission_record,
)

PARTITION = 1
JOB_ID = 'a' * 16


class InterruptedStore(FakeStore):
    """Calls ``interrupt`` instead of reading after a number of reads."""

    def __init__(self):
        super().__init__()
        self.reads_left = math.inf
        self.interrupt = None
        self.stores_during_reads = False

    async def read(self, topic, partition, offset, wait_seconds):
        if self.reads_left <= 0:
            return await self.interrupt()
        self.reads_left -= 1
        if self.stores_during_reads:
            log = self.logs[topic, partition]
            log.append(log[0])
        return await super().read(topic, partition, offset, wait_seconds)

    async def read_newest(self, topic, partition):
        if self.reads_left <= 0:
            return await self.interrupt()
        self.reads_left -= 1
        return await super().read_newest(topic, partition)


@given('a partition with a job')
def begin(context):
    context.store = InterruptedStore()
    step = Step(width=1, demand=Demand(500, 100, 0))
    job = Job(
        job_id=JOB_ID,
        queue='q',
        pool='pool',
        spec=JobSpec(payload='x', steps=(step,)),
    )
    log = context.store.logs[Topic.JOBS, PARTITION]
    log.append(build_submission_record(job))
    context.feed = PartitionFeed(
        PARTITION, context.store, SETTINGS, FakeClock()
    )


@given('an owner that is slow to take note of changes')
def subscribe(context):
    sender, context.changes = trio.open_memory_channel(math.inf)
    context.feed.subscribe(sender)


def refresh(context, scope):
    async def run():
        with scope:
            await context.feed.refresh()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    context.store.reads_left = math.inf


@when('the partition is read and the store fails after {count:d} reads')
def read_failing(context, count):
    async def fail():
        return NotDone('no answer')

    context.store.reads_left = count
    context.store.interrupt = fail
    refresh(context, trio.CancelScope())


@when('the partition is read and cancelled after {count:d} reads')
def read_cancelled(context, count):
    scope = trio.CancelScope()

    async def cancel():
        scope.cancel()
        await trio.sleep(1)

    context.store.reads_left = count
    context.store.interrupt = cancel
    refresh(context, scope)


@when('the partition is read again')
def read_again(context):
    refresh(context, trio.CancelScope())


@then('the job is known')
def check_known(context):
    assert context.feed.job_index.find(JOB_ID) is not None


@then('the owner is told of the job')
def check_told(context):
    assert context.changes.receive_nowait() == [JOB_ID]


@given('a new job is stored during each read')
def store_during_reads(context):
    context.store.stores_during_reads = True


@when('the partition is read for {seconds:g} seconds at most')
def read_busy(context, seconds):
    scope = trio.CancelScope(relative_deadline=seconds)
    refresh(context, scope)
    context.is_read = not scope.cancelled_caught


@then('it has been read to the end of the time when the read began')
def check_read(context):
    assert context.is_read
    assert context.feed.job_index.find(JOB_ID) is not None


@when('the job is removed and its records expire')
def remove_job(context):
    key = (Topic.JOBS, PARTITION)
    context.store.logs[key].extend(build_removal_records(JOB_ID))
    context.store.firsts[key] = len(context.store.logs[key])


@then('the job is unknown')
def check_unknown(context):
    assert context.feed.job_index.find(JOB_ID) is None
