"""A queue moves to another service while requesters repeat their requests."""

import random
import sys
from pathlib import Path

import trio
from faultsoak.ledger import JobFacts
from faultsoak.plans import QueuePlan, StepPlan
from stage import Stage, play

SERVICES = ('pool-0', 'pool-1')
DAEMONS = 6
ROUNDS = 16
RUN_MS = 4000
# From the 2xx for a request to the arrival of the same request again.
REPEAT_SECONDS = 1.0
# Drawn anew for each round: daemons read other partitions at an interval.
MIN_ROUND_SECONDS, MAX_ROUND_SECONDS = 4.5, 6.0


async def script(stage: Stage, has_trouble: bool) -> None:
    """Send a job's request again at other daemons, after a config change."""
    for service in SERVICES:
        await stage.add_vms(service, 3)
    stage.promises.checked.add('TWICE')
    stage.write_configuration(_list_queues(0))
    await stage.start(DAEMONS)
    await _warm_up(stage)
    first, *others = stage.daemons
    for number in range(ROUNDS):
        queue = _list_queues(number if has_trouble else 0)[0]
        step = StepPlan(count=1, cpu=1000, mem_mb=100, duration_ms=RUN_MS)
        jobs = [stage.plan_job(queue, step) for _ in others]
        for job in jobs:
            await stage.post(job, first)
        sent = trio.current_time()
        if has_trouble:
            stage.write_configuration(_list_queues(number + 1))
        await trio.sleep_until(sent + REPEAT_SECONDS)
        for job, daemon in zip(jobs, others, strict=True):
            await stage.post(job, daemon)
        pause = random.uniform(MIN_ROUND_SECONDS, MAX_ROUND_SECONDS)
        await trio.sleep_until(sent + pause)
    await trio.sleep(RUN_MS / 1000)


def _list_queues(number: int) -> list[QueuePlan]:
    """Return the routes of a config: the queue's service alternates."""
    service = SERVICES[number % len(SERVICES)]
    other = SERVICES[(number + 1) % len(SERVICES)]
    return [
        QueuePlan(f'r-{service}', '/q/', service),
        QueuePlan('r-other', '/other/', other),
    ]


async def _warm_up(stage: Stage) -> None:
    """Run a job on each service, so that both have owners."""
    step = StepPlan(count=1, cpu=1000, mem_mb=100, duration_ms=200)
    for queue in _list_queues(0):
        job: JobFacts = stage.plan_job(queue, step)
        await stage.submit(job)
        await stage.wait_until_done(job, 10)


sys.exit(play(script, Path(__file__).parent))
