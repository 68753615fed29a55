import functools
import sys
from pathlib import Path

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as given_examples
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent))

from faultscripts import ROOM_FAULTS, run_script  # noqa: E402
from fleetsimulation import make_step  # noqa: E402

from tarragonlb.scheduling.crashhistory import (  # noqa: E402
    ConfirmedCrash,
    CrashHistory,
)
from tarragonlb.scheduling.job import Moment, TaskKey  # noqa: E402
from tarragonlb.scheduling.orders import OrderResult  # noqa: E402
from tarragonlb.scheduling.task import TaskPhase  # noqa: E402

EXAMPLES = 150
# Longer than a member's TTL, so that the owner comes back after its successor.
MEMBERSHIP_LOSS_SECONDS = 2.0


@given('{count:d} jobs of {tasks:d} tasks')
def submit_others(context, count, tasks):
    for _ in range(count):
        context.fleet.submit([make_step(tasks)])


@given('{count:d} jobs of {tasks:d} permanent tasks')
def submit_permanent_jobs(context, count, tasks):
    for _ in range(count):
        context.fleet.submit([make_step(tasks, is_permanent=True)])


@when('the workers of the permanent tasks crash after "{times}" seconds')
def crash_permanent(context, times):
    fleet = context.fleet
    for seconds in times.split():
        fleet.run(float(seconds))
        for worker in [w for w in fleet.workers if w.runs]:
            fleet.crashes.crash(worker)


@given(
    'a job of {tasks:d} tasks of which the first crashes its worker after '
    '{fuse:g} s'
)
def submit_deadly(context, tasks, fuse):
    job_id = context.fleet.submit([make_step(tasks)])
    mark_deadly(context, job_id, fuse)


@given('a job of {tasks:d} copied tasks of which the first crashes its worker')
def submit_deadly_copies(context, tasks):
    job_id = context.fleet.submit([make_step(tasks, allows_copies=True)])
    mark_deadly(context, job_id, 0)


@given(
    'a job of {tasks:d} permanent tasks of which the first crashes its worker'
)
def submit_deadly_permanent(context, tasks):
    job_id = context.fleet.submit([make_step(tasks, is_permanent=True)])
    mark_deadly(context, job_id, 0)


@given('a task with crashes "{kinds}"')
def make_history(context, kinds):
    context.history = CrashHistory()
    for attempt, kind in enumerate(kinds.split(), 1):
        if kind == 'excused':
            context.history = context.history.excuse(attempt)
        else:
            context.history = context.history.count(attempt)
            context.history = context.history.confirm(
                ConfirmedCrash(attempt, 0.5, is_alone=kind == 'alone')
            )


@then('there is a case against it if it is "{kinds}"')
def check_case(context, kinds):
    expected = kinds.split()
    history = context.history
    assert history.has_case(is_permanent=False) == ('short' in expected)
    assert history.has_case(is_permanent=True) == ('permanent' in expected)


def mark_deadly(context, job_id, fuse):
    context.deadly = TaskKey(job_id, 0, 0, 0)
    context.fleet.crashes.fuses[context.deadly] = fuse


@given('workers that come back under {which}')
def set_ids(context, which):
    context.fleet.crashes.has_new_ids = which == 'a new id'


@given('a list of VMs that is away for {seconds:g} seconds')
def interrupt_listings(context, seconds):
    context.fleet.vm_listings.next_at = context.fleet.now + seconds


@when('the owner {changes} after each crash for {seconds:g} seconds')
def change_after_crashes(context, changes, seconds):
    fleet = context.fleet
    change = {
        'hands over': fleet.hand_over,
        'is killed': fleet.kill_owner,
        'loses its membership': functools.partial(
            fleet.freeze_owner, MEMBERSHIP_LOSS_SECONDS
        ),
    }[changes]
    end = fleet.now + seconds
    seen = 0
    while fleet.now < end:
        fleet.step()
        crashes = fleet.crashes.counts[context.deadly]
        if crashes > seen and fleet.owner is not None:
            seen = crashes
            change()


@when('{count:d} workers crash every {every:g} seconds for {seconds:g} seconds')
def crash_others(context, count, every, seconds):
    fleet = context.fleet
    end = fleet.now + seconds
    first = 0
    while fleet.now < end:
        fleet.run(every)
        for offset in range(count):
            worker = fleet.workers[(first + offset) % len(fleet.workers)]
            if worker.is_up:
                fleet.crashes.crash(worker)
        first += 1


@when('the workers of the permanent tasks drain and end, {times:d} times')
def drain_and_end(context, times):
    fleet = context.fleet
    for _ in range(times):
        fleet.run(3)
        for worker in [w for w in fleet.workers if w.runs]:
            worker.is_draining = True
            fleet.run(0.2)
            fleet.crashes.crash(worker)
            worker.is_draining = False


