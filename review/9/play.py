"""A job that can't be done, whose route is removed and whose owner is killed."""

import signal
import sys

import trio
from runner import Runner
from stage import run_case

BAD_PREFIX = '/clips/'
GOOD_PREFIX = '/chant/'
BAD = '00000000000000a1'
SOUND = [f'{number:016x}' for number in range(1, 25)]
RUNNERS = 6
MAX_ATTEMPTS = 2
WORK_SECONDS = 1.0
# From the removal of the route to the kill.
KILL_AFTER_SECONDS = 0.5
WATCH_SECONDS = 30.0


def find_owner(stage):
    """Return the daemon that owns the pool's partition, by its own log."""
    for daemon in stage.daemons:
        text = (stage.folder / f'{daemon.name}.log').read_text()
        if 'owner: Term started.' in text:
            return daemon
    raise RuntimeError('no owner found')


async def play(stage, is_disrupted):
    for number in range(RUNNERS):
        stage.add_runner(f'runner-{number}', 'pool-a', f'r{number // 4}')
    queues = {
        'clips': (BAD_PREFIX, 'pool-a'),
        'chant': (GOOD_PREFIX, 'pool-a'),
    }
    stage.write_config(queues, MAX_ATTEMPTS)
    await stage.start()
    await trio.sleep(3)
    owner = find_owner(stage)
    others = [daemon for daemon in stage.daemons if daemon is not owner]
    Runner.failing.add(BAD)
    step = {'count': 1, 'cpu': 880, 'memMb': 256}
    for job in SOUND:
        await stage.submit(others[0], BAD_PREFIX, job, [step], [0.3])
    for _ in range(5):
        status = await stage.submit(
            others[0], BAD_PREFIX, BAD, [step], [WORK_SECONDS]
        )
        if status == 200:
            break
        await trio.sleep(0.3)
    assert status == 200, 'the job was not accepted'
    if is_disrupted:
        queues.pop('clips')
        stage.write_config(queues, MAX_ATTEMPTS)
        await trio.sleep(KILL_AFTER_SECONDS)
        owner.send(signal.SIGKILL)
        owner.process.wait()
        await trio.sleep(0.5)
        owner.start()
    await trio.sleep(WATCH_SECONDS)
    runs = stage.list_runs(BAD)
    for run in runs:
        stage.note(f'{run.task} run {run.number} on {run.lifetime.id}: {run.how}')
    broken = []
    for run in runs:
        failed = [
            other
            for other in runs
            if other.how == 'failed'
            and other.noted_at is not None
            and other.ended_at < run.begun_at
        ]
        if len(failed) >= MAX_ATTEMPTS:
            broken.append(
                f'BUDGET: {run.task} run {run.number} began after'
                f' {len(failed)} runs had ended failed, all taken note of;'
                f' maxAttempts is {MAX_ATTEMPTS}'
            )
    return broken


run_case(play, daemons=3, folder=sys.argv[1])
