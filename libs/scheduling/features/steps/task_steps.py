import functools
import math
import sys
from pathlib import Path

from behave import given, step, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as given_examples
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent))

from faultscripts import FAULTS, run_script  # noqa: E402
from fleetsimulation import FleetSimulation, make_step  # noqa: E402

from tarragonlb.scheduling.vmevidence import (  # noqa: E402
    VmListEvidence,
    VmListing,
)

EXAMPLES = 120
# A permanent task counts as lost from 6 s after the end of its last run, if it
# does not run for 3 s.
REPLACEMENT_SECONDS = 9.0
# Longer than a member's TTL, so that the owner comes back after its successor.
MEMBERSHIP_LOSS_SECONDS = 2.0


@given('a fleet of {count:d} workers')
def start_fleet(context, count):
    context.fleet = FleetSimulation(seed=1, workers=count)


@given('a fleet of {count:d} workers on a network that loses nothing')
def start_reliable_fleet(context, count):
    context.fleet = FleetSimulation(seed=1, workers=count, is_reliable=True)


@given('a job of {first:d} tasks followed by {second:d} tasks')
def submit_two(context, first, second):
    submit(context, make_step(first), make_step(second, prerequisites=(0,)))


@given('a job of {count:d} tasks')
def submit_one(context, count):
    submit(context, make_step(count))


@given('a job of {count:d} long tasks')
def submit_long(context, count):
    submit(context, make_step(count, cpu=1500))


@given('a job of {count:d} tasks that allow copies')
def submit_copies(context, count):
    submit(context, make_step(count, allows_copies=True))


def submit(context, *steps):
    context.job = context.fleet.submit(steps)


@given('a job of {count:d} permanent tasks')
def submit_permanent(context, count):
    submit(context, make_step(count, is_permanent=True))


@given('worker "{name}" fails all tasks')
def fail_all(context, name):
    find_worker(context.fleet, name).fails_all = True


@given('worker "{name}" makes no progress')
def stall(context, name):
    find_worker(context.fleet, name).is_stalled = True


@when('{seconds:g} seconds pass')
def let_time_pass(context, seconds):
    context.fleet.run(seconds)


@step('worker "{name}" becomes unreachable')
def make_unreachable(context, name):
    worker = find_worker(context.fleet, name)
    worker.is_reachable = False
    context.unreachable_keys = set(worker.runs)
    context.counts_before = dict(context.fleet.start_counts)


@when('worker "{name}" is lost')
def lose(context, name):
    make_unreachable(context, name)
    assert context.unreachable_keys, name
    find_worker(context.fleet, name).crash(context.fleet.log)


@when('listings at "{times}" lack a worker that last answered at {answered}')
def list_without(context, times, answered):
    evidence = VmListEvidence()
    answered_at = None if answered == 'never' else float(answered)
    workers = {'': {'w2'}, 'shown': {'w1', 'w2'}, 'empty': set()}
    for text in times.split():
        at, _, content = text.partition(':')
        context.ended = evidence.observe(
            VmListing(frozenset(workers[content]), float(at)),
            {'w1': answered_at, 'w2': None},
        )


@then('the worker has {outcome}')
def check_evidence(context, outcome):
    assert context.ended == (('w1',) if outcome == 'ended' else ()), (
        context.ended
    )


@then('"{name}" had tasks when it became unreachable')
def check_had_tasks(context, name):
    assert context.unreachable_keys, name


@when('the owner is killed every {seconds:g} seconds, {count:d} times')
def kill_repeatedly(context, seconds, count):
    for _ in range(count):
        context.fleet.kill_owner()
        context.fleet.run(seconds)


@when(
    'the owner {changes} every {seconds:g} seconds until "{name}" is replaced'
)
def change_repeatedly(context, changes, seconds, name):
    fleet = context.fleet
    worker = find_worker(fleet, name)
    change = {
        'hands over': fleet.hand_over,
        'is killed': fleet.kill_owner,
        'loses its membership': functools.partial(
            fleet.freeze_owner, MEMBERSHIP_LOSS_SECONDS
        ),
    }[changes]
    change_at = fleet.now
    context.work_ended_at = math.inf
    while fleet.now < context.work_ended_at + REPLACEMENT_SECONDS:
        if fleet.now >= change_at and fleet.owner is not None:
            change()
            change_at += seconds
        fleet.step()
        if not worker.runs:
            context.work_ended_at = min(context.work_ended_at, fleet.now)
        if all(has_restarted(context, key) for key in context.unreachable_keys):
            break


