"""Steps for reports of workers, some rows of which can't be read."""

from behave import given, then, when

from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import FirstFit
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.worker import (
    RunningAttempt,
    Worker,
    WorkerReport,
)

JOB = Job(
    job_id='a' * 16,
    queue='q',
    pool='p',
    spec=JobSpec(payload='x', steps=(Step(width=1, demand=Demand(1, 1)),)),
)


def report(context, running, *, is_complete):
    context.now += 0.1
    scheduler = context.scheduler
    scheduler.reconciler.apply_report(
        WorkerReport(
            worker_id='w',
            requested_at=context.now,
            received_at=context.now,
            incarnation=1,
            running=running,
            is_complete=is_complete,
        )
    )
    decision = scheduler.decide(Moment(context.now))
    scheduler.note_stored(decision, context.now)
    context.stops.extend(decision.stops)
    return decision


@given('an owner whose task runs on a worker')
def run_task(context):
    context.now, context.stops = 0.0, []
    context.scheduler = Scheduler(
        SchedulingSettings(max_lease_seconds=6.0, maintenance_seconds=2.0),
        SchedulingPolicies(placement=FirstFit()),
        now=0.0,
    )
    state = context.scheduler.state
    state.queues = {'q': Queue(name='q', host='h', path_prefix='/', pool='p')}
    worker = Worker(
        worker_id='w', pool='p', address='x:1', capacity=Demand(9, 9)
    )
    state.update_workers([worker])
    state.add_job(JobState(JOB, Moment(0.0)))
    (start,) = report(context, (), is_complete=True).starts
    context.scheduler.apply_order_result(start, OrderResult.DONE, context.now)
    row = RunningAttempt(start.key, start.attempt, '', 1, 0)
    report(context, (row,), is_complete=True)


@when("{count:d} {kind} reports don't list it")
def send_reports(context, count, kind):
    for _ in range(count):
        report(context, (), is_complete=kind == 'complete')


@then('no stop order is sent')
def check_none(context):
    assert not context.stops, context.stops


@then('a stop order is sent')
def check_stop(context):
    assert len(context.stops) == 1, context.stops
