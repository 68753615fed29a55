import sys
from pathlib import Path

from behave import given, step, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from stallsimulation import StallSimulation  # noqa: E402

from tarragonlb.scheduling.job import Demand, Step  # noqa: E402

DIGITS = {'whole percents': 0, 'fractions of a percent': 3}
OPTIONS = {
    '': {},
    'and save checkpoints': {'saves_checkpoints': True},
    'and last': {'is_permanent': True},
    'and scavenge': {'scavenges': True},
}


@given('a pool of workers "{names}" that report {progress}')
def start_pool(context, names, progress):
    context.stalls = StallSimulation(names.split(), DIGITS[progress])


@given('a pool of workers "{names}" that take {seconds:g} s to resume a task')
def start_resuming_pool(context, names, seconds):
    context.stalls = StallSimulation(names.split(), resume_seconds=seconds)


@given(
    'the job "{name}" of {count:d} tasks that take {seconds:g} s, '
    'declared as {declared:g} s'
)
def submit_sound(context, name, count, seconds, declared):
    submit(context, name, count, seconds, declared, '')


@given(
    'the job "{name}" of {count:d} tasks that take {seconds:g} s {option}, '
    'declared as {declared:g} s'
)
def submit(context, name, count, seconds, declared, option):
    task = build_step(count, declared, **OPTIONS[option])
    context.stalls.submit(name, task, seconds)


@given(
    'the job "{name}" of {count:d} tasks that never make progress, '
    'declared as {declared:g} s'
)
def submit_stuck(context, name, count, declared):
    task = build_step(count, declared)
    context.stalls.submit(name, task, 1.0, is_stuck=True)


def build_step(count, declared, **more):
    return Step(
        width=count,
        demand=Demand(1000, 100, 0),
        estimate_seconds=declared,
        **more,
    )


@step('the tasks on "{name}" work at {share:g} of their speed')
def set_speed(context, name, share):
    context.stalls.workers[name].speed = share


@step('the tasks on "{name}" are ready by {share:g} at most')
def set_readiness(context, name, share):
    context.stalls.workers[name].ready_share = share


@step('{seconds:g} s go by in the pool')
def let_pool_run(context, seconds):
    context.stalls.run(seconds)


@when('the next report of "{name}" takes {seconds:g} s to arrive')
def delay_report(context, name, seconds):
    context.stalls.delay_report(name, seconds)


@when('the owner of the pool is paused for {seconds:g} s')
def pause_owner(context, seconds):
    context.stalls.run(seconds, is_owner_paused=True)


@when('another owner takes the pool over')
def replace_owner(context):
    context.stalls.take_over()


@when('another owner takes the pool over every {seconds:g} s, {count:d} times')
def replace_often(context, seconds, count):
    for _ in range(count):
        context.stalls.take_over()
        context.stalls.run(seconds)


@then('the job "{name}" is done in the pool')
def check_done(context, name):
    found = context.stalls.describe(name)
    assert found == 'completed', (found, context.stalls.starts)


@then('each task of "{name}" was started once')
def check_started_once(context, name):
    check_most_starts(context, name, 1)


@then('each task of "{name}" was started {count:d} times')
def check_started(context, name, count):
    starts = context.stalls.list_starts(name)
    assert set(starts) == {count}, starts


@then('no task of "{name}" was started more than {count:d} times')
def check_most_starts(context, name, count):
    starts = context.stalls.list_starts(name)
    assert starts and max(starts) <= count, starts


@then('no worker of the pool was put on probation')
def check_no_blame(context):
    assert not context.stalls.blamed, context.stalls.blamed


@then('no worker of the pool is on probation')
def check_cleared(context):
    workers = context.stalls.scheduler.state.workers.values()
    found = [one.entry.worker_id for one in workers if one.failures]
    assert not found, found


@then('only the workers "{names}" were put on probation')
def check_blame(context, names):
    assert context.stalls.blamed == set(names.split()), context.stalls.blamed


@then('at most {count:d} workers were put on probation')
def check_blame_count(context, count):
    assert len(context.stalls.blamed) <= count, context.stalls.blamed


@then('no task of "{name}" runs on "{worker}"')
def check_left(context, name, worker):
    keys = tuple(context.stalls.workers[worker].runs)
    assert name not in {key.job_id for key in keys}, keys


@then('tasks of "{name}" run on "{worker}"')
def check_present(context, name, worker):
    keys = tuple(context.stalls.workers[worker].runs)
    assert name in {key.job_id for key in keys}, keys


@then('the last {count:d} tasks of "{name}" were started once')
def check_last_starts(context, count, name):
    starts = context.stalls.starts
    last = sorted(found for found in starts if found[0] == name)[-count:]
    assert [starts[found] for found in last] == [1] * count, starts


@then('at most {count:d} tasks were started on "{name}"')
def check_starts_on(context, count, name):
    found = context.stalls.starts_on[name]
    assert found <= count, found
