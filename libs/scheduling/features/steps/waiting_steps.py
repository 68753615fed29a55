from dataclasses import replace

from behave import given, then, when
from decision_steps import (
    QUEUES,
    SETTINGS,
    add_worker,
    confirm_starts,
    run_round,
    start_scheduler,
)

from tarragonlb.scheduling.crashhistory import (
    ISOLATION_WAIT_SECONDS,
    NO_CRASHES,
)
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies, StartLimit
from tarragonlb.scheduling.queue import Advice
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.task import StopReason
from tarragonlb.scheduling.ticketbook import TicketBook
from tarragonlb.scheduling.waitingsteps import WaitingSteps
from tarragonlb.scheduling.waitreason import WaitReason


class ExhaustedCap(StartLimit):
    def allows(self, ready, count, partition):
        return False


def use_policies(context, **policies):
    start_scheduler(context, '', 0)
    context.scheduler = Scheduler(
        SETTINGS,
        SchedulingPolicies(placement=PackNearData(), **policies),
        0.0,
    )
    context.scheduler.state.queues = QUEUES


@given(
    'workers "{name}" with {millicores:d} millicores and a tenant at its cap'
)
def create_capped(context, name, millicores):
    use_policies(context, limit=ExhaustedCap())
    add_worker(context, name, millicores)


@given(
    'workers "{name}" with {millicores:d} millicores, whose tasks need tickets'
)
def create_advised(context, name, millicores):
    use_policies(context, filters=(TicketBook(),))
    advice = Advice(decision_seconds=0.1, per_worker_seconds=0, valid_seconds=1)
    context.scheduler.state.queues = {
        queue: replace(settings, advice=advice)
        for queue, settings in QUEUES.items()
    }
    add_worker(context, name, millicores)


@given('the configuration lists other queues only')
def remove_queues(context):
    context.scheduler.state.queues = {'urgent': QUEUES['urgent']}


def list_tasks(context):
    for state in context.scheduler.state.open_jobs.values():
        yield from state.list_tasks()


@when('all its tasks are suspected of crashing workers')
def suspect_tasks(context):
    for _, task in list_tasks(context):
        task.crashes = NO_CRASHES.count(1).count(2)
        task.isolate_until = context.now + ISOLATION_WAIT_SECONDS


@when('all its tasks are being stopped')
def stop_tasks(context):
    for _, task in list_tasks(context):
        context.scheduler.state.begin_stop(task, StopReason.MOVE)


@when('the owner places nothing, as "{reason}"')
def stall(context, reason):
    context.stall = WaitReason(reason)


@then(
    'after {seconds:d} seconds job {number:d} is listed as waiting, with '
    '"{reason}"'
)
def check_reason(context, seconds, number, reason):
    waiting_steps = WaitingSteps()
    for now in (context.now, context.now + seconds):
        changes = waiting_steps.update(
            context.scheduler.state,
            context.scheduler.wait_reasons,
            getattr(context, 'stall', None),
            now,
        )
        if now == context.now:
            assert not (changes.waiting or changes.counts), changes
    (context.waiting,) = (
        step for step in changes.waiting if step.job_id == f'{number:016x}'
    )
    assert context.waiting.reason == reason, context.waiting
    assert context.waiting.waited_seconds == seconds, context.waiting
    assert changes.counts[reason], changes


@then('"{obstacle}" keeps it from {count:d} worker')
def check_obstacles(context, obstacle, count):
    assert context.waiting.obstacles == {obstacle: count}, context.waiting


@when('{count:d} looks at the waiting steps are taken, one a second')
def take_looks(context, count):
    if not hasattr(context, 'looks'):
        context.looks = []
        context.waiting_steps = WaitingSteps()
    for _ in range(count):
        run_round(context)
        context.now += 0.9
        context.looks.append(
            context.waiting_steps.update(
                context.scheduler.state,
                context.scheduler.wait_reasons,
                None,
                context.now,
            )
        )


@when('all tasks that were placed have started')
def start_placed(context):
    confirm_starts(context)
    for _, task in list_tasks(context):
        task.update_progress(1, '', context.now)


@then('the waits of job {number:d} are listed with "{reasons}"')
def check_waits(context, number, reasons):
    listed = [
        step.reason
        for look in context.looks
        for step in look.waiting
        if step.job_id == f'{number:016x}'
    ]
    assert listed == reasons.split(', '), listed


@then(
    'the end of the wait of job {number:d} is listed once, after '
    '{seconds:d} seconds'
)
def check_end(context, number, seconds):
    (ended,) = (
        step
        for look in context.looks
        for step in look.ended
        if step.job_id == f'{number:016x}'
    )
    assert abs(ended.waited_seconds - seconds) <= 0.2, ended
    assert not ended.is_job_over, ended


@then('{least:d} to {most:d} steps are listed by each look')
def check_listed(context, least, most):
    counts = [len(look.waiting) for look in context.looks]
    listing = [count for count in counts if count]
    assert len(listing) >= len(counts) - 3, counts
    assert all(least <= count <= most for count in listing), counts


@then(
    'the first look that lists steps counts {count:d} others, and lists job '
    '{number:d}'
)
def check_others(context, count, number):
    look = next(look for look in context.looks if look.waiting)
    assert look.unlisted == count, look.unlisted
    listed = [step.job_id for step in look.waiting]
    assert f'{number:016x}' in listed, listed
