import math
import random

from behave import given, then, when
from hypothesis import given as given_examples
from hypothesis import seed, settings
from hypothesis import strategies as st

from tarragonlb.scheduling.durations import (
    MIN_RUNS,
    DurationEstimate,
    DurationEstimates,
    TaskKind,
    estimate_remaining,
)
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.lookaheadrecord import LookAheadRecord
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.placement import PackNearData
from tarragonlb.scheduling.policies import SchedulingPolicies
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.task import TaskState
from tarragonlb.scheduling.worker import EndedAttempt, Worker, WorkerReport

KIND = TaskKind('i', '', 0)
STEPS = {
    'without data': Step(width=1, estimate_seconds=1),
    'with data on r1': Step(width=1, data_rack='r1'),
    'with data on r2': Step(width=1, data_rack='r2'),
    'with checkpoints': Step(width=1, saves_checkpoints=True),
}


def make_runs(is_tailed, is_misdeclared, number):
    """Yield declared and real seconds of 200 runs."""
    source = random.Random(number)
    for _ in range(200):
        seconds = source.uniform(0.9, 1.1)
        if is_tailed and source.random() < 0.03:
            seconds *= 7
        off = source.uniform(0.1, 1.9) if is_misdeclared else 1
        yield off, seconds


@given(
    'runs of 1 s, varied by a tenth, of which 3 of 100 take seven times as long'
)
def make_tail(context):
    context.runs = lambda number: make_runs(True, False, number)


@given(
    'runs of 1 s, varied by a tenth, whose declared durations are off by nine '
    'tenths'
)
def make_misdeclared(context):
    context.runs = lambda number: make_runs(False, True, number)


@then('each estimate after {count:d} runs lies between {low:g} and {high:g} s')
def check_estimates(context, count, low, high):
    @seed(1)
    @settings(max_examples=40, deadline=None, database=None)
    @given_examples(st.integers(0, 10**6))
    def check(number):
        durations = DurationEstimates()
        for index, (declared, seconds) in enumerate(context.runs(number)):
            if index >= count:
                found = durations.estimate(KIND, declared)
                assert low <= found.seconds <= high, (index, found)
                assert found.upper_seconds <= 7.7, (index, found)
            durations.note_run(KIND, declared, seconds)
        # A window of 48 runs holds too few slow ones to raise the upper value.
        assert durations.estimate(KIND, 1).upper_seconds <= 1.5

    check()


@given('runs that take {factor:g} times their declared durations of 0.2 to 5 s')
def make_scaled(context, factor):
    source = random.Random(1)
    context.durations = DurationEstimates()
    for _ in range(30):
        declared = source.uniform(0.2, 5)
        context.durations.note_run(KIND, declared, factor * declared)


@given('{count:d} runs of {seconds:g} s')
def make_few(context, count, seconds):
    assert count < MIN_RUNS
    context.durations = DurationEstimates()
    for _ in range(count):
        context.durations.note_run(KIND, 1, seconds)


@then('a declared duration of {declared:g} s is estimated as {seconds:g} s')
def check_scaled(context, declared, seconds):
    found = context.durations.estimate(KIND, declared)
    assert math.isclose(found.seconds, seconds), found
    assert found.upper_seconds >= found.seconds


@then('the duration of a task that declares none is unknown')
def check_unknown(context):
    found = context.durations.estimate(KIND, 0)
    assert found.upper_seconds == math.inf, found


@given('an attempt that is {age:g} s old and reported {percent:d}% at {at:g} s')
def make_attempt(context, age, percent, at):
    context.task, context.now = TaskState(), age
    context.task.place('w', 1, 1, -0.1)
    context.task.settled_at = 0.0
    context.task.update_progress(percent, '', at)


@given('an attempt that another owner placed')
def make_foreign(context):
    context.task, context.now = TaskState(), 1.0
    context.task.settled_at = 0.0


@when('its kind takes {seconds:g} s, and hardly ever over {upper:g} s')
def estimate(context, seconds, upper):
    estimate = DurationEstimate(seconds, upper)
    context.left = estimate_remaining(context.task, estimate, context.now)


@then('it is expected to run for {left:g} s more')
def check_left(context, left):
    same = context.left == left or math.isclose(context.left, left)
    assert same, context.left


def report(context, now, ended=()):
    context.scheduler.reconciler.apply_report(
        WorkerReport(
            worker_id='w',
            requested_at=now,
            received_at=now,
            incarnation=1,
            ended=ended,
        )
    )


@given('a worker of rack "{rack}" runs attempt {attempt:d} of a task {more}')
def run_attempt(context, rack, attempt, more):
    context.scheduler = Scheduler(
        SchedulingSettings(max_lease_seconds=6, maintenance_seconds=3),
        SchedulingPolicies(
            placement=PackNearData(), look_ahead=LookAheadRecord()
        ),
        0.0,
    )
    state = context.scheduler.state
    context.durations = state.look_ahead.durations
    state.queues = {'q': Queue(name='q', host='h', path_prefix='/', pool='p')}
    state.update_workers(
        [
            Worker(
                worker_id='w',
                pool='p',
                capacity=Demand(1000, 1000, 0),
                labels=frozenset([rack]),
            )
        ]
    )
    report(context, 0.0)
    spec = JobSpec(payload='', steps=(STEPS[more],))
    job = Job(job_id='j', queue='q', pool='p', spec=spec)
    job_state = JobState(job, Moment(0.0))
    job_state.add_occurrence()
    job_state.occurrences[0][0].tasks[0].attempt = attempt - 1
    state.add_job(job_state)
    (context.order,) = context.scheduler.decide(Moment(1.0)).starts
    context.scheduler.order_tracker.apply_start_result(
        context.order, OrderResult.DONE, 1.0
    )


@when('it reports after {seconds:g} s that the attempt is {outcome}')
def report_end(context, seconds, outcome):
    end = EndedAttempt(1, context.order.key, context.order.attempt, outcome, '')
    report(context, 1 + seconds, (end,))


@given('runs of {count:d} images')
def make_images(context, count):
    context.durations = DurationEstimates()
    for number in range(count):
        context.durations.note_run(TaskKind(f'i{number}', '', 0), 1, 1)


@then('{count:d} kinds of tasks are known')
def check_count(context, count):
    assert context.durations.count_kinds() == count
