# Jobs that belong to tenants, at several daemons with one store.

from dataclasses import replace
from unittest import mock

import trio
from behave import then, when
from fakeplatform import QUEUE, FakeClock

from tarragonlb.controller import jobservice, submissionlog
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.ports import Topic
from tarragonlb.scheduling.job import MS_PER_SECOND
from tarragonlb.scheduling.records import (
    SUBMISSION,
    decode_submission_head,
    decode_value,
)
from tarragonlb.telemetry.fleetmetrics import JOB_REQUESTS

PUBLIC_QUEUE = replace(QUEUE, is_public=True)
OTHER_QUEUE = replace(QUEUE, name='other', is_public=True)


def list_services(sim):
    return [controller.job_service for controller in sim.controllers.values()]


@when('tenant "{tenant}" submits a job at one daemon')
def submit_as(context, tenant):
    async def action(sim):
        sim.job = replace(sim.add_job(1), tenant=tenant)
        outcome = await list_services(sim)[0].submit(sim.job)
        assert outcome.verdict.value == 'ran', outcome

    context.simulation.actions.append(action)


async def query(sim, queue, tenant):
    job_id = sim.job.job_id
    return [
        await service.describe(queue, job_id, tenant)
        for service in list_services(sim)
    ]


@then('tenant "{tenant}" sees it at each daemon')
def check_seen(context, tenant):
    async def action(sim):
        assert None not in await query(sim, QUEUE, tenant)

    context.simulation.actions.append(action)


@then('tenant "{tenant}" can\'t see or cancel it at any daemon')
def check_unseen(context, tenant):
    async def action(sim):
        assert set(await query(sim, QUEUE, tenant)) == {None}
        for service in list_services(sim):
            assert await service.cancel(QUEUE, sim.job.job_id, tenant) is None

    context.simulation.actions.append(action)


@then("a request of no tenant for another queue can't see it")
def check_other_queue(context):
    async def action(sim):
        assert set(await query(sim, OTHER_QUEUE, '')) == {None}

    context.simulation.actions.append(action)


@then('a request of no tenant for its queue sees it')
def check_own_queue(context):
    async def action(sim):
        assert None not in await query(sim, PUBLIC_QUEUE, '')

    context.simulation.actions.append(action)


def list_submissions(sim):
    return [
        record.value
        for (topic, _), log in sim.store.logs.items()
        for record in log
        if topic is Topic.JOBS and record.key == sim.job.job_id + SUBMISSION
    ]


@then('each daemon has stored the tenant "{tenant}" with the job')
def check_stored(context, tenant):
    async def action(sim):
        (value,) = list_submissions(sim)
        assert decode_submission_head(value).tenant == tenant
        assert not any(
            record.key.endswith('c')
            for record in sim.store.logs[Topic.JOBS, sim.find_partition('pool')]
        )

    context.simulation.actions.append(action)
    context.simulation.run()


@when('tenant "{tenant}" submits the same id at the other one at once')
def submit_again(context, tenant):
    async def action(sim):
        other = replace(sim.job, tenant=tenant)
        sim.second = await list_services(sim)[1].submit(other)

    context.simulation.actions.append(action)


@then('the second submission is a conflict')
def check_conflict(context):
    async def action(sim):
        assert sim.second.is_conflict, sim.second
        assert sim.second.verdict.value == 'not-run'

    context.simulation.actions.append(action)


@then('the store has one submission, of tenant "{tenant}"')
def check_submission(context, tenant):
    async def action(sim):
        (value,) = list_submissions(sim)
        assert decode_submission_head(value).tenant == tenant

    context.simulation.actions.append(action)


@then('submitting it again as tenant "{tenant}" at the other one succeeds')
def check_repeated(context, tenant):
    async def action(sim):
        outcome = await list_services(sim)[1].submit(sim.job)
        assert outcome.verdict.value == 'ran', outcome
        assert len(list_submissions(sim)) == 1

    context.simulation.actions.append(action)
    context.simulation.run()


@when('reads fail and tenant "{tenant}" submits a job')
def submit_unread(context, tenant):
    async def action(sim):
        sim.store.mode = 'refuse'
        sim.job = replace(sim.add_job(1), tenant=tenant)
        sim.second = await list_services(sim)[0].submit(sim.job)

    context.simulation.actions.append(action)


@when(
    'the store falls silent for {seconds:d} s and then tenant "{tenant}" '
    'submits a job'
)
def submit_in_silence(context, seconds, tenant):
    async def action(sim):
        sim.store.read_seconds[Topic.JOBS] = seconds
        await trio.sleep(seconds)
        job = replace(sim.add_job(1), tenant=tenant)
        began_at = trio.current_time()
        with (
            mock.patch.object(jobservice, 'FLEET_METER') as sim.meter,
            mock.patch.object(submissionlog, 'LOG') as sim.log,
        ):
            sim.second = await list_services(sim)[0].submit(job)
        sim.waited_seconds = trio.current_time() - began_at

    context.simulation.actions.append(action)


@then('it is refused within {seconds:g} s')
def check_refused_at_once(context, seconds):
    async def action(sim):
        assert sim.second.verdict.value == 'not-run'
        assert sim.waited_seconds <= seconds, sim.waited_seconds

    context.simulation.actions.append(action)
    context.simulation.run()


@then('the refusal is counted and logged')
def check_noted(context):
    sim = context.simulation
    counted = (JOB_REQUESTS, 'submit', 'not-run')
    sim.meter.count.assert_called_once_with(*counted)
    (line,) = (call.kwargs for call in sim.log.emit.call_args_list)
    assert line['verdict'] == 'not-run', line
    assert line['jobs'] == [(sim.jobs[-1], 0)], line


@when('reads take {seconds:g} s and tenant "{tenant}" submits a job')
def submit_slowly(context, seconds, tenant):
    async def action(sim):
        sim.store.read_seconds[Topic.JOBS] = seconds
        sim.job = replace(sim.add_job(1), tenant=tenant)
        sim.arrived_at = FakeClock().read_wall()
        await list_services(sim)[0].submit(sim.job)

    context.simulation.actions.append(action)


@then('its record has the time at which it arrived')
def check_arrival(context):
    async def action(sim):
        (record,) = list_submissions(sim)
        head = decode_submission_head(record)
        late_ms = head.handed_in_ms - sim.arrived_at * MS_PER_SECOND
        assert late_ms < 1, late_ms

    context.simulation.actions.append(action)
    context.simulation.run()


@then('it is refused as not run, and nothing is stored')
def check_refusal(context):
    async def action(sim):
        assert sim.second.verdict.value == 'not-run'
        assert sim.second.retry_after > 0
        assert not sim.second.is_conflict
        assert not list_submissions(sim)

    context.simulation.actions.append(action)
    context.simulation.run()


@when('a job is submitted and read')
def submit_without(context):
    async def action(sim):
        sim.job = sim.add_job(1)
        (service,) = list_services(sim)
        # Only queries and, with tenants, submissions read on demand.
        with mock.patch.object(PartitionFeed, 'refresh') as refresh:
            outcome = await service.submit(sim.job)
        assert outcome.verdict.value == 'ran', outcome
        sim.refreshes = refresh.call_count

    context.simulation.actions.append(action)


@then('the submission caused one append and one read')
def check_calls(context):
    async def action(sim):
        assert sim.refreshes == 1
        assert len(list_submissions(sim)) == 1

    context.simulation.actions.append(action)


@then('its record has no tenant')
def check_no_tenant(context):
    async def action(sim):
        (value,) = list_submissions(sim)
        assert len(decode_value(value)) == 4

    context.simulation.actions.append(action)
    context.simulation.run()
