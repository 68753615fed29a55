import sys
from pathlib import Path

import trio
import trio.testing
from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from fakeplatform import (  # noqa: E402
    PARTITIONS,
    QUEUE,
    FakeClock,
    FakeDocumentDecoder,
    FakeStore,
    FakeVmApi,
    FakeWorkerApi,
)

from tarragonlb.controller.lease import WorkerLease  # noqa: E402
from tarragonlb.controller.membership import (  # noqa: E402
    Membership,
    OwnedPartition,
)
from tarragonlb.controller.ports import Topic  # noqa: E402
from tarragonlb.controller.process import (  # noqa: E402
    Controller,
    Platform,
)
from tarragonlb.controller.results import Assignment  # noqa: E402
from tarragonlb.controller.settings import ControllerSettings  # noqa: E402
from tarragonlb.scheduling.job import (  # noqa: E402
    Demand,
    Job,
    JobSpec,
    Step,
)
from tarragonlb.scheduling.records import KeyedRecord  # noqa: E402
from tarragonlb.scheduling.settings import SchedulingSettings  # noqa: E402

SETTLE_SECONDS = 3.0
SETTINGS = ControllerSettings(
    name='vm',
    partitions=PARTITIONS,
    grace_seconds=6.0,
    holder_lease_seconds=3.0,
    scheduling=SchedulingSettings(
        max_lease_seconds=6.0,
        maintenance_seconds=2.0,
    ),
)


class Story:
    """Steps are collected and then played in one run of virtual time."""

    def __init__(self, daemons, workers):
        self.daemons = daemons
        self.workers = workers
        self.acts = []

    def play(self):
        trio.run(self._play, clock=trio.testing.MockClock(autojump_threshold=0))

    async def _play(self):
        self.store = FakeStore()
        self.platform_workers = FakeWorkerApi()
        log = self.store.logs
        log[Topic.OPERATORS, 0].append(KeyedRecord('config', b'1'))
        for number in range(self.workers):
            log[Topic.WORKERS, 0].append(KeyedRecord(f'w{number}', b'x'))
        self.jobs = []
        async with trio.open_nursery() as nursery:
            self.controllers = {}
            self.scopes = {}
            self.stops = {}
            for number in range(self.daemons):
                self._start(nursery, f'd{number}')
            await trio.sleep(SETTLE_SECONDS)
            for act in self.acts:
                await act(self)
            nursery.cancel_scope.cancel()

    def _start(self, nursery, name):
        platform = Platform(
            self.store,
            FakeDocumentDecoder(),
            self.platform_workers,
            FakeVmApi(),
        )
        controller = Controller(platform, SETTINGS, name, FakeClock())
        scope = trio.CancelScope()
        stopped = trio.Event()

        async def run():
            with scope:
                await controller.run(stopped)

        nursery.start_soon(run)
        self.controllers[name] = controller
        self.scopes[name] = scope
        self.stops[name] = stopped

    def find_owner(self):
        partition = SETTINGS.find_partition('pool')
        for name, controller in self.controllers.items():
            if any(h.partition == partition for h in controller._owners):
                return name
        raise AssertionError('nobody owns the pool')

    def add_job(self, tasks):
        job_id = f'{len(self.jobs):016x}'
        step = Step(width=tasks, demand=Demand(500, 100, 0))
        job = Job(
            job_id=job_id,
            queue='q',
            pool='pool',
            spec=JobSpec(payload='x', steps=(step,)),
        )
        self.jobs.append(job_id)
        return job


@given('{daemons:d} daemons and {workers:d} workers')
def begin(context, daemons, workers):
    context.story = Story(daemons, workers)


@when('a job of {tasks:d} tasks is handed to each daemon')
def submit_each(context, tasks):
    async def act(story):
        for controller in tuple(story.controllers.values()):
            outcome = await controller.job_service.submit(story.add_job(tasks))
            assert outcome.verdict.value == 'ran', outcome

    context.story.acts.append(act)


@when('a job of {tasks:d} tasks is handed in')
@when('a job of {tasks:d} tasks is handed to the other daemon')
def submit_one(context, tasks):
    async def act(story):
        controller = next(iter(story.controllers.values()))
        began = trio.current_time()
        story.outcome = await controller.job_service.submit(
            story.add_job(tasks)
        )
        story.took = trio.current_time() - began

    context.story.acts.append(act)


@when('{count:d} jobs are handed in at once')
def submit_many(context, count):
    async def act(story):
        job_services = [
            controller.job_service for controller in story.controllers.values()
        ]
        began = trio.current_time()
        story.outcomes = []

        async def submit(job_service, job):
            outcome = await job_service.submit(job)
            story.outcomes.append((outcome, trio.current_time() - began))

        async with trio.open_nursery() as nursery:
            for number in range(count):
                job_service = job_services[number % len(job_services)]
                nursery.start_soon(submit, job_service, story.add_job(1))

    context.story.acts.append(act)


@then('all of them are accepted within {seconds:g} seconds')
def check_accepted(context, seconds):
    context.story.play()
    for outcome, took in context.story.outcomes:
        assert outcome.verdict.value == 'ran', outcome
        assert took <= seconds, took


@when('{seconds:g} seconds pass')
def wait(context, seconds):
    async def act(story):
        await trio.sleep(seconds)

    context.story.acts.append(act)


@when('the owner of the pool is killed')
def kill(context):
    async def act(story):
        name = story.find_owner()
        story.scopes[name].cancel()
        story.controllers.pop(name)

    context.story.acts.append(act)


