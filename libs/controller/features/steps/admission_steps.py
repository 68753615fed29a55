# Rejection of hopeless jobs, at several daemons with one store.

from dataclasses import replace

from behave import given, then, when
from simulation import SETTINGS, Simulation

from tarragonlb.controller.ports import Topic
from tarragonlb.scheduling.job import JobSpec
from tarragonlb.scheduling.waitforecast import PoolWaits
from tarragonlb.scheduling.waitrecords import (
    StoredWaits,
    build_wait_record,
    decode_waits,
)

MODES = {'off': False, 'by expected wait': True}
FULL_SECONDS = 6


@given('2 daemons with admission {mode}')
def begin(context, mode):
    settings = replace(SETTINGS, rejects_hopeless_jobs=MODES[mode])
    context.simulation = Simulation(2, 1, settings=settings)


def add(context, action):
    context.simulation.actions.append(action)


def list_services(sim):
    return [controller.job_service for controller in sim.controllers.values()]


def list_waits(sim):
    return [
        record
        for record in sim.store.logs[Topic.JOBS, 0]
        if record.key == 'wait/pool'
    ]


def has_records(sim, job):
    return any(
        record.key.startswith(job.job_id)
        for (topic, _), log in sim.store.logs.items()
        for record in log
        if topic is Topic.JOBS
    )


@when('a job is submitted at one daemon')
def submit_first(context):
    async def action(sim):
        sim.first = sim.add_job(1)
        outcome = await list_services(sim)[0].submit(sim.first)
        assert outcome.verdict.value == 'ran', outcome

    add(context, action)


@when('waits of {wait:g} s are published for {seconds:g} s')
def publish(context, wait, seconds):
    async def action(sim):
        term = dict(sim.list_owners())[sim.find_owner()].term
        waits = PoolWaits({'q': wait}, clears_in=wait, rate=1)
        record = build_wait_record('pool', StoredWaits(term, waits))
        for _ in range(round(seconds / 0.25)):
            await sim.store.append(0, (record,), None)
            await sim.sleep(0.25)

    add(context, action)


@then('another job is refused at each daemon, with a time to come back')
def check_refused(context):
    async def action(sim):
        sim.other = sim.add_job(1)
        for service in list_services(sim):
            outcome = await service.submit(sim.other)
            assert outcome.verdict.value == 'not-run', outcome
            assert outcome.retry_after >= 60, outcome

    add(context, action)


@then('nothing of it is stored')
def check_not_stored(context):
    async def action(sim):
        assert has_records(sim, sim.first)
        assert not has_records(sim, sim.other)

    add(context, action)


@then('the first job is accepted again at each daemon, and the run succeeds')
def check_repeated(context):
    async def action(sim):
        for service in list_services(sim):
            outcome = await service.submit(sim.first)
            assert outcome.verdict.value == 'ran', outcome

    add(context, action)
    context.simulation.run()


@then('another job is accepted at each daemon')
def check_accepted(context):
    async def action(sim):
        for service in list_services(sim):
            outcome = await service.submit(sim.add_job(1))
            assert outcome.verdict.value == 'ran', outcome

    add(context, action)
    context.simulation.run()


@when('the store is down for {seconds:g} s')
def stop_store(context, seconds):
    async def action(sim):
        sim.store.mode = 'refuse'
        await sim.sleep(seconds)
        sim.store.mode = 'up'
        # The daemons read again, and find the last figure.
        await sim.sleep(0.5)

    add(context, action)


@when('the owner is lost and another one takes over')
def lose_owner(context):
    async def action(sim):
        name = sim.find_owner()
        sim.scopes[name].cancel()
        await sim.sleep(5)
        sim.controllers.pop(name)
        assert sim.find_owner() != name

    add(context, action)


@then('the newest stored record says that nobody waits')
def check_cleared(context):
    async def action(sim):
        assert decode_waits(list_waits(sim)[-1].value).waits is None

    add(context, action)


@when('the pool is full for 6 s')
def fill(context):
    async def action(sim):
        spec = JobSpec(
            payload='x',
            steps=(
                replace(sim.add_job(400).spec.steps[0], estimate_seconds=1),
            ),
        )
        job = replace(sim.add_job(400), spec=spec)
        outcome = await list_services(sim)[0].submit(job)
        assert outcome.verdict.value == 'ran', outcome
        await sim.sleep(FULL_SECONDS)

    add(context, action)


@then('no records of waits are stored')
def check_no_records(context):
    async def action(sim):
        assert not list_waits(sim)

    add(context, action)
    context.simulation.run()


@then('at most 5 a second records of waits are stored')
def check_records(context):
    async def action(sim):
        records = list_waits(sim)
        assert 4 <= len(records) <= 5 * FULL_SECONDS, len(records)
        waits = decode_waits(records[-1].value).waits
        assert waits is not None
        assert waits.queues['q'] > 0, waits

    add(context, action)
    context.simulation.run()