@when('half of the VMs are drained, taken away as jobs arrive, {times:d} times')
def drain_and_move(context, times):
    fleet = context.fleet
    for _ in range(times):
        # The tasks of the last round end, so the VMs are empty.
        fleet.run(8)
        moved = fleet.workers[: len(fleet.workers) // 2]
        assert not any(worker.runs for worker in moved)
        fleet.drain_requests = {worker.worker_id for worker in moved}
        fleet.run(0.5)
        for worker in moved:
            fleet.crashes.crash(worker)
        fleet.drain_requests = set()
        for _ in range(3):
            fleet.submit([make_step(8)])


@when('each worker that has crashed is asked to drain for {seconds:g} seconds')
def drain_crashed(context, seconds):
    fleet = context.fleet
    end = fleet.now + seconds
    while fleet.now < end:
        fleet.step()
        fleet.drain_requests = {
            worker.worker_id for worker in fleet.workers if not worker.is_up
        }


@when(
    'the worker of the tasks crashes while the store is down for {seconds:g} '
    'seconds'
)
def crash_before_start(context, seconds):
    fleet = context.fleet
    fleet.is_store_up = False
    fleet.run(0.5)
    crashed = [
        worker
        for worker in fleet.workers
        if fleet.owner.scheduler.state.workers[worker.worker_id].attached
    ]
    assert crashed and not any(worker.runs for worker in crashed)
    for worker in crashed:
        fleet.crashes.crash(worker)
    fleet.run(seconds)
    fleet.is_store_up = True


@when('the worker that runs the tasks crashes')
def crash_running(context):
    fleet = context.fleet
    while not any(worker.runs for worker in fleet.workers):
        fleet.step()
    for worker in [w for w in fleet.workers if w.runs]:
        fleet.crashes.crash(worker)


@then('no task was lost with its worker')
def check_no_loss(context):
    losses = context.fleet.owner.scheduler.state.worker_losses
    assert not losses, losses


@then('the deadly task has crashed {least:d} to {most:d} workers')
def check_crashes(context, least, most):
    crashes = context.fleet.crashes.counts[context.deadly]
    assert least <= crashes <= most, crashes


@then('its job has failed, and all other jobs are completed')
def check_outcomes(context):
    outcomes = describe_all(context.fleet)
    assert outcomes.pop(context.deadly.job_id) == 'failed', outcomes
    check_others(context.fleet, outcomes)


@then('no job has failed, and all others are completed')
def check_none_failed(context):
    check_others(context.fleet, describe_all(context.fleet))


def describe_all(fleet):
    return {job_id: fleet.describe(job_id) for job_id in fleet.specs}


def check_others(fleet, outcomes):
    for job_id, outcome in outcomes.items():
        step = fleet.specs[job_id].steps[0]
        expected = 'running' if step.is_permanent else 'completed'
        assert outcome == expected, (job_id, outcome)
        if step.is_permanent:
            running = {key for w in fleet.workers for key in w.runs}
            tasks = {TaskKey(job_id, 0, 0, n) for n in range(step.width)}
            assert tasks <= running, tasks - running


@when('fleets with a deadly task run with faults and changing capacity')
def run_random_faults(context):
    context.open_jobs = []
    script = st.lists(
        st.tuples(st.integers(0, 250), st.sampled_from(ROOM_FAULTS)),
        max_size=14,
    )

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        # Runs are long, so a failing example is not shrunk.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @seed(27)
    @given_examples(
        st.integers(0, 10_000), script, st.sampled_from([0, 0.3, 1.2])
    )
    def run(number, faults, fuse):
        context.open_jobs.extend(run_script(number, faults, fuse))

    run()


@when('the first job is cancelled, and its stop order finds another worker')
def find_other(context):
    scheduler = context.scheduler
    scheduler.note_stored(context.round, context.now)
    for start in context.round.starts:
        scheduler.apply_order_result(start, OrderResult.DONE, context.now)
    scheduler.state.cancel_job(f'{0:016x}', context.now)
    context.now += 0.1
    decision = scheduler.decide(Moment(context.now, context.now * 1000))
    (stop,) = decision.stops
    scheduler.apply_order_result(
        stop, OrderResult.OTHER_INCARNATION, context.now
    )


@when('no start is answered, and the worker is lost')
def lose_unanswered(context):
    scheduler = context.scheduler
    scheduler.note_stored(context.round, context.now)
    for start in context.round.starts:
        scheduler.apply_order_result(start, OrderResult.UNANSWERED, context.now)
    scheduler.reconciler.note_worker_replaced('w0', context.now)


@then('the crash does not point to it')
def check_no_points(context):
    crashes = context.task.crashes
    assert (len(crashes.attempts), len(crashes.excused)) == (0, 1), crashes


@then('the task of the second job waits')
def check_waits(context):
    (_, task), *_ = context.scheduler.state.jobs[f'{1:016x}'].list_tasks()
    assert task.phase is TaskPhase.WAITING, task.phase
    context.task = task


@then('the crash points to it as to one of several')
def check_points(context):
    assert len(context.task.crashes.attempts) == 1, context.task.crashes
    (review,) = context.scheduler.state.evidence.reviews
    assert not review.is_alone, review
