"""A runner restarts under its id: ends of its new lifetime are forgotten."""

import sys

import trio
from stage import run_case

PREFIX = '/clips/'
FIRST = '00000000000000a1'
SECOND = '00000000000000b2'
WORK_SECONDS = 0.4
# For how long the runner is down after its crash.
DOWN_SECONDS = 0.3
# As many work units as fill all runners evenly.
RUNNERS = 8
WIDTH = 12


async def submit(stage, job):
    step = {'count': WIDTH, 'cpu': 2300, 'memMb': 512}
    for daemon in stage.daemons * 2:
        if await stage.submit(daemon, PREFIX, job, [step], [WORK_SECONDS]) == 200:
            return
        await trio.sleep(0.5)
    raise RuntimeError(f'{job} was not accepted')


async def wait_until_completed(stage, job):
    state = ''
    with trio.move_on_after(25):
        while state != 'completed':
            await trio.sleep(0.5)
            _, state = await stage.ask(stage.daemons[0], PREFIX, job)
    return state


async def crash_and_restart(stage, runner):
    """Crash a runner that is idle, and start it again under its id."""
    runner.crash()
    await trio.sleep(DOWN_SECONDS)
    runner.begin()


def find_repeated(stage):
    """Return the work units that ran again after an end that was noted."""
    broken = []
    runs = stage.list_runs()
    for run in runs:
        if run.how != 'done' or run.noted_at is None:
            continue
        broken.extend(
            f'TWICE: {run.task} run {run.number} ended done on'
            f' {run.lifetime.id} (born {run.lifetime.born}) as end number'
            f' {run.end_number}, and that end is taken note of; run'
            f' {later.number} began {later.begun_at - run.ended_at:.2f} s later'
            f' on {later.lifetime.id}'
            for later in runs
            if later.task == run.task and later.begun_at > run.ended_at
        )
    return broken


async def play(stage, is_disrupted):
    for number in range(RUNNERS):
        stage.add_runner(f'runner-{number}', 'pool-a', f'r{number // 4}')
    stage.write_config({'clips': (PREFIX, 'pool-a')})
    await stage.start()
    await trio.sleep(3)
    await submit(stage, FIRST)
    assert await wait_until_completed(stage, FIRST) == 'completed'
    await trio.sleep(1)
    # One of those that have run something, so that ends of it are known.
    runner = stage.list_runs(FIRST)[0].lifetime.runner
    with trio.fail_after(10):
        await runner.polled.wait()
    await trio.sleep(0.1)
    if is_disrupted:
        await crash_and_restart(stage, runner)
    else:
        await trio.sleep(DOWN_SECONDS)
    await submit(stage, SECOND)
    await wait_until_completed(stage, SECOND)
    await trio.sleep(2)
    for run in stage.list_runs(SECOND):
        stage.note(
            f'{run.task} run {run.number} on {run.lifetime.id}: {run.how}'
        )
    return find_repeated(stage)


run_case(play, daemons=3, folder=sys.argv[1])
