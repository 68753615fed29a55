from dataclasses import replace

import eliot
from behave import given, then, when
from simulation import SETTINGS

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.policies import build_policies
from tarragonlb.controller.tenantreport import TenantReport
from tarragonlb.scheduling.fairshare import FairShareOrder
from tarragonlb.scheduling.job import Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.policies import NoStartLimit, UrgencyOrder
from tarragonlb.scheduling.tenant import Tenant, TenantTable
from tarragonlb.telemetry.tenantmetrics import (
    OTHER,
    TENANT_METER,
    TenantMeter,
    TenantValues,
)


@then('settings without tenants choose the order by urgency')
def check_urgency(context):
    assert (
        type(build_policies(SETTINGS, NoStartLimit(), ()).order) is UrgencyOrder
    )


@then('settings with tenants choose fair shares')
def check_shares(context):
    settings = replace(SETTINGS, has_tenants=True)
    assert (
        type(build_policies(settings, NoStartLimit(), ()).order)
        is FairShareOrder
    )


@given('{count:d} tenants that wait for 1 to {most:d} tasks')
def update_meter(context, count, most):
    context.meter = TenantMeter()
    context.meter.update(
        1,
        {
            f't{number}': TenantValues(number, 0, 0)
            for number in range(1, most + 1)
        },
    )


@then(
    'the metrics name {count:d} tenants and sum up {tasks:d} tasks of the '
    'others'
)
def check_meter(context, count, tasks):
    shown = context.meter.read(0)
    assert len(shown) == count + 1, shown
    assert shown[OTHER] == tasks, shown


def start_report(context, tenants):
    context.state = PartitionState(SETTINGS.scheduling, 0.0)
    context.state.tenants = TenantTable(tenants)
    context.report = TenantReport(OwnedPartition(2, 7), 0.0)
    # The metrics belong to the process, so other scenarios must not see them.
    context.add_cleanup(context.report.close)
    context.now = 0.0


@given('a partition with tenants "a" and "b" and a report on its tenants')
def start_with_tenants(context):
    start_report(context, [Tenant(name=name, weight=1) for name in 'ab'])


@given('a partition without tenants and a report on its tenants')
def start_without_tenants(context):
    start_report(context, [])


def report_rounds(context, seconds):
    context.lines = []
    eliot.add_destinations(context.lines.append)
    try:
        for number in range(1, int(seconds / 0.05) + 1):
            context.report.emit_if_due(
                context.state, context.now + 0.05 * number
            )
    finally:
        eliot.remove_destination(context.lines.append)
    context.now += seconds


@when('{count:d} jobs of "{name}" wait and rounds are reported for {span:d} s')
def wait_for_workers(context, count, name, span):
    for number in range(count):
        job = Job(
            job_id=f'j{number}',
            queue='q',
            pool='p',
            spec=JobSpec(payload='', steps=(Step(width=2),)),
            handed_in_ms=1000.0 + number,
            tenant=name,
        )
        job_state = JobState(job, Moment(0.0, 2000.0))
        job_state.add_due_occurrences(2000.0)
        context.state.add_job(job_state)
    report_rounds(context, span)


@when('the jobs are cancelled and rounds are reported for {span:d} s')
def cancel_jobs(context, span):
    for job_id in list(context.state.jobs):
        context.state.cancel_job(job_id, context.now)
    report_rounds(context, span)


@then(
    '{count:d} lines name "{name}" with {tasks:d} waiting tasks and {beyond:d} '
    'jobs beyond the rate'
)
def check_lines(context, count, name, tasks, beyond):
    assert len(context.lines) == count, context.lines
    for line in context.lines:
        assert line['sentence'] == 'owner: Tenants wait for workers.', line
        assert (line['partition'], line['term']) == (2, 7), line
        (entry,) = line['tenants']
        found = entry['tenant'], entry['waiting'], entry['jobs_beyond_rate']
        assert found == (name, tasks, beyond), line


@then('{count:d} lines are added')
def check_line_count(context, count):
    assert len(context.lines) == count, context.lines


@then(
    'the metrics show {tasks:d} waiting tasks of "{name}" and {beyond:d} jobs '
    'beyond the rate'
)
def check_metrics(context, tasks, name, beyond):
    shown = [TENANT_METER.read(index).get(name) for index in range(3)]
    assert shown == [tasks, 0, beyond], shown


@when('the term ends')
def end_term(context):
    context.report.close()


@then('the metrics show nothing of "{name}"')
def check_no_metrics(context, name):
    shown = [TENANT_METER.read(index) for index in range(3)]
    assert not any(name in values for values in shown), shown