@when('the owner of the pool is asked to stop')
def stop(context):
    async def act(story):
        name = story.find_owner()
        story.stops[name].set()
        story.controllers.pop(name)

    context.story.acts.append(act)


@when('the store does "{mode}"')
def set_mode(context, mode):
    async def act(story):
        story.store.mode = mode

    context.story.acts.append(act)


@when('the store forgets the history of the pool')
def forget(context):
    async def act(story):
        key = (Topic.JOBS, SETTINGS.find_partition('pool'))
        story.store.logs[key].extend([KeyedRecord('x' * 16 + 'c', b'')] * 5)
        story.store.firsts[key] = len(story.store.logs[key])

    context.story.acts.append(act)


@when(
    'a job of {tasks:d} tasks is handed to one daemon and asked for at the '
    'other'
)
def submit_and_ask(context, tasks):
    async def act(story):
        one, other = story.controllers.values()
        job = story.add_job(tasks)
        await one.job_service.submit(job)
        story.seen = await other.job_service.describe(QUEUE, job.job_id)
        story.unknown = await other.job_service.describe(QUEUE, 'f' * 16)

    context.story.acts.append(act)


@when("the read of the operators' topic that is under way goes silent")
def silence_read(context):
    async def act(story):
        story.store.silence_reads(Topic.OPERATORS)

    context.story.acts.append(act)


@when('the operators publish version {version:d}')
def publish(context, version):
    async def act(story):
        log = story.store.logs[Topic.OPERATORS, 0]
        log.append(KeyedRecord('config', str(version).encode()))

    context.story.acts.append(act)


@then('version {version:d} is in force')
def check_version(context, version):
    async def act(story):
        for controller in story.controllers.values():
            story.version = controller.view.configuration.version

    context.story.acts.append(act)
    context.story.play()
    assert context.story.version == version, context.story.version


@when('two owners end at the same time and all are to be ended')
def end_together(context):
    async def act(story):
        controller = next(iter(story.controllers.values()))
        owners = controller._owners
        owners.clear()
        first, second = OwnedPartition(1, 1), OwnedPartition(2, 1)
        for owned in (first, second):
            owners[owned] = (trio.CancelScope(), trio.Event())

        async def end_both():
            await trio.sleep(0.1)
            for owned in (first, second):
                _, ended = owners.pop(owned)
                ended.set()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(end_both)
            await controller._stop_owners(frozenset())

    context.story.acts.append(act)


@then('the daemon goes on')
def check_goes_on(context):
    context.story.play()


def ask_all(context):
    async def act(story):
        story.states = [
            await controller.job_service.describe(QUEUE, job_id)
            for controller in story.controllers.values()
            for job_id in story.jobs
        ]

    context.story.acts.append(act)
    context.story.play()


@then('both daemons say that both jobs are completed')
@then('the daemon that is left says that both jobs are completed')
@then('the daemon that is left says that its job is completed')
@then('the job is completed')
def check_completed(context):
    ask_all(context)
    states = context.story.states
    assert states, 'no job was handed in'
    assert set(states) == {'completed'}, states


@then('every task was started once')
def check_once(context):
    keys = [key for key, _ in context.story.platform_workers.starts]
    assert len(keys) == len(set(keys)), keys


@then('the answer is "{verdict}" within {seconds:g} seconds')
def check_answer(context, verdict, seconds):
    async def act(story):
        assert story.outcome.verdict.value == verdict, story.outcome
        assert story.outcome.retry_after > 0
        assert story.took <= seconds, story.took

    context.story.acts.append(act)
    context.story.play()


@then('it is known there')
def check_known(context):
    context.story.play()
    assert context.story.seen in {'queued', 'running'}, context.story.seen


@then('a job that nobody handed in is not known')
def check_unknown(context):
    assert context.story.unknown is None


@given('a member that is dealt partitions "{numbers}" in generation {at:d}')
@when('it is dealt partitions "{numbers}" in generation {at:d}')
def deal(context, numbers, at):
    if not hasattr(context, 'membership'):
        context.membership = Membership(1.6)
    parts = frozenset(int(number) for number in numbers.split())
    context.membership.apply_assignment(Assignment(at, parts), 0.0)


@when('a later owner ends the term of partition {partition:d}')
def end_term(context, partition):
    held = context.membership.list_owned_partitions()
    owned = next(h for h in held if h.partition == partition)
    context.membership.end_term(owned)


@then(
    'it holds partition {one:d} in term {first:d} and partition {two:d} '
    'in term {second:d}'
)
def check_terms(context, one, first, two, second):
    held = context.membership.list_owned_partitions()
    assert {OwnedPartition(one, first), OwnedPartition(two, second)} <= held, (
        held
    )


@then('it holds only partition {partition:d} and has to leave the group')
def check_leaves(context, partition):
    held = context.membership.list_owned_partitions()
    assert {owned.partition for owned in held} == {partition}, held
    assert context.membership.must_rejoin


@given('a worker that answered at {at:g} s with its clock at {clock:d} ms')
def answer(context, at, clock):
    context.lease = WorkerLease()
    context.lease.note_answer(clock, at)


@when('a lease of {seconds:g} s is granted at {at:g} s')
def grant(context, seconds, at):
    context.granted = context.lease.extend(at, seconds)


@then('the lease ends at {until:d} ms of the worker')
def check_lease(context, until):
    assert context.granted == until, context.granted


@then('it is over by {at:g} s')
def check_bound(context, at):
    assert abs(context.lease.compute_expiry() - at) < 1e-6
