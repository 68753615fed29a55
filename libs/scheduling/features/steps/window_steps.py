from collections import deque

from behave import given, then, when
from decision_steps import QUEUES, SETTINGS, add_job

from tarragonlb.scheduling.job import Demand, Moment
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.task import TaskPhase
from tarragonlb.scheduling.worker import Worker, WorkerReport

TICK_SECONDS = 0.05
TASK_SECONDS = 1.0


@given('an owner that sends {rate:g} starts a second to {count:d} workers')
def create_owner(context, rate, count):
    context.now = 0.0
    context.rate = rate
    context.credit = 0.0
    context.sent = deque()
    context.running = deque()
    context.most_pending = 0
    policies = SchedulingPolicies(
        placement=PackNearData(), bounds_pending_starts=True
    )
    context.scheduler = Scheduler(SETTINGS, policies, 0.0)
    state = context.scheduler.state
    state.queues = QUEUES
    state.update_workers(
        Worker(
            worker_id=f'w{number}',
            pool='p',
            address='a',
            capacity=Demand(16000, 64000, 0),
        )
        for number in range(count)
    )
    for number in range(count):
        context.scheduler.reconciler.apply_report(
            WorkerReport(
                worker_id=f'w{number}',
                requested_at=0.0,
                received_at=0.0,
                incarnation=1,
            )
        )


@given('{count:d} patient jobs with steps "{steps}"')
def add_patient_jobs(context, count, steps):
    for _ in range(count):
        add_job(context, 'patient', steps)


@when('an urgent job arrives with steps "{steps}"')
def add_urgent(context, steps):
    context.urgent = f'{len(context.scheduler.state.jobs):016x}'
    add_job(context, 'urgent', steps)


@when('{seconds:g} seconds of starts go by')
def send_starts(context, seconds):
    end_at = context.now + seconds
    while context.now < end_at:
        run_tick(context)
        context.credit = min(context.credit + context.rate * TICK_SECONDS, 10)
        while context.sent and context.credit >= 1:
            context.credit -= 1
            order = context.sent.popleft()
            context.scheduler.apply_order_result(
                order, OrderResult.DONE, context.now
            )
            context.running.append((context.now + TASK_SECONDS, order.key))


@when('the starts on all workers are left unanswered for {seconds:g} seconds')
def leave_unanswered(context, seconds):
    end_at = context.now + seconds
    while context.now < end_at:
        run_tick(context)
        for worker in context.scheduler.state.workers.values():
            context.scheduler.start_window._unresponsive.add(
                worker.entry.worker_id
            )


def run_tick(context):
    context.now += TICK_SECONDS
    scheduler = context.scheduler
    while context.running and context.running[0][0] <= context.now:
        scheduler.state.finish(context.running.popleft()[1], context.now)
    decision = scheduler.decide(Moment(context.now, context.now * 1000))
    scheduler.note_stored(decision, context.now)
    context.sent.extend(decision.starts)
    context.most_pending = max(context.most_pending, len(context.sent))


@then('all tasks of the urgent job have been placed')
def check_gang(context):
    job_state = context.scheduler.state.jobs[context.urgent]
    phases = [task.phase for _, task in job_state.list_tasks()]
    assert phases and TaskPhase.WAITING not in phases, phases


@then('no more than {count:d} starts were under way at any time')
def check_most_pending(context, count):
    assert 0 < context.most_pending <= count, context.most_pending
