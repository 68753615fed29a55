from dataclasses import replace

from behave import given, then, when
from decision_steps import (
    POLICIES,
    QUEUES,
    SETTINGS,
    add_job,
    confirm_starts,
    end_all,
    make_silent,
    report,
    run_round,
)

from tarragonlb.scheduling.job import Moment
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.progress import (
    build_progress_record,
    decode_progress,
    restore_tasks,
)
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.worker import EndedAttempt


@when('another owner takes over')
def take_over(context):
    former = context.scheduler.state
    context.scheduler = Scheduler(SETTINGS, POLICIES, context.now)
    state = context.scheduler.state
    state.queues = QUEUES
    state.update_workers(context.directory.values())
    for job_state in former.jobs.values():
        progress = decode_progress(
            build_progress_record(job_state, 1, context.now).value
        )
        restored = JobState(job_state.job, Moment(context.now))
        restore_tasks(restored, progress, context.now)
        state.add_job(restored)


@when('the queue "{name}" is removed')
def remove_queue(context, name):
    state = context.scheduler.state
    state.queues = {
        other: queue for other, queue in state.queues.items() if other != name
    }


@then('{count:d} tasks were started since')
def check_attempts_begun(context, count):
    begun = sum(
        task.attempt
        for job_state in context.scheduler.state.jobs.values()
        for _, task in job_state.list_tasks()
    )
    assert begun == count, begun


@given(
    'a job of queue "{queue}" with steps "{steps}", accepted with {most:d} '
    'attempts'
)
def add_limited_job(context, queue, steps, most):
    add_job(context, queue, steps, max_attempts=most)
    (state,) = context.scheduler.state.jobs.values()
    state.add_due_occurrences(0)


@when('the configuration allows {most:d} attempts')
def allow(context, most):
    state = context.scheduler.state
    state.queues = {
        name: replace(queue, max_attempts=most)
        for name, queue in state.queues.items()
    }


@when('each task that starts ends "{outcome}", for {seconds:g} seconds')
def end_each(context, outcome, seconds):
    end_at = context.now + seconds
    while context.now < end_at:
        context.now += 0.1
        for name in context.directory:
            report(context, name)
        run_round(context)
        end_all(context, outcome)


@then('the job has failed after {count:d} attempts')
def check_failed(context, count):
    (state,) = context.scheduler.state.jobs.values()
    assert state.outcome is JobOutcome.FAILED, state.outcome
    ((_, task),) = state.list_tasks()
    assert task.attempt == count, task.attempt


@when('the worker of the only task is silent, and another starts a copy')
def copy_task(context):
    run_round(context)
    (order,) = context.round.starts
    context.former = order
    make_silent(context, order.worker_id)
    run_round(context)
    (order,) = context.round.starts
    assert order.attempt == context.former.attempt + 1
    confirm_starts(context)
    run_round(context)


@when('the silent worker reports that its attempt ended "{outcome}"')
def report_former(context, outcome):
    former = context.former
    end = EndedAttempt(1, former.key, former.attempt, outcome, '')
    report(context, former.worker_id, ended=(end,))


@then('the job is stored before the end is acknowledged')
def check_stored(context):
    run_round(context)
    decided = context.round
    assert decided.end_acks[context.former.worker_id][1] == 1
    (state,) = decided.jobs
    ((_, task),) = state.list_tasks()
    assert task.failed_attempts == {context.former.attempt}
