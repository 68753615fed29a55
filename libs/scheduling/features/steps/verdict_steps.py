import itertools
import sys
from collections import Counter
from pathlib import Path

from behave import given, then, when
from decision_steps import (
    QUEUES,
    confirm_starts,
    make_silent,
    report,
    report_ends,
    run_round,
)
from removal_steps import take_over

sys.path.insert(0, str(Path(__file__).parent.parent))

from verdictfleet import run_fleet  # noqa: E402

from tarragonlb.scheduling.job import (  # noqa: E402
    Demand,
    Job,
    JobSpec,
    Moment,
    Step,
)
from tarragonlb.scheduling.jobindex import JobIndex  # noqa: E402
from tarragonlb.scheduling.jobstate import JobOutcome, JobState  # noqa: E402
from tarragonlb.scheduling.progress import build_progress_record  # noqa: E402
from tarragonlb.scheduling.queuehistory import QueueHistory  # noqa: E402
from tarragonlb.scheduling.records import (  # noqa: E402
    KeyedRecord,
    build_submission_record,
)
from tarragonlb.scheduling.task import TaskPhase  # noqa: E402
from tarragonlb.scheduling.worker import EndedAttempt  # noqa: E402

START_SECONDS = 10.0
# Too few would show nothing.
MIN_FAILED = 40


def get_job(context):
    (state,) = context.scheduler.state.jobs.values()
    return state


def get_first_task(context):
    return next(task for _, task in get_job(context).list_tasks())


def start_next(context):
    """Run rounds until a task starts, and return its order."""
    end_at = context.now + START_SECONDS
    while context.now < end_at:
        run_round(context)
        if context.round.starts:
            (order,) = context.round.starts
            confirm_starts(context)
            return order
        for name in context.reachable:
            report(context, name)
    raise AssertionError('no task has started')


@when(
    'the task has failed {count:d} times, and the worker of its next attempt '
    'is silent'
)
def fail_then_silence(context, count):
    context.reachable = set(context.directory)
    context.failures = []
    for _ in range(count):
        order = start_next(context)
        context.failures.append((order, context.end_count + 1))
        report_ends(context, order.worker_id, (order.key,), 'failed')
    order = start_next(context)
    report(context, order.worker_id)
    context.former = order
    context.reachable.discard(order.worker_id)
    make_silent(context, order.worker_id)


@when('another attempt of the task ends "{outcome}"')
def end_copy(context, outcome):
    order = start_next(context)
    assert order.worker_id != context.former.worker_id
    report_ends(context, order.worker_id, (order.key,), outcome)


@when('the attempt is replaced after {seconds:d} seconds')
def replace_attempt(context, seconds):
    end_at = context.now + seconds
    starts = []
    while context.now < end_at:
        run_round(context)
        starts.extend(context.round.starts)
        confirm_starts(context)
        for name in context.reachable:
            report(context, name)
    (order,) = starts
    assert order.attempt == context.former.attempt + 1, order


@when('no round is run for {seconds:d} seconds')
def run_no_round(context, seconds):
    context.now += seconds


@when('another owner takes over that does not reach the silent worker')
def take_over_unreached(context):
    run_round(context)
    take_over(context)
    context.reachable = context.directory.keys() - {context.former.worker_id}


@when('the task fails once, and again while no configuration is known')
def fail_without_configuration(context):
    state = context.scheduler.state
    context.reachable = set(context.directory)
    order = start_next(context)
    report_ends(context, order.worker_id, (order.key,), 'failed')
    order = start_next(context)
    state.queues = {}
    state.queue_history = QueueHistory()
    report_ends(context, order.worker_id, (order.key,), 'failed')
    state.queues = QUEUES


@when('the first failure is listed again {how}')
def list_again(context, how):
    ((order, number),) = context.failures
    end = EndedAttempt(number, order.key, order.attempt, 'failed', '')
    incarnation = 1
    if how == 'after the leases':
        make_silent(context, order.worker_id)
        context.reachable.discard(order.worker_id)
        for _ in range(60):
            run_round(context)
            for name in context.reachable:
                report(context, name)
    elif how == 'by the next incarnation':
        incarnation = 2
    else:
        run_round(context)
        take_over(context)
    report(context, order.worker_id, ended=(end,), incarnation=incarnation)


