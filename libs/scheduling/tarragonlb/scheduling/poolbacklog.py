"""The backlog of one pool, and its capacity for it, in cores.

Permanent tasks have no end and count as lost capacity; scavenging tasks use
only what others leave.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from tarragonlb.scheduling.job import Demand, Moment, Step
from tarragonlb.scheduling.jobbacklog import (
    MILLICORES_PER_CORE,
    JobBacklog,
    measure_job,
    sum_left,
)
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.readystep import ReadyStep, list_ready_steps
from tarragonlb.scheduling.worker import WorkerState
from tarragonlb.scheduling.workmeter import WorkMeter


@dataclass(frozen=True, slots=True)
class PoolBacklog:
    """The backlog of a pool and its capacity, in cores.

    ``capacity`` is that of usable workers without what permanent tasks occupy,
    ``expected_capacity`` that of others that are listed and stay: they have not
    reported yet, or can't be used for the moment.
    ``free`` holds the largest free amount of each resource on any worker, and
    at least the mean CPU of tasks that wait: smaller ones run in gaps that
    others leave.
    """

    jobs: tuple[JobBacklog, ...] = ()
    capacity: float = 0
    expected_capacity: float = 0
    work_rate: float = 0
    free: Demand = field(default_factory=Demand)
    is_full: bool = False


class BacklogMeter:
    """Measures the backlog of one pool, a few times a second."""

    __slots__ = ('_open', '_pool', '_work_meter')

    def __init__(self, pool: str, now: float) -> None:
        """Start to measure a pool at ``now`` seconds."""
        self._pool = pool
        self._work_meter = WorkMeter(now)
        self._open: set[str] = set()

    def measure(self, partition: PartitionState, now: Moment) -> PoolBacklog:
        """Return the backlog of the pool."""
        states = {
            job_id: state
            for job_id, state in partition.open_jobs.items()
            if state.job.pool == self._pool
        }
        rate = self._work_meter.update(
            {job_id: sum_left(state) for job_id, state in states.items()},
            self._pop_completed(partition, set(states)),
            now.seconds,
        )
        usable, expected = self._list_workers(partition)
        free = _find_largest_free(usable)
        jobs, steps = _list_backlogs(partition, states.values(), now)
        return PoolBacklog(
            jobs=jobs,
            capacity=sum(map(_count_cores, usable)),
            expected_capacity=sum(map(_count_cores, expected)),
            work_rate=rate,
            free=_widen_free(free, steps),
            is_full=bool(steps)
            and not any(fits(ready.step, free) for ready in steps),
        )

    def _pop_completed(
        self, partition: PartitionState, open_ids: set[str]
    ) -> list[str]:
        ended = self._open - open_ids
        self._open = open_ids
        return [job_id for job_id in ended if _is_completed(partition, job_id)]

    def _list_workers(
        self, partition: PartitionState
    ) -> tuple[list[WorkerState], list[WorkerState]]:
        workers = [
            worker
            for worker in partition.workers.values()
            if worker.entry.pool == self._pool
        ]
        usable = [worker for worker in workers if worker.is_usable()]
        return usable, list(filter(_is_expected, workers))


def fits(step: Step, free: Demand) -> bool:
    """Return whether a task may fit where no more than ``free`` is free.

    >>> fits(Step(width=1, demand=Demand(500, 10)), Demand(400, 64))
    False
    """
    demand = step.demand
    return (
        (step.scavenges or demand.cpu_millicores <= free.cpu_millicores)
        and demand.memory_mb <= free.memory_mb
        and demand.gpus <= free.gpus
    )


def _list_backlogs(
    partition: PartitionState, states: Iterable[JobState], now: Moment
) -> tuple[tuple[JobBacklog, ...], list[ReadyStep]]:
    """Return the backlogs of jobs, and their steps that wait for workers."""
    jobs: list[JobBacklog] = []
    steps: list[ReadyStep] = []
    for state in states:
        queue = partition.queue_history.find(
            partition.queues, state, now.seconds
        )
        if queue is None:
            continue
        ready = list_ready_steps(state, queue, now)
        jobs.append(measure_job(state, queue, ready))
        steps += ready
    return tuple(jobs), steps


def _is_completed(partition: PartitionState, job_id: str) -> bool:
    state = partition.jobs.get(job_id)
    return state is not None and state.outcome is JobOutcome.COMPLETED


def _is_expected(worker: WorkerState) -> bool:
    is_leaving = worker.entry.is_draining or worker.is_drain_requested
    return worker.is_listed and not (is_leaving or worker.is_usable())


def _count_cores(worker: WorkerState) -> float:
    permanent = sum(
        attachment.demand.cpu_millicores
        for attachment in worker.attached.values()
        if attachment.is_permanent
    )
    cpu = worker.entry.capacity.cpu_millicores - permanent
    return cpu / MILLICORES_PER_CORE


def _widen_free(free: Demand, steps: list[ReadyStep]) -> Demand:
    if not steps:
        return free
    mean = sum(ready.step.demand.cpu_millicores for ready in steps) / len(steps)
    return replace(free, cpu_millicores=max(free.cpu_millicores, round(mean)))


def _find_largest_free(workers: list[WorkerState]) -> Demand:
    return Demand(
        max((worker.free_cpu for worker in workers), default=0),
        max((worker.free_memory for worker in workers), default=0),
        max((worker.free_gpus for worker in workers), default=0),
    )
