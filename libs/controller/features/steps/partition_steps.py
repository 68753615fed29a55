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
from tarragonlb.controller.results import Batch, NotDone  # noqa: E402
from tarragonlb.scheduling.job import (  # noqa: E402
    Demand,
    Job,
    JobSpec,
    Step,
)
from tarragonlb.scheduling.records import (  # noqa: E402
    build_submission_record,
)

JOB_IDS = ('0' * 16, '1' * 16, '2' * 16)


class FailingStore(FakeStore):
    """Fails the second read after ``break_reads``, or does not answer it.

    A read returns one record only, so that a refresh takes several.
    """

    fault = ''
    reads_left = 0

    def break_reads(self, fault):
        self.fault = fault
        self.reads_left = 1

    async def read(self, topic, partition, offset, wait_seconds):
        if self.fault and not self.reads_left:
            if self.fault == 'fails':
                return NotDone('busy')
            await trio.sleep_forever()
        self.reads_left -= 1
        batch = await super().read(topic, partition, offset, wait_seconds)
        if not batch.records:
            return batch
        return Batch(batch.records[:1], offset + 1, batch.end)


def run(function, *arguments):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *arguments, clock=clock)


def store_job(context, job_id):
    step = Step(width=1, demand=Demand(500, 100, 0))
    spec = JobSpec(payload='x', steps=(step,))
    job = Job(job_id=job_id, queue='q', pool='pool', spec=spec)
    context.store.logs[Topic.JOBS, 1].append(build_submission_record(job))


@given("a feed of the pool's partition that has read a job")
def make_feed(context):
    context.store = FailingStore()
    context.feed = PartitionFeed(1, context.store, SETTINGS, FakeClock())
    store_job(context, JOB_IDS[0])
    assert run(context.feed.refresh)


@when('two jobs are stored and the second read of a refresh {fault}')
def break_refresh(context, fault):
    for job_id in JOB_IDS[1:]:
        store_job(context, job_id)
    context.store.break_reads(fault)

    async def refresh():
        with trio.move_on_after(1):
            assert not await context.feed.refresh()

    run(refresh)
    context.store.fault = ''


@then('the feed knows all three jobs after the next refresh')
def check_jobs(context):
    assert run(context.feed.refresh)
    known = {job.job_id for job in context.feed.job_index.list_jobs()}
    assert known == set(JOB_IDS), known
