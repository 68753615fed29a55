"""Steps for cancellations of jobs whose submissions are stored late."""

from dataclasses import replace

import trio
from behave import given, then, when
from fakeplatform import QUEUE, FakeWorkerApi
from latestore import LateStore
from movesimulation import MoveSimulation
from simulation import SETTINGS, Simulation

from tarragonlb.controller.ports import Topic
from tarragonlb.scheduling.earlycancellation import (
    MAX_IN_PARTITION,
    build_early_cancellation_record,
)
from tarragonlb.scheduling.forwarding import (
    build_forwarded_removal,
    build_forwarded_submission,
)
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Step
from tarragonlb.scheduling.jobindex import JobIndex
from tarragonlb.scheduling.records import (
    EARLY_CANCELLATION,
    KeyedRecord,
    build_submission_record,
)

# Clients leave before a daemon has given up their submissions.
LEAVES_SECONDS = 0.9


class LateSimulation(Simulation):
    """Daemons with a store that is late."""

    create_store = LateStore


@given('{daemons:d} daemons and a store that may be late')
def build(context, daemons, has_tenants=False):
    settings = replace(SETTINGS, has_tenants=has_tenants)
    context.simulation = LateSimulation(
        daemons, 2, create_worker_api=FakeWorkerApi, settings=settings
    )


@given('{daemons:d} daemons with tenants and a store that may be late')
def build_with_tenants(context, daemons):
    build(context, daemons, has_tenants=True)


class LateMoveSimulation(MoveSimulation):
    """Daemons with a store that is late, and a queue that moves."""

    create_store = LateStore


@given('{daemons:d} daemons, the pools "{pools}" and a store that may be late')
def build_with_pools(context, daemons, pools):
    context.simulation = LateMoveSimulation(daemons, pools.split())


def find_queue(sim, service):
    """Return the queue as a daemon knows it."""
    if not isinstance(sim, MoveSimulation):
        return QUEUE
    name = next(
        name
        for name, one in sim.controllers.items()
        if one.job_service is service
    )
    return sim.find_queue(name)


def build_job(sim, service, job):
    """Return a job as a client submits it at a daemon."""
    queue = find_queue(sim, service)
    return replace(job, queue=queue.name, pool=queue.pool)


def add(context, action):
    context.simulation.actions.append(action)


def get_service(sim, which):
    services = [one.job_service for one in sim.controllers.values()]
    return services[-1] if which == 'the other daemon' else services[0]


@when('a client submits a job whose append is late, and leaves')
@when(
    'a client of tenant "{tenant}" submits a job whose append is late, and '
    'leaves'
)
@when('a client submits {again} job, whose append is late, and leaves')
def submit_late(context, tenant='', again=''):
    async def action(sim):
        sim.store.is_late = True
        if not again:
            sim.job = replace(sim.add_job(1), tenant=tenant)
        service = get_service(sim, 'one daemon')
        with trio.move_on_after(LEAVES_SECONDS):
            await service.submit(build_job(sim, service, sim.job))
        sim.store.is_late = False
        assert sim.store.held, 'no append was late'

    add(context, action)


@when('a client cancels the job while appends are late, and leaves')
def cancel_late(context):
    async def action(sim):
        sim.store.is_late = True
        held = len(sim.store.held)
        with trio.move_on_after(LEAVES_SECONDS):
            await get_service(sim, 'one daemon').cancel(QUEUE, sim.job.job_id)
        sim.store.is_late = False
        assert len(sim.store.held) > held, 'no append was late'

    add(context, action)


@when('a client cancels the job at {which}, which is answered with "{answer}"')
@when(
    'a client of tenant "{tenant}" cancels the job at {which}, which is '
    'answered with "{answer}"'
)
def cancel(context, which, answer, tenant=''):
    async def action(sim):
        service = get_service(sim, which)
        queue = find_queue(sim, service)
        outcome = await service.cancel(queue, sim.job.job_id, tenant)
        found = 'gone' if outcome is None else outcome.verdict.value
        assert found == answer, outcome

    add(context, action)


@when('all daemons are restarted')
def restart_all(context):
    async def action(sim):
        for name in tuple(sim.controllers):
            sim.scopes[name].cancel()
            sim.controllers.pop(name)
        for number in range(2):
            sim._start(sim.nursery, f'new-{number}')
        await trio.sleep(5)

    add(context, action)


@when('the late append is carried out')
def carry_out(context):
    async def action(sim):
        sim.store.carry_out()

    add(context, action)


@when('the same job is submitted again at {which}')
@when('tenant "{tenant}" submits the same job at {which}')
def submit_again(context, which, tenant=''):
    async def action(sim):
        service = get_service(sim, which)
        job = build_job(sim, service, replace(sim.job, tenant=tenant))
        outcome = await service.submit(job)
        assert outcome.verdict.value == 'ran', outcome

    add(context, action)


