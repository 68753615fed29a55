"""Another writer's entry, which can't be read, lies among the runners' ones."""

import sys
from pathlib import Path

import trio
from faultsoak.plans import QueuePlan, StepPlan
from stage import STATUS_OK, Stage, play

from tarragonlb.adapter.store import TOPICS
from tarragonlb.controller.ports import Topic

QUEUE = QueuePlan('q', '/q/', 'pool-0')
# Deeper than any reader of this project goes; the text breaks off.
DEPTH = 2000
ENTRY = b'{"service":"pool-0","state":"ready","notes":' + b'[' * DEPTH
FINISH_SECONDS = 14.0
# "on a tenth of the machines in use (two at least) processes end by themselves
# three times in the day"
MAX_DAEMONS, MAX_OWN_ENDS = 2, 3
ATTEMPTS = 4


async def script(stage: Stage, has_trouble: bool) -> None:
    """Ask for a job after the foreign entry was written."""
    await stage.add_vms('pool-0', 2)
    stage.write_configuration([QUEUE])
    await stage.start(3)
    job = stage.plan_job(
        QUEUE, StepPlan(count=2, cpu=1000, mem_mb=100, duration_ms=6000)
    )
    await stage.submit(job)
    await trio.sleep(1)
    if has_trouble:
        stage.record.say(f'entry    servers/foreign of {len(ENTRY)} bytes')
        stage.store.put(TOPICS[Topic.WORKERS], 'foreign', ENTRY)
    await trio.sleep(6 + FINISH_SECONDS)
    path = QUEUE.prefix + job.plan.job_id
    answers = []
    for _ in range(ATTEMPTS):
        for daemon in stage.daemons:
            status, fields = await stage.get(daemon, path)
            answers.append((status, fields.get('state', '')))
        await trio.sleep(0.5)
    if not any(status == STATUS_OK for status, _ in answers):
        stage.record.violate(
            f'LOST: accepted job {job.plan.job_id}, asked for '
            f'{len(answers)} times: {sorted(set(answers))}'
        )
    failing = [
        daemon for daemon in stage.daemons if daemon.own_ends >= MAX_OWN_ENDS
    ]
    if len(failing) >= MAX_DAEMONS:
        ends = {daemon.name: daemon.own_ends for daemon in failing}
        stage.record.say(f'noted    processes ended by themselves: {ends}')


sys.exit(play(script, Path(__file__).parent))
