import sys
from pathlib import Path

import trio
from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from fakeplatform import QUEUE  # noqa: E402
from simulation import Simulation  # noqa: E402

from tarragonlb.controller.lease import WorkerLease  # noqa: E402
from tarragonlb.controller.membership import (  # noqa: E402
    Membership,
    OwnedPartition,
)
from tarragonlb.controller.ports import Topic  # noqa: E402
from tarragonlb.controller.results import Assignment  # noqa: E402
from tarragonlb.scheduling.records import KeyedRecord  # noqa: E402


@given('{daemons:d} daemons and {workers:d} workers')
def begin(context, daemons, workers):
    context.simulation = Simulation(daemons, workers)


@when('a job of {tasks:d} tasks is submitted to each daemon')
def submit_each(context, tasks):
    async def action(sim):
        for controller in tuple(sim.controllers.values()):
            outcome = await controller.job_service.submit(sim.add_job(tasks))
            assert outcome.verdict.value == 'ran', outcome

    context.simulation.actions.append(action)


@when('a job of {tasks:d} tasks is submitted')
@when('a job of {tasks:d} tasks is submitted to the other daemon')
def submit_one(context, tasks):
    async def action(sim):
        controller = next(iter(sim.controllers.values()))
        started_at = trio.current_time()
        sim.outcome = await controller.job_service.submit(sim.add_job(tasks))
        sim.elapsed = trio.current_time() - started_at

    context.simulation.actions.append(action)


@when('{count:d} jobs are submitted at once')
def submit_many(context, count):
    async def action(sim):
        job_services = [
            controller.job_service for controller in sim.controllers.values()
        ]
        started_at = trio.current_time()
        sim.outcomes = []

        async def submit(job_service, job):
            outcome = await job_service.submit(job)
            sim.outcomes.append((outcome, trio.current_time() - started_at))

        async with trio.open_nursery() as nursery:
            for number in range(count):
                job_service = job_services[number % len(job_services)]
                nursery.start_soon(submit, job_service, sim.add_job(1))

    context.simulation.actions.append(action)


@then('all of them are accepted within {seconds:g} seconds')
def check_accepted(context, seconds):
    context.simulation.run()
    for outcome, elapsed in context.simulation.outcomes:
        assert outcome.verdict.value == 'ran', outcome
        assert elapsed <= seconds, elapsed


@when('{seconds:g} seconds pass')
def wait(context, seconds):
    async def action(sim):
        await trio.sleep(seconds)

    context.simulation.actions.append(action)


@when('the directory takes {seconds:g} seconds to read')
def slow_directory(context, seconds):
    async def action(sim):
        sim.store.read_seconds[Topic.WORKERS] = seconds

    context.simulation.actions.append(action)


@when('worker "{name}" shrinks to {millicores:d} millicores')
def shrink(context, name, millicores):
    async def action(sim):
        entry = KeyedRecord(name, str(millicores).encode())
        sim.store.logs[Topic.WORKERS, 0].append(entry)

    context.simulation.actions.append(action)


@then('no worker has run more than {most:d} tasks at a time')
def check_most_runs(context, most):
    async def action(sim):
        assert 0 < sim.worker_api.most_runs <= most, sim.worker_api.most_runs

    context.simulation.actions.append(action)


@when('the owner of the pool is killed')
def kill(context):
    async def action(sim):
        name = sim.find_owner()
        sim.scopes[name].cancel()
        sim.controllers.pop(name)

    context.simulation.actions.append(action)


@when('the owner of the pool is asked to stop')
def stop(context):
    async def action(sim):
        name = sim.find_owner()
        sim.stops[name].set()
        sim.controllers.pop(name)

    context.simulation.actions.append(action)


@when('the store is in mode "{mode}"')
def set_mode(context, mode):
    async def action(sim):
        sim.store.mode = mode

    context.simulation.actions.append(action)


@when('the records of the pool expire')
def expire_records(context):
    async def action(sim):
        key = (Topic.JOBS, sim.find_partition('pool'))
        sim.store.logs[key].extend([KeyedRecord('x' * 16 + 'c', b'')] * 5)
        sim.store.firsts[key] = len(sim.store.logs[key])

    context.simulation.actions.append(action)


