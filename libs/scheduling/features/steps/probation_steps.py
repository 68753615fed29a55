# Probation of workers in fleets with sound and hopeless jobs, on virtual time.

import sys
from pathlib import Path

from behave import given, step, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from jobmixfleet import LONG_SECONDS, SHORT_SECONDS, JobMixFleet  # noqa: E402

from tarragonlb.scheduling.job import Moment  # noqa: E402
from tarragonlb.scheduling.readystep import ReadyStep  # noqa: E402
from tarragonlb.scheduling.retryguard import RetryGuard  # noqa: E402

WORKER_CORES = 4
# Widths of the jobs of a load, in turn.
WIDTHS = (1, 1, 2, 4)


@given('a mixed fleet of {count:d} workers whose tasks may fail {most:d} times')
@given('a mixed fleet of {count:d} worker whose tasks may fail {most:d} times')
def start_mixed_fleet(context, count, most):
    context.fleet = JobMixFleet(count, most)
    context.fleet.run(1)


@given('each worker runs a long task')
def start_long_tasks(context):
    fleet = context.fleet
    count = len(fleet.workers)
    fleet.submit_sound(count, LONG_SECONDS, max_per_worker=1)
    fleet.run(1)
    assert all(len(worker.runs) == 1 for worker in fleet.workers)


@when('{count:d} hopeless jobs arrive, one every {seconds:g} seconds')
def submit_hopeless(context, count, seconds):
    for _ in range(count):
        context.fleet.submit_hopeless()
        context.fleet.run(seconds)


@when('a hopeless job of {width:d} tasks arrives')
def submit_wide_hopeless(context, width):
    context.fleet.submit_hopeless(width)


@when('a sound job arrives')
def submit_sound(context):
    context.fleet.submit_sound()


@when('a sound job arrives that takes {seconds:g} seconds')
def submit_long(context, seconds):
    context.fleet.submit_sound(seconds=seconds)


@step('{seconds:g} second passes')
def let_second_pass(context, seconds):
    context.fleet.run(seconds)


@given('workers "{names}" fail all tasks of the mix {when}')
def fail_all_of_mix(context, names, when):
    context.bad = names.split()
    for worker in context.fleet.workers:
        if worker.worker_id in context.bad:
            worker.fails_all = True
            worker.fails_late = when == 'at the end'


@given('a job of {width:d} tasks that all workers refuse')
def submit_refused(context, width):
    context.bad = []
    context.fleet.refused_jobs = {context.fleet.submit_sound(width)}


@given('workers "{names}" refuse all starts')
def refuse_all(context, names):
    context.bad = names.split()
    context.fleet.refusing_workers = set(context.bad)


@then('at most {count:d} starts of the mix were refused')
def check_refusals(context, count):
    assert context.fleet.refusals <= count, context.fleet.refusals


@when('sound jobs arrive for {seconds:g} seconds with a load of {load:g}')
def submit_load(context, seconds, load):
    fleet = context.fleet
    sound = len(fleet.workers) - len(context.bad)
    tasks_a_second = load * sound * WORKER_CORES / SHORT_SECONDS
    end = fleet.now + seconds
    due, number = 0.0, 0
    begin = fleet.now
    while fleet.now < end:
        while due < (fleet.now - begin) * tasks_a_second:
            width = WIDTHS[number % len(WIDTHS)]
            fleet.submit_sound(width)
            due += width
            number += 1
        fleet.step()
    fleet.run(10)


@then('each sound job has started within {seconds:g} seconds')
@then('each job has started within {seconds:g} seconds')
def check_waits(context, seconds):
    assert context.fleet.find_longest_wait() <= seconds, (
        context.fleet.find_longest_wait()
    )


@then('no worker is on probation')
def check_no_probation(context):
    assert not context.fleet.find_on_probation(), (
        context.fleet.find_on_probation()
    )


@then('at most {count:d} sound jobs are given up')
def check_given_up(context, count):
    given_up = context.fleet.list_given_up()
    jobs = len(context.fleet.plans)
    context.counts = dict(context.fleet.failures)
    assert len(given_up) <= count, (len(given_up), jobs, context.counts)


@then('the bad workers have failed at most {count:d} tasks')
def check_bad(context, count):
    failed = sum(context.fleet.failures[name] for name in context.bad)
    print('failed there:', failed)
    assert failed <= count, failed


@when('{count:d} sound jobs arrive, one every {seconds:g} seconds')
def submit_sound_jobs(context, count, seconds):
    for _ in range(count):
        context.fleet.submit_sound()
        context.fleet.run(seconds)


@when('a hopeless job fails on "{name}" only')
def fail_once(context, name):
    """Let one worker fail the only task that it may try."""
    fleet = context.fleet
    fleet.drain_requests = {
        worker.worker_id for worker in fleet.workers if worker.worker_id != name
    }
    fleet.run(0.2)
    job_id = fleet.submit_hopeless()
    fleet.run(0.5)
    fleet.cancel(job_id)
    fleet.drain_requests = set()
    fleet.run(1)
    assert fleet.find_on_probation() == [name]


@step('worker "{name}" is full for {seconds:g} seconds')
def fill_worker(context, name, seconds):
    fleet = context.fleet
    others = {worker.worker_id for worker in fleet.workers} - {name}
    fleet.drain_requests = others
    fleet.run(0.2)
    fleet.submit_sound(WORKER_CORES, seconds)
    fleet.run(0.3)
    fleet.drain_requests = set()
    fleet.run(0.2)


@then('workers "{names}" are on probation')
def check_probation(context, names):
    assert set(names.split()) <= set(context.fleet.find_on_probation())


@given(
    'a waiting task that has failed, beside a worker with failures and another'
)
def hold_task(context):
    fleet = JobMixFleet(2, 3)
    fleet.run(1)
    job_id = fleet.submit_sound()
    state = fleet.owner.scheduler.state
    job_state = fleet.job_index.find(job_id).build_state(Moment(fleet.now))
    job_state.add_occurrence()
    context.task = job_state.occurrences[0][0].tasks[0]
    context.task.failed_attempts.add(1)
    ready = ReadyStep(job_state, 0, 0, state.queues['q'], Moment(fleet.now))
    doubted = state.workers['w0']
    doubted.probation.note_failure(fleet.now)
    context.guard = RetryGuard()
    assert context.guard.must_wait(
        doubted, ready, context.task, state.workers.values, fleet.now
    )
    context.held_at = fleet.now


@when('a minute passes in which its job is closed')
def pass_minute(context):
    context.references = sys.getrefcount(context.task)
    context.guard.begin_round(context.held_at + 1)
    assert sys.getrefcount(context.task) == context.references
    context.guard.begin_round(context.held_at + 61)


@then('no note of the task is kept')
def check_no_note(context):
    assert sys.getrefcount(context.task) < context.references
