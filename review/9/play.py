"""A job whose runners crash twice: it has to be run, not given up."""

import sys

import trio
from stage import run_case

PREFIX = '/clips/'
JOB = '5c0e7a21d94b36f8'
WORK_SECONDS = 3.0
# How long a runner works before it crashes, and for how long it is down.
CRASH_AFTER_SECONDS = 1.0
DOWN_SECONDS = 5.0
CRASHES = 2


async def crash_runner(stage, number):
    """Crash the runner on which the work unit has its run ``number``."""
    with trio.fail_after(20):
        while True:
            runs = stage.list_runs(JOB)
            if len(runs) >= number and not runs[number - 1].how:
                break
            await trio.sleep(0.01)
    run = stage.list_runs(JOB)[number - 1]
    await trio.sleep(CRASH_AFTER_SECONDS)
    runner = run.lifetime.runner
    runner.crash()

    async def come_back():
        await trio.sleep(DOWN_SECONDS)
        runner.begin(f'{runner.name}-again')

    stage.nursery.start_soon(come_back)


async def play(stage, is_disrupted):
    for number in range(8):
        stage.add_runner(f'runner-{number}', 'pool-a', f'r{number // 4}')
    stage.write_config({'clips': (PREFIX, 'pool-a')})
    await stage.start()
    await trio.sleep(3)
    daemon = stage.daemons[0]
    status = 503
    for _ in range(5):
        status = await stage.submit(
            daemon,
            PREFIX,
            JOB,
            [{'count': 1, 'cpu': 880, 'memMb': 256}],
            [WORK_SECONDS],
        )
        if status == 200:
            break
        await trio.sleep(1)
    assert status == 200, 'the job was not accepted'
    if is_disrupted:
        for number in range(1, CRASHES + 1):
            try:
                await crash_runner(stage, number)
            except trio.TooSlowError:
                stage.note(f'no run {number}')
                break
    state = ''
    with trio.move_on_after(40):
        while state not in {'completed', 'failed', 'cancelled'}:
            await trio.sleep(1)
            for asked in stage.daemons:
                _, state = await stage.ask(asked, PREFIX, JOB)
    await trio.sleep(2)
    for asked in stage.daemons:
        _, state = await stage.ask(asked, PREFIX, JOB)
    runs = stage.list_runs(JOB)
    for run in runs:
        stage.note(f'run {run.number} on {run.lifetime.id}: {run.how}')
    failed = [run for run in runs if run.how == 'failed']
    if state == 'failed' and not failed:
        return [
            f'LOST: {JOB} was accepted and is shown as failed; no run of it'
            f' ended failed ({len(runs)} runs)'
        ]
    if state != 'completed':
        return [f'LOST: {JOB} is shown as {state!r} at the end']
    return []


run_case(play, daemons=3, folder=sys.argv[1])
