"""The work that the jobs of one pool have left, and the capacity for it.

Work is measured in core seconds: the estimate of a task times its cores.
Permanent tasks have no end and count as lost capacity instead; scavenging tasks
use only what others leave.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from tarragonlb.scheduling.job import Demand, Job, Moment, Step
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.readystep import ReadyStep, list_ready_steps
from tarragonlb.scheduling.task import TaskPhase
from tarragonlb.scheduling.worker import WorkerState

MILLICORES_PER_CORE = 1000
# A running task is half done on average.
RUNNING_TASK_WEIGHT = 0.5
# The rate of work is averaged over the time of one or two short tasks.
RATE_WINDOW_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class JobBacklog:
    """What an open job has left, in core seconds.

    ``running`` is expected of tasks that occupy a worker, ``waiting`` of those of
    ready steps, and ``blocked`` of those behind unfinished steps, which new jobs
    may pass.  ``is_deferred`` and ``has_begun`` are as in the rank of its steps; a
    job that waits only for its own tasks counts as deferred, since it may be by
    the time it goes on.  ``latest_start`` is when it must start to meet its
    objective, in seconds.
    """

    priority: int
    tenant: str
    running: float
    waiting: float
    is_deferred: bool
    has_begun: bool
    latest_start: float = 0
    blocked: float = 0


@dataclass(frozen=True, slots=True)
class PoolBacklog:
    """The backlog of a pool and its capacity, in cores.

    ``capacity`` is that of usable workers without what permanent tasks occupy,
    ``expected_capacity`` that of listed workers that have not reported yet.
    ``free`` holds the largest free amount of each resource on any worker.
    ``work_rate`` is the work that ended in a second, lately.
    """

    jobs: tuple[JobBacklog, ...] = ()
    capacity: float = 0
    expected_capacity: float = 0
    work_rate: float = 0
    free: Demand = field(default_factory=Demand)
    is_full: bool = False


class WorkMeter:
    """Measures how much work of a pool ends in a second."""

    __slots__ = ('_ended', '_left', '_started_at')

    def __init__(self, now: float) -> None:
        """Start to measure at ``now`` seconds."""
        self._started_at = now
        self._left: Mapping[str, float] = {}
        self._ended: deque[tuple[float, float]] = deque()

    def update(
        self, left: Mapping[str, float], completed: Iterable[str], now: float
    ) -> float:
        """Return the rate, given the work left of open jobs and those done."""
        done = sum(self._left.get(job_id, 0) for job_id in completed)
        done += sum(
            max(self._left.get(job_id, 0) - work, 0)
            for job_id, work in left.items()
        )
        self._left = left
        self._ended.append((now, done))
        while self._ended[0][0] <= now - RATE_WINDOW_SECONDS:
            self._ended.popleft()
        span = min(now - self._started_at, RATE_WINDOW_SECONDS)
        return sum(work for _, work in self._ended) / span if span else 0


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
        completed = [
            job_id
            for job_id in self._open - states.keys()
            if _is_completed(partition, job_id)
        ]
        self._open = set(states)
        left = {job_id: _sum_left(state) for job_id, state in states.items()}
        workers = [
            worker
            for worker in partition.workers.values()
            if worker.entry.pool == self._pool
        ]
        usable = [worker for worker in workers if worker.is_usable()]
        free = _find_largest_free(usable)
        jobs, steps = _list_backlogs(partition, states.values(), now)
        return PoolBacklog(
            jobs=jobs,
            capacity=sum(map(_count_cores, usable)),
            expected_capacity=sum(
                map(_count_cores, filter(_is_expected, workers))
            ),
            work_rate=self._work_meter.update(left, completed, now.seconds),
            free=free,
            is_full=bool(steps)
            and not any(fits(ready.step, free) for ready in steps),
        )


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


def sum_work(job: Job) -> float:
    """Return the work of a whole job, in core seconds."""
    return sum(step.width * _measure_task(step) for step in job.spec.steps)


def _list_backlogs(
    partition: PartitionState, states: Iterable[JobState], now: Moment
) -> tuple[tuple[JobBacklog, ...], list[ReadyStep]]:
    """Return the backlogs of jobs, and their steps that wait for workers."""
    jobs: list[JobBacklog] = []
    steps: list[ReadyStep] = []
    for state in states:
        queue = partition.queues.get(state.job.queue)
        if queue is None:
            continue
        ready = list_ready_steps(state, queue, now)
        jobs.append(_measure_job(state, queue, ready))
        steps += ready
    return tuple(jobs), steps


def _measure_job(
    state: JobState, queue: Queue, ready: list[ReadyStep]
) -> JobBacklog:
    running, waiting, blocked = 0.0, 0.0, 0.0
    numbers = {(step.occurrence, step.number) for step in ready}
    has_begun = False
    for occurrence, number, step_state in state.list_steps():
        is_ready = (occurrence, number) in numbers
        work = _measure_task(state.job.spec.steps[number])
        for task in step_state.tasks:
            has_begun = has_begun or task.attempt > 0
            if task.phase is TaskPhase.WAITING:
                waiting += work * is_ready
                blocked += work * (not is_ready)
            elif task.phase is not TaskPhase.DONE:
                running += work * RUNNING_TASK_WEIGHT
    return JobBacklog(
        priority=queue.priority,
        tenant=state.job.tenant,
        running=running,
        waiting=waiting,
        is_deferred=all(step.rank[2] for step in ready),
        has_begun=has_begun,
        blocked=blocked,
        latest_start=min((step.rank[-1] for step in ready), default=0),
    )


def _measure_task(step: Step) -> float:
    if step.is_permanent or step.scavenges:
        return 0
    cores = step.demand.cpu_millicores / MILLICORES_PER_CORE
    return step.estimate_seconds * cores


def _sum_left(state: JobState) -> float:
    return sum(
        _measure_task(state.job.spec.steps[number])
        * (len(step_state.tasks) - step_state.done)
        for _, number, step_state in state.list_steps()
    )


def _is_completed(partition: PartitionState, job_id: str) -> bool:
    state = partition.jobs.get(job_id)
    return state is not None and state.outcome is JobOutcome.COMPLETED


def _is_expected(worker: WorkerState) -> bool:
    is_leaving = worker.entry.is_draining or worker.is_drain_requested
    return worker.is_listed and worker.last_report_at is None and not is_leaving


def _count_cores(worker: WorkerState) -> float:
    permanent = sum(
        attachment.demand.cpu_millicores
        for attachment in worker.attached.values()
        if attachment.is_permanent
    )
    cpu = worker.entry.capacity.cpu_millicores - permanent
    return cpu / MILLICORES_PER_CORE


def _find_largest_free(workers: list[WorkerState]) -> Demand:
    return Demand(
        max((worker.free_cpu for worker in workers), default=0),
        max((worker.free_memory for worker in workers), default=0),
        max((worker.free_gpus for worker in workers), default=0),
    )
