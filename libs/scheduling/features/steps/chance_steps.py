import sys
from pathlib import Path

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from fleetsimulation import FleetSimulation, make_step  # noqa: E402

from tarragonlb.scheduling.job import TaskKey  # noqa: E402

WORKERS = 8
LOAD_SECONDS = 40.0
# All jobs must be done this long after the last crash.
FINISH_SECONDS = 60.0
CHECK_SECONDS = 1.0
OWNER_KILL_SECONDS = 7.0
NOTICE_SECONDS = 2.0
SMALL_POOL_RUN_SECONDS = 20.0
# Of the tasks run for up to 8 s.
LONG_SHARE = 0.3


@given(
    '{count:d} fleets with a job of one task that runs for {seconds:g} seconds'
)
def build_fleets(context, count, seconds):
    context.fleets = []
    for number in range(count):
        fleet = FleetSimulation(number, WORKERS, is_reliable=True)
        fleet.run_seconds = seconds
        fleet.submit([make_step(1)])
        context.fleets.append(fleet)


@given('workers that come back under {which} in all fleets')
def set_ids(context, which):
    for fleet in context.fleets:
        fleet.crashes.has_new_ids = which == 'a new id'


@when(
    'its worker crashes {seconds:g} s after the start, and the next one before '
    'its start'
)
def crash_and_die(context, seconds):
    for fleet in context.fleets:
        crash_after(fleet, seconds)
        fleet.crashes.starts_to_lose = 1


@when('its worker crashes {seconds:g} s after the start, {times:d} times')
def crash_often(context, seconds, times):
    for fleet in context.fleets:
        for _ in range(times):
            crash_after(fleet, seconds)


@when('{seconds:d} seconds pass in all fleets')
def run_all(context, seconds):
    for fleet in context.fleets:
        fleet.run(seconds)


@when(
    '{fleets:d} fleets run {jobs:d} jobs each second while {count:d} workers '
    'crash every {gap:g} s'
)
def run_loads(context, fleets, jobs, count, gap):
    context.fleets = [
        run_load(number, jobs, count, gap) for number in range(fleets)
    ]


@when(
    '{fleets:d} fleets run {jobs:d} jobs each second while {count:d} workers '
    'crash every {gap:g} s and owners are killed'
)
def run_loads_without_owner(context, fleets, jobs, count, gap):
    context.fleets = [
        run_load(number, jobs, count, gap, kills_owners=True)
        for number in range(fleets)
    ]


@then('no job of the fleets is shown as failed, and all are completed')
def check_jobs(context):
    states = [
        (number, job_id, fleet.describe(job_id))
        for number, fleet in enumerate(context.fleets)
        for job_id in fleet.specs
    ]
    failed = [row for row in states if row[2] == 'failed']
    assert not failed, f'{len(failed)} of {len(states)} failed: {failed[:5]}'
    late = [row for row in states if row[2] != 'completed']
    assert not late, f'{len(late)} of {len(states)} not done: {late[:5]}'


def crash_after(fleet, seconds):
    """Crash the worker that runs the task, some time after the start."""
    while not any(worker.runs for worker in fleet.workers):
        fleet.step()
        assert fleet.list_open()
    fleet.run(seconds)
    for worker in [w for w in fleet.workers if w.runs]:
        fleet.crashes.crash(worker)


def run_load(number, jobs, count, gap, *, kills_owners=False):
    """Submit sound jobs while random workers crash; return the fleet."""
    fleet = FleetSimulation(number, WORKERS, is_reliable=True)
    fleet.failed_share = 0
    fleet.long_share = LONG_SHARE
    fleet.crashes.has_new_ids = number % 2 == 0
    next_crash, next_kill = gap, OWNER_KILL_SECONDS
    while fleet.now < LOAD_SECONDS:
        for _ in range(jobs):
            fleet.submit([make_step(fleet.random.randint(1, 4))])
        second = fleet.now + 1
        while fleet.now < second:
            fleet.step()
            if fleet.now >= next_crash:
                next_crash += gap
                crash_random(fleet, count)
            if kills_owners and fleet.now >= next_kill:
                next_kill += OWNER_KILL_SECONDS
                fleet.kill_owner()
    end = fleet.now + FINISH_SECONDS
    while fleet.list_open() and fleet.now < end:
        fleet.run(CHECK_SECONDS)
    return fleet


