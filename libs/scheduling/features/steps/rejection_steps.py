# Rejections in fleets of which most workers are away for a moment.

import dataclasses
import sys
from pathlib import Path

from behave import then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from tarragonlb.scheduling.hopelessjobs import (  # noqa: E402
    LATE_FACTOR,
    find_rejection,
)
from tarragonlb.scheduling.job import Moment  # noqa: E402
from tarragonlb.scheduling.poolbacklog import BacklogMeter  # noqa: E402
from tarragonlb.scheduling.tenant import NO_TENANTS  # noqa: E402
from tarragonlb.scheduling.waitforecast import WaitForecast  # noqa: E402

AWAY_FROM = 5.0
TASK_SECONDS = 1.0
OBJECTIVE_SECONDS = 2.0
JOBS_A_TICK = 1.2


def be_away(fleet, workers, away, is_away):
    if away == 'cut off':
        for worker in workers:
            worker.is_reachable = not is_away
    else:
        names = {worker.worker_id for worker in workers}
        fleet.drain_requests = names if is_away else set()


def submit_due(fleet, number):
    """Submit the next jobs and return their ids."""
    count = int(number * JOBS_A_TICK) - int((number - 1) * JOBS_A_TICK)
    # Only jobs that need more than the mean are ever rejected.
    return [
        fleet.submit_sound(
            1,
            TASK_SECONDS,
            cpu=1000 + 2000 * (number % 2),
            estimate_seconds=TASK_SECONDS,
        )
        for _ in range(count)
    ]


@when(
    'jobs arrive for {seconds:g} seconds, and {count:d} workers are {away} for '
    '{length:g} seconds'
)
def play(context, seconds, count, away, length):
    fleet = context.fleet
    state = fleet.owner.scheduler.state
    queue = dataclasses.replace(
        state.queues['q'], objective_seconds=OBJECTIVE_SECONDS
    )
    state.queues = {'q': queue}
    context.queue = queue
    forecast = WaitForecast()
    meter = BacklogMeter('p', fleet.now)
    context.rejected = {}
    begin = fleet.now
    for number in range(1, int(seconds * 10)):
        now = fleet.now - begin
        is_away = AWAY_FROM <= now < AWAY_FROM + length
        be_away(fleet, fleet.workers[:count], away, is_away)
        submitted = submit_due(fleet, number)
        fleet.step()
        backlog = meter.measure(state, Moment(fleet.now))
        waits = forecast.forecast(backlog, [queue], NO_TENANTS, fleet.now)
        for job_id in submitted:
            job = state.jobs[job_id].job
            if find_rejection(job, queue, waits, lambda: 0.5):
                context.rejected[job_id] = waits.queues['q']
    fleet.run(10)


@then('no job is rejected that was done in time')
def check_rejected(context):
    jobs = context.fleet.owner.scheduler.state.jobs
    objective = context.queue.stretch * TASK_SECONDS + OBJECTIVE_SECONDS
    in_time = {
        job_id: wait
        for job_id, wait in context.rejected.items()
        if jobs[job_id].finished_at
        < context.fleet.submitted_at[job_id] + LATE_FACTOR * objective
    }
    assert not in_time, (len(in_time), len(jobs), max(in_time.values()))