@when(
    'a job of {tasks:d} tasks is submitted to one daemon and queried at the '
    'other'
)
def submit_and_query(context, tasks):
    async def action(sim):
        one, other = sim.controllers.values()
        job = sim.add_job(tasks)
        await one.job_service.submit(job)
        sim.seen = await other.job_service.describe(QUEUE, job.job_id)
        sim.unknown = await other.job_service.describe(QUEUE, 'f' * 16)

    context.simulation.actions.append(action)


@when("the connection of the pending read of the operators' topic dies")
def drop_pending_read(context):
    async def action(sim):
        sim.store.drop_pending_reads(Topic.OPERATORS)

    context.simulation.actions.append(action)


@when('the operators publish version {version:d}')
def publish(context, version):
    async def action(sim):
        log = sim.store.logs[Topic.OPERATORS, 0]
        log.append(KeyedRecord('config', str(version).encode()))

    context.simulation.actions.append(action)


@then('version {version:d} is applied')
def check_version(context, version):
    async def action(sim):
        for controller in sim.controllers.values():
            sim.version = controller.view.configuration.version

    context.simulation.actions.append(action)
    context.simulation.run()
    assert context.simulation.version == version, context.simulation.version


@when('two owners end at the same time while all are being stopped')
def end_together(context):
    async def action(sim):
        controller = next(iter(sim.controllers.values()))
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

    context.simulation.actions.append(action)


@then('the daemon keeps running')
def check_running(context):
    context.simulation.run()


def query_all(context):
    async def action(sim):
        sim.states = [
            await controller.job_service.describe(QUEUE, job_id)
            for controller in sim.controllers.values()
            for job_id in sim.jobs
        ]

    context.simulation.actions.append(action)
    context.simulation.run()


@then('both daemons report both jobs as completed')
@then('the remaining daemon reports both jobs as completed')
@then('the remaining daemon reports its job as completed')
@then('the job is completed')
def check_completed(context):
    query_all(context)
    states = context.simulation.states
    assert states, 'no job was submitted'
    assert set(states) == {'completed'}, states


@then('every task was started once')
def check_once(context):
    keys = [key for key, _ in context.simulation.worker_api.starts]
    assert len(keys) == len(set(keys)), keys


@then('the verdict is "{verdict}" within {seconds:g} seconds')
def check_verdict(context, verdict, seconds):
    async def action(sim):
        assert sim.outcome.verdict.value == verdict, sim.outcome
        assert sim.outcome.retry_after > 0
        assert sim.elapsed <= seconds, sim.elapsed

    context.simulation.actions.append(action)
    context.simulation.run()


@then('the other daemon knows the job')
def check_known(context):
    context.simulation.run()
    assert context.simulation.seen in {'queued', 'running'}, (
        context.simulation.seen
    )


@then('it does not know a job that was never submitted')
def check_unknown(context):
    assert context.simulation.unknown is None


@given('a member that is assigned partitions "{numbers}" in generation {at:d}')
@when('it is assigned partitions "{numbers}" in generation {at:d}')
def assign(context, numbers, at):
    if not hasattr(context, 'membership'):
        context.membership = Membership(1.6)
    partitions = frozenset(int(number) for number in numbers.split())
    context.membership.apply_assignment(Assignment(at, partitions), 0.0)


@when('a later owner ends the term of partition {partition:d}')
def end_term(context, partition):
    held = context.membership.list_owned_partitions()
    owned = next(h for h in held if h.partition == partition)
    context.membership.end_term(owned)


@then(
    'it owns partition {one:d} in term {first:d} and partition {two:d} '
    'in term {second:d}'
)
def check_terms(context, one, first, two, second):
    held = context.membership.list_owned_partitions()
    assert {OwnedPartition(one, first), OwnedPartition(two, second)} <= held, (
        held
    )


@then('it owns only partition {partition:d} and must rejoin the group')
def check_must_rejoin(context, partition):
    held = context.membership.list_owned_partitions()
    assert {owned.partition for owned in held} == {partition}, held
    assert context.membership.must_rejoin


@given('a worker that replied at {at:g} s with its clock at {clock:d} ms')
def record_reply(context, at, clock):
    context.lease = WorkerLease()
    context.lease.record_reply(clock, at)


@when('a lease of {seconds:g} s is granted at {at:g} s')
def grant(context, seconds, at):
    context.granted = context.lease.extend(at, seconds)


@then("the lease expires at {until:d} ms on the worker's clock")
def check_lease(context, until):
    assert context.granted == until, context.granted


@then('it has expired by {at:g} s')
def check_expiry(context, at):
    assert abs(context.lease.compute_expiry() - at) < 1e-6
