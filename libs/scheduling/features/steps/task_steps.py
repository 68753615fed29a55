import sys
from pathlib import Path

from behave import given, then, when
from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis import given as given_any
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent))

from faultscripts import FAULTS, run_script  # noqa: E402
from fleetworld import FleetWorld, make_step  # noqa: E402

EXAMPLES = 120


@given('a fleet of {count:d} workers')
def start(context, count):
    context.world = FleetWorld(seed=1, workers=count)


@given('a fleet of {count:d} workers on a network that loses nothing')
def start_reliable(context, count):
    context.world = FleetWorld(seed=1, workers=count, is_reliable=True)


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
    context.job = context.world.submit(steps)


@given('worker "{name}" fails everything')
def fail_all(context, name):
    find(context.world, name).fails_all = True


@given('worker "{name}" stands still')
def stand_still(context, name):
    find(context.world, name).stands_still = True


@when('{seconds:g} seconds pass')
def wait(context, seconds):
    context.world.run(seconds)


@when('worker "{name}" falls out of reach')
def cut(context, name):
    worker = find(context.world, name)
    worker.is_reachable = False
    context.cut_keys = set(worker.runs)
    context.before = dict(context.world.starts)


@then('"{name}" held tasks when it was cut')
def check_held(context, name):
    assert context.cut_keys, name


@when('the owner is killed every {seconds:g} seconds, {count:d} times')
def kill_often(context, seconds, count):
    for _ in range(count):
        context.world.kill_owner()
        context.world.run(seconds)


@then('every task of "{name}" has started elsewhere')
def check_elsewhere(context, name):
    for key in context.cut_keys:
        assert context.world.starts[key] > context.before[key], key


@when('the owner is killed')
def kill(context):
    context.world.kill_owner()


@when('the job is cancelled')
def cancel(context):
    context.world.cancel(context.job)


@when('the store is down for {seconds:g} seconds')
def stop_store(context, seconds):
    context.world.is_store_up = False
    context.world.run(seconds)
    context.world.is_store_up = True


@when('fleets fail at random')
def fail_at_random(context):
    context.left = []
    script = st.lists(
        st.tuples(st.integers(0, 250), st.sampled_from(FAULTS)), max_size=12
    )

    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        database=None,
        # Fleets are long; the first failing one is traced as it is.
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
    )
    @seed(7)
    @given_any(st.integers(0, 10_000), script)
    def run(number, faults):
        context.left.extend(run_script(number, faults))

    run()


def find(world, name):
    return next(w for w in world.workers if w.worker_id == name)


@then('the job is completed')
def check_completed(context):
    assert context.world.describe(context.job) == 'completed'


@then('no task of "{name}" has started elsewhere')
def check_not_elsewhere(context, name):
    for key in context.cut_keys:
        assert context.world.starts[key] == context.before[key], key


@then('no task was started more than {count:d} times')
def check_starts(context, count):
    assert max(context.world.starts.values()) <= count


@then('worker "{name}" has failed at most {count:d} tasks')
def check_failures(context, name, count):
    assert find(context.world, name).number <= count


@then('the job is cancelled for good and nothing of it runs')
def check_cancelled(context):
    assert context.world.describe(context.job) == 'cancelled'
    assert not any(worker.runs for worker in context.world.workers)


@then('every job has come to an end')
def check_all_ended(context):
    assert not context.left, context.left[0]