def crash_random(fleet, count):
    up = [worker for worker in fleet.workers if worker.is_up]
    for worker in fleet.random.sample(up, min(count, len(up))):
        fleet.crashes.crash(worker)


@when(
    'its worker and others crash by turns, and the owner after the third time'
)
def crash_by_turns(context):
    for fleet in context.fleets:
        for _ in range(3):
            crash_after(fleet, 1)
            crash_others(fleet)
        fleet.kill_owner()


@when(
    'it crashes its worker after {fuse:g} s and the list of VMs is away for '
    '{away:g} s each time'
)
def arm_task(context, fuse, away):
    for fleet in context.fleets:
        fleet.crashes.fuses[TaskKey(f'{0:016x}', 0, 0, 0)] = fuse
        fleet.crashes.listing_gap_seconds = away
        fleet.crashes.has_new_ids = True


@when(
    'its worker dies before the start arrives and the owner is killed, '
    '{times:d} times'
)
def die_before_starts(context, times):
    for fleet in context.fleets:
        for _ in range(times):
            fleet.crashes.starts_to_lose = 1
            while fleet.crashes.starts_to_lose:
                fleet.step()
                assert fleet.list_open()
            fleet.kill_owner()


@when('its next {count:d} starts reach dead workers')
def lose_starts(context, count):
    for fleet in context.fleets:
        fleet.crashes.starts_to_lose = count
        while fleet.crashes.starts_to_lose:
            fleet.step()


@then('it runs within {seconds:d} seconds of the last one')
def check_runs(context, seconds):
    for fleet in context.fleets:
        # After the time in which the loss of the worker is noticed.
        fleet.run(NOTICE_SECONDS + seconds)
        assert sum(fleet.start_counts.values()) == 1, fleet.start_counts


@given(
    '{count:d} fleets of {workers:d} worker with {jobs:d} jobs, and a deadly '
    'one that runs for {fuse:g} s'
)
def build_small_fleets(context, count, workers, jobs, fuse):
    context.fleets = []
    for number in range(count):
        fleet = FleetSimulation(number, workers, is_reliable=True)
        fleet.failed_share = 0
        fleet.run_seconds = SMALL_POOL_RUN_SECONDS
        fleet.submit([make_step(1)])
        fleet.crashes.fuses[TaskKey(f'{0:016x}', 0, 0, 0)] = fuse
        for _ in range(jobs):
            fleet.submit([make_step(1)])
        context.fleets.append(fleet)


@then('all jobs but the deadly one are completed')
def check_sound(context):
    for fleet in context.fleets:
        sound = [job_id for job_id in fleet.specs if job_id != f'{0:016x}']
        states = [fleet.describe(job_id) for job_id in sound]
        assert set(states) == {'completed'}, states


@then('the task has crashed at most {most:d} workers, and its job has failed')
def check_given_up(context, most):
    for fleet in context.fleets:
        (crashes,) = fleet.crashes.counts.values()
        assert crashes <= most, crashes
        assert fleet.describe(f'{0:016x}') == 'failed'


@then('each crash is noted once, with its worker, the chance and the limit')
def check_notes(context):
    for fleet in context.fleets:
        notes = fleet.owner.scheduler.state.evidence.notes
        (given_up,) = notes.given_up
        attempts = [note.attempt for note in notes.crashes]
        assert len(attempts) == len(set(attempts)) == given_up.crashes, notes
        assert all(note.worker_id for note in notes.crashes)
        assert all(0 < note.max_chance < 1 for note in notes.crashes)
        assert notes.crashes[-1].chance >= given_up.chance


def crash_others(fleet):
    """Crash three workers that run nothing, one after the other."""
    for _ in range(3):
        fleet.run(0.8)
        idle = [w for w in fleet.workers if w.is_up and not w.runs]
        fleet.crashes.crash(fleet.random.choice(idle))
