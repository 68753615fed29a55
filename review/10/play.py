"""A runner rejects all starts while the others are full: what is pending?"""

import sys

import trio
from stage import run_case

LONG_PREFIX = '/index/'
CLIP_PREFIX = '/clips/'
LONG = '00000000000000a1'
RUNNERS = 7
LONG_SECONDS = 60.0
CLIPS = [f'{number:016x}' for number in range(1, 9)]
# `visible_ms` + 2 s, and some more.
WAIT_SECONDS = 5.2
ASKS = 6
ASK_INTERVAL = 0.1


async def submit(stage, prefix, job, step, seconds):
    for _ in range(10):
        status = await stage.submit(
            stage.daemons[0], prefix, job, [step], [seconds]
        )
        if status == 200:
            return
        await trio.sleep(0.3)
    raise RuntimeError(f'{job} was not accepted')


async def play(stage, is_disrupted):
    for number in range(RUNNERS):
        stage.add_runner(f'runner-{number}', 'pool-a', f'r{number // 4}')
    stage.write_config(
        {'index': (LONG_PREFIX, 'pool-a'), 'clips': (CLIP_PREFIX, 'pool-a')}
    )
    await stage.start()
    await trio.sleep(3)
    # All runners are full, or all but one.
    full = RUNNERS - is_disrupted
    step = {'count': full, 'cpu': 16000, 'memMb': 256}
    await submit(stage, LONG_PREFIX, LONG, step, LONG_SECONDS)
    with trio.fail_after(30):
        while len(stage.list_runs(LONG)) < full:
            await trio.sleep(0.1)
    await trio.sleep(1)
    since = trio.current_time()
    for runner in stage.runners:
        if not runner.history:
            runner.is_unhealthy = True
            stage.note(f'{runner.name} is unhealthy from now on')
    clip = {'count': 1, 'cpu': 880, 'memMb': 256}
    for job in CLIPS:
        await submit(stage, CLIP_PREFIX, job, clip, 1.0)
    await trio.sleep(WAIT_SECONDS)
    broken = []
    for number in range(ASKS):
        daemon = stage.daemons[number % len(stage.daemons)]
        begun = {run.task.partition('.')[0] for run in stage.list_runs()}
        waiting = sum(job not in begun for job in CLIPS)
        status, content = await daemon.call('GET', CLIP_PREFIX)
        pending = content.get('pending', -1)
        stage.note(
            f'{daemon.name}: {status}, pending {pending}; {waiting} haven\'t'
            ' begun'
        )
        if status == 200 and pending * 2 < waiting:
            broken.append(
                f'MIXED: {daemon.name} gives {pending} as pending; {waiting}'
                f' jobs that were accepted over {WAIT_SECONDS} s before'
                ' haven\'t begun'
            )
        await trio.sleep(ASK_INTERVAL)
    for runner in stage.runners:
        runner.is_unhealthy = False
    stage.note(f'all are healthy, after {trio.current_time() - since:.1f} s')
    return broken


run_case(play, daemons=3, folder=sys.argv[1])
