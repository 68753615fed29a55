"""Estimates how many workers the jobs of a pool could use now.

Made for this load: a pool demands several times its mean for some seconds,
then almost nothing, and other pools have their peaks in between.
"""

import math
from collections.abc import Iterable

from tarragonlb.scheduling.fleetrecords import PoolLoad
from tarragonlb.scheduling.job import Demand
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import TaskPhase
from tarragonlb.scheduling.worker import WorkerState

# Weight of tasks behind unfinished steps: they become ready soon, but not now.
BLOCKED_TASK_WEIGHT = 0.4
# Weight of ready tasks: more jobs arrive while these are worked off.
READY_TASK_WEIGHT = 1.25
# Part of the capacity that is used: tasks of different sizes fragment it.
USABLE_CAPACITY_SHARE = 0.9
# Added to what permanent tasks need, since one of them may have to move.
SPARE_WORKERS = 1
MIN_WORKERS = 2
# Clients may demand more than any pool has, and more than a record holds.
MAX_WORKERS = 1_000_000


class _DemandSum:
    """A sum of resource demands."""

    __slots__ = ('cpu', 'memory')

    def __init__(self) -> None:
        self.cpu = 0.0
        self.memory = 0.0

    def add(self, demand: Demand, times: float, *, scavenges: bool) -> None:
        self.memory += demand.memory_mb * times
        if not scavenges:
            self.cpu += demand.cpu_millicores * times


def measure_load(partition: PartitionState, pool: str) -> PoolLoad | None:
    """Return the load of a pool, or None if it has neither workers nor jobs.

    A pool that has lost all its workers still asks for some.
    """
    workers = [
        worker
        for worker in partition.workers.values()
        if worker.entry.pool == pool and worker.is_listed
    ]
    jobs = [
        state
        for state in partition.open_jobs.values()
        if state.job.pool == pool
    ]
    if not (workers or jobs):
        return None
    needed, wanted = _DemandSum(), _DemandSum()
    min_workers = MIN_WORKERS
    for state in jobs:
        _add_job_demand(state, needed, wanted)
        min_workers = max(
            min_workers, _count_spread_workers(state) + SPARE_WORKERS
        )
    needed_count = max(min_workers, _count_demanded_workers(needed, workers))
    wanted_count = max(needed_count, _count_demanded_workers(wanted, workers))
    with_permanent_tasks = tuple(
        worker.entry.worker_id for worker in workers if worker.count_permanent()
    )
    return PoolLoad(
        wanted_workers=wanted_count,
        needed_workers=needed_count,
        min_workers=min_workers,
        drain_candidates=_list_drain_candidates(
            workers, max(len(workers) - needed_count, 0)
        ),
        with_permanent_tasks=with_permanent_tasks,
    )


def _add_job_demand(
    state: JobState, needed: _DemandSum, wanted: _DemandSum
) -> None:
    for occurrence, number, step_state in state.list_steps():
        if step_state.is_done:
            continue
        step = state.job.spec.steps[number]
        is_ready = state.is_ready(occurrence, number)
        remaining = sum(
            1 for task in step_state.tasks if task.phase is not TaskPhase.DONE
        )
        weight = READY_TASK_WEIGHT if is_ready else BLOCKED_TASK_WEIGHT
        if step.is_permanent:
            weight = 1
        wanted.add(step.demand, remaining * weight, scavenges=step.scavenges)
        if is_ready:
            needed.add(step.demand, remaining, scavenges=step.scavenges)


def _count_spread_workers(state: JobState) -> int:
    return max(
        (
            math.ceil(step.width / step.max_per_worker)
            for step in state.job.spec.steps
            if step.is_permanent and step.max_per_worker
        ),
        default=0,
    )


def _count_demanded_workers(
    total: _DemandSum, workers: list[WorkerState]
) -> int:
    count = len(workers)
    cpu = sum(worker.entry.capacity.cpu_millicores for worker in workers)
    memory = sum(worker.entry.capacity.memory_mb for worker in workers)
    shares = [
        wanted * count / (available * USABLE_CAPACITY_SHARE)
        for wanted, available in ((total.cpu, cpu), (total.memory, memory))
        if available
    ]
    return math.ceil(min(max(shares, default=0), MAX_WORKERS))


def _list_drain_candidates(
    workers: Iterable[WorkerState], count: int
) -> tuple[str, ...]:
    usable = [
        worker
        for worker in workers
        if worker.is_usable() and not worker.count_permanent()
    ]
    usable.sort(key=_get_used_cpu)
    return tuple(worker.entry.worker_id for worker in usable[:count])


def _get_used_cpu(worker: WorkerState) -> int:
    return worker.entry.capacity.cpu_millicores - worker.free_cpu