@when('clients cancel {count:d} unknown jobs at once')
def cancel_many(context, count):
    async def action(sim):
        sim.answers = []

        async def cancel_one(number):
            service = get_service(sim, 'one daemon')
            job_id = f'{number:016x}'
            sim.answers.append(await service.cancel(QUEUE, job_id))

        started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(cancel_one, number)
        sim.seconds = trio.current_time() - started_at

    add(context, action)


@then('all are answered within {seconds:g} s')
def check_answers(context, seconds):
    async def action(sim):
        assert sim.seconds < seconds, sim.seconds

    add(context, action)


@then('no more are stored than are kept, and the others are told to come back')
def check_bound(context):
    async def action(sim):
        refused = [answer for answer in sim.answers if answer is not None]
        assert {answer.verdict.value for answer in refused} == {'not-run'}
        assert all(answer.retry_after for answer in refused)
        key = (Topic.JOBS, sim.find_partition('pool'))
        early = [
            record
            for record in sim.store.logs[key]
            if record.key.endswith(EARLY_CANCELLATION)
        ]
        # Those that were under way when the last one was counted.
        assert len(early) == len(sim.answers) - len(refused)
        assert len(early) <= MAX_IN_PARTITION, len(early)

    add(context, action)


@then('each job that is submitted meanwhile runs')
def check_other(context):
    async def action(sim):
        sim.job = replace(sim.add_job(1), job_id='f' * 16)
        outcome = await get_service(sim, 'one daemon').submit(sim.job)
        assert outcome.verdict.value == 'ran', outcome

    add(context, action)
    check_run(context, 'completed')


@then('the job has not run')
def check_not_run(context):
    async def action(sim):
        await trio.sleep(4)
        assert not sim.worker_api.starts, sim.worker_api.starts

    add(context, action)
    context.simulation.run()


async def check_states(sim, expected):
    job = sim.job
    states = {
        await one.job_service.describe(
            find_queue(sim, one.job_service), job.job_id, job.tenant
        )
        for one in sim.controllers.values()
    }
    assert states == {expected}, states


@then('each daemon says "{state}"')
def check_state(context, state):
    async def action(sim):
        await trio.sleep(4)
        await check_states(sim, None if state == 'gone' else state)

    add(context, action)
    context.simulation.run()


@then('the job has run once and each daemon says "{state}"')
def check_run(context, state):
    async def action(sim):
        await trio.sleep(4)
        starts = [key.job_id for key, _ in sim.worker_api.starts]
        assert starts == [sim.job.job_id], starts
        await check_states(sim, state)

    add(context, action)
    context.simulation.run()


@then('nothing is left of early cancellations after {seconds:g} s')
def check_removed(context, seconds):
    async def action(sim):
        await trio.sleep(seconds)
        for controller in sim.controllers.values():
            for feed in controller._feeds.values():
                index = feed.job_index
                assert not index.early_cancellations
                assert index.find(sim.job.job_id) is None

    add(context, action)
    context.simulation.run()


@given('the records of a job that was cancelled early in two partitions')
def cancel_in_two(context):
    context.job = Job(
        job_id='f' * 16,
        queue='q',
        pool='pool',
        spec=JobSpec(payload='x', steps=(Step(width=1, demand=Demand()),)),
    )
    record = build_early_cancellation_record(context.job.job_id, 0, '', 'q')
    context.former, context.present = JobIndex(), JobIndex()
    for index in (context.former, context.present):
        index.apply([replace_offset(record, 0)])


def replace_offset(record, offset):
    return KeyedRecord(record.key, record.value, offset)


@when('a submission that covers this is forwarded from one to the other')
def forward(context):
    job = context.job
    covers = context.former.find_covered(job.job_id, '', 'q')
    submission = build_submission_record(job, covers)
    context.former.apply([replace_offset(submission, 1)])
    records = context.former.find(job.job_id)
    forwarded = build_forwarded_submission(
        job.job_id,
        records.submissions.value,
        'q',
        'b',
        records.submissions.covers,
    )
    context.present.apply([replace_offset(forwarded, 1)])


@then('the job is known there')
def check_forwarded(context):
    assert context.present.find(context.job.job_id) is not None


@then('nothing is left where it was once it is removed')
def check_forwarded_removal(context):
    job_id = context.job.job_id
    removals = context.former.build_removals(job_id)
    removals = build_forwarded_removal(job_id, removals)
    context.former.apply([replace_offset(one, 2) for one in removals])
    assert context.former.find(job_id) is None
    assert not list(context.former.list_jobs())