def has_restarted(context, key):
    return context.fleet.start_counts[key] > context.counts_before[key]


@when('"{name}" is reachable for {seconds:g} second with the store {mode}')
def reach(context, name, seconds, mode):
    worker = find_worker(context.fleet, name)
    context.fleet.is_store_up = mode == 'up'
    worker.is_reachable = True
    context.fleet.run(seconds)
    worker.is_reachable = False
    context.fleet.is_store_up = True


@then('no lease bound is stored')
def check_no_bound(context):
    assert not context.fleet.bound_writes, context.fleet.bound_writes


@then('a lease bound of "{name}" was stored at most {count:d} times')
def check_bound_writes(context, name, count):
    assert 0 < len(context.fleet.bound_writes) <= count, (
        context.fleet.bound_writes
    )
    assert set(context.fleet.list_bounds()) == {name}


@then('every task of "{name}" has started elsewhere')
def check_elsewhere(context, name):
    for key in context.unreachable_keys:
        assert context.fleet.start_counts[key] > context.counts_before[key], key


@when('the owner is killed')
def kill_owner(context):
    context.fleet.kill_owner()


@when('the job is cancelled')
def cancel(context):
    context.fleet.cancel(context.job)


@when('the store is down for {seconds:g} seconds')
def interrupt_store(context, seconds):
    context.fleet.is_store_up = False
    context.fleet.run(seconds)
    context.fleet.is_store_up = True


@when(
    'the store is down for {seconds:g} seconds and worker "{name}" shrinks to '
    '{millicores:d} millicores'
)
def shrink_in_outage(context, seconds, name, millicores):
    fleet = context.fleet
    fleet.is_store_up = False
    fleet.run(1)
    find_worker(fleet, name).resize(millicores, fleet.now)
    fleet.run(seconds - 1)
    # The entry of the worker may be written before the decisions are.
    find_worker(fleet, name).publish(fleet.now, fleet.vm_listings.addresses)
    fleet.is_store_up = True


@when('worker "{name}" grows to {millicores:d} millicores')
def grow(context, name, millicores):
    find_worker(context.fleet, name).resize(millicores, context.fleet.now)


@when('fleets run with random faults')
def run_random_faults(context):
    context.open_jobs = []
    script = st.lists(
        st.tuples(st.integers(0, 250), st.sampled_from(FAULTS)), max_size=12
    )

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        # Runs are long, so a failing example is not shrunk.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @seed(7)
    @given_examples(st.integers(0, 10_000), script)
    def run(number, faults):
        context.open_jobs.extend(run_script(number, faults))

    run()


@when(
    'fleet {number:d} has a worker that crashes and restarts between two '
    'reports'
)
def restart_at_once(context, number):
    context.open_jobs = run_script(number, [(18, 'crash'), (18, 'crash')])


def find_worker(fleet, name):
    return next(w for w in fleet.workers if w.worker_id == name)


@then('the job is completed')
def check_completed(context):
    assert context.fleet.describe(context.job) == 'completed'


@then('no task of "{name}" has started elsewhere')
def check_not_elsewhere(context, name):
    for key in context.unreachable_keys:
        assert context.fleet.start_counts[key] == context.counts_before[key], (
            key
        )


@then('no task was started more than {count:d} times')
def check_starts(context, count):
    assert max(context.fleet.start_counts.values()) <= count


@then('worker "{name}" has failed at most {count:d} tasks')
def check_failures(context, name, count):
    assert find_worker(context.fleet, name).last_end_number <= count


@then('the job stays cancelled and no task of it runs')
def check_cancelled(context):
    assert context.fleet.describe(context.job) == 'cancelled'
    assert not any(worker.runs for worker in context.fleet.workers)


@then('every job has ended')
def check_all_ended(context):
    assert not context.open_jobs, context.open_jobs[0]
