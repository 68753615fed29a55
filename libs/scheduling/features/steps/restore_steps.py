import cbor2
from behave import given, then, when

from tarragonlb.scheduling.crashhistory import (
    ConfirmedCrash,
    CrashHistory,
)
from tarragonlb.scheduling.job import Demand, Job, JobSpec, Moment, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.progress import (
    Progress,
    build_progress_record,
    decode_progress,
    restore_tasks,
)

# The place of the rows of tasks in a progress record.
TASKS = Progress.__struct_fields__.index('tasks')
STEP = Step(width=2, demand=Demand(500, 100, 0))
JOB = Job(
    job_id='0' * 16,
    queue='q',
    pool='p',
    spec=JobSpec(payload='x', steps=(STEP,)),
)


def make_state():
    state = JobState(JOB, Moment(0.0))
    state.add_occurrence()
    return state


def get_tasks(state):
    return [task for _, task in state.list_tasks()]


@given('a job whose task 0 has failed on "{names}"')
def make_failed(context, names):
    context.job_state = make_state()
    task, other = get_tasks(context.job_state)
    for attempt, name in enumerate(names.split(), 1):
        task.place(name, 5, attempt, 0.0)
        task.failed_attempts.add(attempt)
        task.avoided.add(name)
        task.release()
    other.place('w2', 7, 1, 0.0)


@given('three workers crashed under task 0, two under no other job')
def add_crashes(context):
    task = get_tasks(context.job_state)[0]
    crashes = CrashHistory().count(1).confirm(ConfirmedCrash(1, 2.0))
    for crash in (
        ConfirmedCrash(2, 0.5, True, 0.125),
        ConfirmedCrash(3, 0, True),
    ):
        crashes = crashes.count(crash.attempt).confirm(crash)
    task.crashes = crashes.excuse(4)
    context.crashes = task.crashes


def restore(context, value):
    state = make_state()
    restore_tasks(state, decode_progress(value), 1.0)
    context.restored = get_tasks(state)


@when('its progress is stored and restored')
def store(context):
    restore(context, build_progress_record(context.job_state, 1, 0).value)


@when('its progress is stored without workers to avoid and restored')
def store_old(context):
    store_rows(context, 8)


@when('its progress is stored without crashes and restored')
def store_without_crashes(context):
    store_rows(context, 9)


def store_rows(context, length):
    """Store what an earlier version did, whose rows were shorter."""
    content = cbor2.loads(build_progress_record(context.job_state, 1, 0).value)
    content[TASKS:] = [[row[:length] for row in content[TASKS]]]
    restore(context, cbor2.dumps(content))


@then('task {number:d} avoids "{names}" and has failed {count:d} times')
@then('task {number:d} avoids "" and has failed {count:d} times')
def check(context, number, count, names=''):
    task = context.restored[number]
    assert task.avoided == set(names.split()), task.avoided
    assert task.failures == count, task.failures


@then('{count:d} workers have crashed under task {number:d}')
def check_crashes(context, count, number):
    crashes = context.restored[number].crashes
    assert len(crashes.attempts) == count, crashes
    if count:
        assert crashes == context.crashes, crashes
    assert crashes.has_case(is_permanent=False) == (count == 3), crashes


@then('task 1 is on an incarnation of its worker that is {text}')
def check_incarnation(context, text):
    expected = 0 if text == 'unknown' else 7
    assert context.restored[1].incarnation == expected
