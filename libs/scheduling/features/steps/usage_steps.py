from dataclasses import replace

from behave import given, then, when

from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.progress import (
    build_progress_record,
    decode_progress,
    restore_tasks,
)
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.worker import EndedAttempt, Worker, WorkerReport

STEP = Step(
    width=2,
    demand=Demand(500, 100, 0),
    allows_copies=True,
    scavenges=True,
)
JOB = Job(
    job_id='j1',
    queue='q',
    pool='p',
    spec=JobSpec(payload='', steps=(STEP,)),
    tenant='a',
)


def begin_term(job_state, now):
    scheduler = Scheduler(
        SchedulingSettings(max_lease_seconds=6, maintenance_seconds=3),
        SchedulingPolicies(placement=PackNearData()),
        now,
    )
    state = scheduler.state
    state.queues = {'q': Queue(name='q', host='h', path_prefix='/', pool='p')}
    state.update_workers(
        Worker(worker_id=name, pool='p', capacity=Demand(4000, 8000, 0))
        for name in ('w0', 'w1')
    )
    state.add_job(job_state)
    return scheduler


def report(scheduler, worker_id, now, ended=()):
    scheduler.reconciler.apply_report(
        WorkerReport(
            worker_id=worker_id,
            requested_at=now,
            received_at=now,
            incarnation=1,
            ended=ended,
        )
    )


@given('an owner with 2 workers and a job of 2 scavenging tasks of 500')
def build_owner(context):
    context.scheduler = begin_term(JobState(JOB, Moment(0.0)), 0.0)
    context.first, context.second = 'w0', 'w1'
    report(context.scheduler, 'w0', 1.0)
    orders = context.scheduler.decide(Moment(1.0)).starts
    assert [order.worker_id for order in orders] == ['w0', 'w0'], orders
    report(context.scheduler, 'w1', 1.5)


@given('an owner with a worker and a job of 2 tasks that demand nothing')
def build_owner_of_small(context):
    job = replace(JOB, spec=JobSpec(payload='', steps=(Step(width=2),)))
    context.scheduler = begin_term(JobState(job, Moment(0.0)), 0.0)
    report(context.scheduler, 'w0', 1.0)
    context.orders = context.scheduler.decide(Moment(1.0)).starts
    assert len(context.orders) == 2, context.orders


@when('both tasks end')
def end_tasks(context):
    ended = [
        EndedAttempt(number, order.key, order.attempt, 'done', '')
        for number, order in enumerate(context.orders, 1)
    ]
    report(context.scheduler, 'w0', 2.0, tuple(ended))


@then('the job of the tenant is complete')
def check_complete(context):
    outcome = context.scheduler.state.jobs['j1'].outcome
    assert outcome is JobOutcome.COMPLETED, outcome


@when('the worker of the tasks is silent and they are copied')
def copy_tasks(context):
    scheduler = context.scheduler
    scheduler.reconciler.note_silence(context.first, 100.0, 0.0)
    orders = scheduler.decide(Moment(2.0)).starts
    assert {order.worker_id for order in orders} == {context.second}, orders


@when('an owner takes the job over')
def take_over(context):
    record = build_progress_record(context.scheduler.state.jobs['j1'], 1, 0)
    job_state = JobState(JOB, Moment(0.0))
    restore_tasks(job_state, decode_progress(record.value), 3.0)
    context.former = context.scheduler
    context.scheduler = begin_term(job_state, 3.0)


@when('all leases of former owners have run out')
def pass_leases(context):
    context.scheduler.state.usage.expire(10.0)


@when('the first worker loses all it had and the job is cancelled')
def lose_first(context):
    scheduler = context.scheduler = context.former
    scheduler.reconciler.note_worker_replaced(context.first, 4.0)
    scheduler.state.cancel_job('j1', 4.0)


@when('the second worker is lost, too')
def lose_second(context):
    context.scheduler.reconciler.note_worker_replaced(context.second, 5.0)


@then('the tenant occupies {millicores:d}')
def check_usage(context, millicores):
    usage = context.scheduler.state.usage.get('a')
    expected = (millicores, millicores // 5, 0, 0)
    assert usage == expected, usage
