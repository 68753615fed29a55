"""Rejects jobs that can not be done in time, and says when to come back.

A job is hopeless if it would end later than three times its objective after its
submission, even if the work ahead of it takes only two thirds of the forecast.
Only figures that are current count; without one every job is admitted.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from tarragonlb.scheduling.job import Job
from tarragonlb.scheduling.jobbacklog import sum_work
from tarragonlb.scheduling.poolbacklog import fits
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.waitforecast import PoolWaits

# A job that ends later than this multiple of its objective is worth nothing.
LATE_FACTOR = 3.0
# The wait must exceed what the job can bear by one half.
MARGIN = 1.5
MAX_RETRY_SECONDS = 60
BACKLOG = 'backlog'
TENANT_BACKLOG = 'tenant-backlog'


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a job is rejected, its expected wait, and when to come back."""

    cause: str
    wait_seconds: float
    retry_after: int


def find_rejection(
    job: Job,
    queue: Queue,
    waits: PoolWaits | None,
    draw_share: Callable[[], float],
) -> Rejection | None:
    """Return why a job is rejected, or None if it is admitted.

    ``waits`` are those that count now, or None.  ``draw_share`` returns a
    random number from 0 to 1.
    """
    if waits is None:
        return None
    spec = job.spec
    wait = waits.queues.get(queue.name)
    if wait is None or spec.repetitions or not spec.steps:
        return None
    if any(step.is_permanent for step in spec.steps):
        return None
    if any(
        fits(step, waits.free) for step in spec.steps if not step.prerequisites
    ):
        return None
    cause = BACKLOG
    tenant_wait = waits.tenants.get((queue.name, job.tenant), 0)
    if tenant_wait > wait:
        cause, wait = TENANT_BACKLOG, tenant_wait
    if wait < MARGIN * _compute_longest_wait(job, queue):
        return None
    retry_after = choose_retry_after(job, waits, wait, draw_share())
    return Rejection(cause, wait, retry_after)


def choose_retry_after(
    job: Job, waits: PoolWaits, wait: float, share: float
) -> int:
    """Return after how many seconds a client may submit a job again.

    Clients return from when the backlog is expected to have gone, spread over
    as much time again; half of the spread is by chance, the other half by the
    size of the job.
    """
    clears_in = max(waits.clears_in, wait)
    work = sum_work(job)
    size = work / (work + waits.rate) if work else 0
    delay = clears_in * (1 + (share + size) / 2)
    return min(max(math.ceil(delay), 1), MAX_RETRY_SECONDS)


def _compute_longest_wait(job: Job, queue: Queue) -> float:
    """Return how long a job can wait and still be worth something."""
    chain = max(job.spec.compute_critical_paths())
    objective = queue.stretch * chain + queue.objective_seconds
    return LATE_FACTOR * objective - chain