@when('each running task has failed once')
def fail_once(context):
    for _ in range(30):
        run_round(context)
        confirm_starts(context)
        for name, worker in context.scheduler.state.workers.items():
            fresh = tuple(
                key
                for key, attachment in worker.attached.items()
                if attachment.attempt == 1
            )
            report_ends(context, name, fresh, 'failed')


@when('the job is cancelled by its client')
def cancel(context):
    job_id = get_job(context).job.job_id
    context.scheduler.state.cancel_job(job_id, context.now)


def check_state(context, text):
    outcome = JobOutcome.OPEN if text == 'open' else JobOutcome.FAILED
    assert get_job(context).outcome is outcome, get_job(context).outcome


@then('the job is {text}, and its first task counts {count:d} failures')
def check_first(context, text, count):
    check_state(context, text)
    counted = get_first_task(context).failed_attempts
    assert len(counted) == count, counted
    # The log names each failure that counts once, and no other.
    notes = context.scheduler.state.evidence.notes.failures
    noted = [note.attempt for note in notes]
    assert len(noted) == len(counted.intersection(noted)), (noted, counted)


@then('the job is {text}, and its first task counts over {count:d} failures')
def check_first_over(context, text, count):
    check_state(context, text)
    assert get_first_task(context).failures > count


@then(
    'the job is {text}, and each of its {tasks:d} tasks counts {count:d} '
    'failures'
)
def check_each(context, text, tasks, count):
    check_state(context, text)
    found = [task.failures for _, task in get_job(context).list_tasks()]
    assert found == [count] * tasks, found


@then('the job goes on to its end')
def check_goes_on(context):
    assert get_first_task(context).phase is TaskPhase.DONE
    order = start_next(context)
    report_ends(context, order.worker_id, (order.key,), 'done')
    assert get_job(context).outcome is JobOutcome.COMPLETED


@then('the outcome of the job is "{name}"')
def check_outcome(context, name):
    assert get_job(context).outcome.name.lower() == name


@given(
    'a job whose progress was stored as open in term 2 and as failed in term 1'
)
def store_progress(context):
    step = Step(width=1, demand=Demand(1000, 100, 0))
    spec = JobSpec(payload='x', steps=(step,))
    job = Job(job_id='0' * 16, queue='q', pool='p', spec=spec)
    state = JobState(job, Moment(0.0))
    state.began = True
    newer = build_progress_record(state, 2, 0)
    state.close(JobOutcome.FAILED, 0.0)
    older = build_progress_record(state, 1, 0)
    records = (build_submission_record(job), older, newer)
    context.records = [
        KeyedRecord(record.key, record.value, offset)
        for offset, record in enumerate(records)
    ]


@when('the records are read in any order, also again')
def read_records(context):
    context.shown = []
    newer = context.records[-1]
    for order in itertools.permutations((*context.records, *context.records)):
        index = JobIndex()
        for place, record in enumerate(order):
            index.apply([record])
            found = index.find('0' * 16)
            if found is not None and newer in order[: place + 1]:
                context.shown.append(found.describe())


@then('the job is always shown as running once the newer one is read')
def check_shown(context):
    assert set(context.shown) == {'running'}, Counter(context.shown)


@when(
    'fleets {first:d} to {last:d} of jobs that may fail run with random faults'
)
def run_fleets(context, first, last):
    context.fleets = {
        number: run_fleet(number) for number in range(first, last + 1)
    }


@then('jobs of them have failed, and every job has ended')
def check_ended(context):
    fleets = context.fleets.values()
    assert sum(len(fleet.failed_at) for fleet in fleets) > MIN_FAILED
    for fleet in fleets:
        assert not fleet.list_open(), fleet.list_open()


@then('each job that has failed had an unfinished task that failed too often')
def check_grounds(context):
    for number, fleet in context.fleets.items():
        assert not fleet.find_groundless(), (number, fleet.find_groundless())
        assert not fleet.find_done(), (number, fleet.find_done())


@then('no task has started after its last allowed failure')
def check_excess(context):
    for number, fleet in context.fleets.items():
        excess = fleet.find_excess_starts()
        assert not excess, (number, excess)
