"""A runner restarts under its id and is cut off soon after, and runs on."""

import sys

import trio
from runner import W
from stage import run_case

SHORT_PREFIX = '/clips/'
LASTING_PREFIX = '/index/'
SHORT = '00000000000000a1'
LASTING = '00000000000000b2'
SHORT_SECONDS = 2.5
RUNNERS = 8
UP_SECONDS = 10.0
# For how long the runner is down after its crash.
DOWN_SECONDS = 2.0
# From the restart to the cut, and how long that lasts.
CUT_AFTER_SECONDS = 1.0
CUT_SECONDS = 5.5
# Half of a runner: it takes one work unit of each job.
HALF = 8000


async def submit(stage, prefix, job, step, seconds):
    for daemon in stage.daemons * 2:
        if await stage.submit(daemon, prefix, job, [step], [seconds]) == 200:
            return
        await trio.sleep(0.1)
    raise RuntimeError(f'{job} was not accepted')


def find_overlaps(stage):
    """Return the work units of which two runs were at work at a time."""
    now = trio.current_time()
    broken = []
    runs = stage.list_runs()
    for run in runs:
        end = run.ended_at or now
        broken.extend(
            f'TWICE: {run.task} runs on {run.lifetime.id} (run {run.number})'
            f' until {end - stage.began:.2f} s, and on {later.lifetime.id} (run'
            f' {later.number}) from {later.begun_at - stage.began:.2f} s, both'
            f' up: {end - later.begun_at:.2f} s at the same time'
            for later in runs
            if later.task == run.task
            and later is not run
            and run.begun_at <= later.begun_at < end
        )
    return broken


async def play(stage, is_disrupted):
    for number in range(RUNNERS):
        stage.add_runner(f'runner-{number}', 'pool-a', f'r{number // 4}')
    stage.write_config(
        {
            'clips': (SHORT_PREFIX, 'pool-a'),
            'index': (LASTING_PREFIX, 'pool-a'),
        }
    )
    await stage.start()
    await trio.sleep(UP_SECONDS)
    runner = stage.runners[2]
    if is_disrupted:
        runner.crash()
        await trio.sleep(DOWN_SECONDS)
        runner.begin()
        with trio.fail_after(5):
            await runner.polled.wait()
    begun = trio.current_time()
    await trio.sleep(0.1)
    short = {'count': RUNNERS, 'cpu': HALF, 'memMb': 512, W['apart']: 1}
    await submit(stage, SHORT_PREFIX, SHORT, short, SHORT_SECONDS)
    await trio.sleep(0.2)
    lasting = {'count': RUNNERS, 'cpu': HALF, 'memMb': 512, W['permanent']: True}
    await submit(stage, LASTING_PREFIX, LASTING, lasting, None)
    await trio.sleep_until(begun + CUT_AFTER_SECONDS)
    if is_disrupted:
        runner.server.cut()
        stage.note(f'{runner.name} is cut off and runs on')
        await trio.sleep(CUT_SECONDS)
        runner.server.restore()
        stage.note(f'{runner.name} is reached again')
    await trio.sleep(6)
    return find_overlaps(stage)


run_case(play, daemons=3, folder=sys.argv[1])
