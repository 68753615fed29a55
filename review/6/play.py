"""Work units that run for minutes are taken for stalled, and block a pool."""

import sys

import trio
from runner import W
from stage import run_case

LONG_PREFIX = '/index/'
CLIP_PREFIX = '/clips/'
LONG = '00000000000000a1'
RUNNERS = 6
LONG_UNITS = 12
LONG_SECONDS = 300.0
SHORT_SECONDS = 60.0
# From the hand-in of the long job to that of the short ones.
LEAD_SECONDS = 30.0
CLIPS = 6
# The rule's bounds: three calm seconds after four calm seconds, and `finish_s`.
IDLE_SECONDS = 7.0
FINISH_SECONDS = 14.0


async def submit(stage, prefix, job, step, seconds):
    for _ in range(10):
        status = await stage.submit(
            stage.daemons[0], prefix, job, [step], [seconds]
        )
        if status == 200:
            return
        await trio.sleep(0.5)
    raise RuntimeError(f'{job} was not accepted')


async def play(stage, is_disrupted):
    for number in range(RUNNERS):
        stage.add_runner(f'runner-{number}', 'pool-a', f'r{number // 4}')
    stage.write_config(
        {'index': (LONG_PREFIX, 'pool-a'), 'clips': (CLIP_PREFIX, 'pool-a')}
    )
    await stage.start()
    await trio.sleep(2)
    seconds = LONG_SECONDS if is_disrupted else SHORT_SECONDS
    step = {
        'count': LONG_UNITS,
        'cpu': 880,
        'memMb': 256,
        # The estimate is right.
        W['estimate']: int(seconds * 1000),
    }
    await submit(stage, LONG_PREFIX, LONG, step, seconds)
    await trio.sleep(LEAD_SECONDS)
    jobs = [f'{number:016x}' for number in range(1, CLIPS + 1)]
    accepted = {}
    for job in jobs:
        clip = {'count': 6, 'cpu': 880, 'memMb': 256}
        await submit(stage, CLIP_PREFIX, job, clip, 1.0)
        accepted[job] = trio.current_time()
        await trio.sleep(1)
    await trio.sleep(FINISH_SECONDS + 4)
    broken = []
    now = trio.current_time()
    for job in jobs:
        _, state = await stage.ask(stage.daemons[1], CLIP_PREFIX, job)
        runs = stage.list_runs(job)
        idle = runs[0].begun_at - accepted[job] if runs else now - accepted[job]
        stage.note(f'{job} is {state}; its first run began after {idle:.2f} s')
        if idle > IDLE_SECONDS or (
            state != 'completed' and now - accepted[job] > FINISH_SECONDS
        ):
            broken.append(
                f'LOST: {job} was accepted {now - accepted[job]:.1f} s ago and'
                f' is {state}; for {idle:.1f} s none of its work units ran'
            )
    runs = stage.list_runs(LONG)
    stopped = sum(run.how == 'stopped' for run in runs)
    stage.note(
        f'{LONG}: {len(runs)} runs of {LONG_UNITS} work units, {stopped} of'
        ' them were ended by a stop'
    )
    return broken


run_case(play, daemons=3, folder=sys.argv[1])
