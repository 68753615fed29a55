"""Summarises how well a partition is served, for logs and metrics.

An owner that is overloaded, one that has just taken over and one with a stuck
task look alike to clients.  They differ in the age of the workers' reports, in
how many workers can't be used and for which reason, and in the phase of the
permanent tasks that should be at work.
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import StepState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.placement import is_eligible
from tarragonlb.scheduling.task import TaskPhase, TaskState
from tarragonlb.scheduling.worker import WorkerState

# Tasks that are listed by name in one summary.
MAX_LISTED_TASKS = 5


@dataclass(frozen=True, slots=True)
class IdlePermanentTask:
    """A permanent task that is not at work.

    ``obstacles`` counts, for a waiting task, the workers of its pool by why
    they can't take it.
    """

    key: TaskKey
    phase: TaskPhase
    worker_id: str
    obstacles: dict[str, int]


@dataclass(frozen=True, slots=True, kw_only=True)
class PartitionHealth:
    """Counts of workers and tasks, and the age of the oldest report.

    ``oldest_report_seconds`` is over the workers that count as reachable;
    ``unheard`` are workers that have not answered this owner yet.
    """

    workers: int
    unheard: int
    silent: int
    with_orphans: int
    oldest_report_seconds: float
    tasks: dict[str, int]
    idle_permanent: tuple[IdlePermanentTask, ...]
    idle_permanent_count: int


def assess_health(partition: PartitionState, now: float) -> PartitionHealth:
    """Return the health of a partition at ``now`` monotonic seconds."""
    listed = [
        worker for worker in partition.workers.values() if worker.is_listed
    ]
    ages = [
        now - worker.last_report_at
        for worker in listed
        if worker.last_report_at is not None and not worker.is_silent
    ]
    phases = Counter(
        task.phase.name.lower()
        for state in partition.open_jobs.values()
        for _, task in state.list_tasks()
    )
    idle = tuple(_list_idle_permanent(partition))
    return PartitionHealth(
        workers=len(listed),
        unheard=sum(worker.last_report_at is None for worker in listed),
        silent=sum(worker.is_silent for worker in listed),
        with_orphans=sum(bool(worker.orphans) for worker in listed),
        oldest_report_seconds=max(ages, default=0.0),
        tasks=dict(phases),
        idle_permanent=tuple(
            _describe_idle(partition, key, task)
            for key, task in idle[:MAX_LISTED_TASKS]
        ),
        idle_permanent_count=len(idle),
    )


def count_obstacles(partition: PartitionState, key: TaskKey) -> dict[str, int]:
    """Count the workers of a waiting task's pool by why they can't take it.

    'none' are workers that could take it.
    """
    pool = partition.jobs[key.job_id].job.pool
    return dict(
        Counter(
            _find_obstacle(partition, key, worker)
            for worker in partition.workers.values()
            if worker.entry.pool == pool
        )
    )


def _list_idle_permanent(
    partition: PartitionState,
) -> Iterator[tuple[TaskKey, TaskState]]:
    for state in partition.open_jobs.values():
        for occurrence, number, step_state in state.list_steps():
            if state.job.spec.steps[number].is_permanent:
                yield from _list_idle(
                    (state.job.job_id, occurrence, number), step_state
                )


def _list_idle(
    step_key: tuple[str, int, int], step_state: StepState
) -> Iterator[tuple[TaskKey, TaskState]]:
    for index, task in enumerate(step_state.tasks):
        if task.phase is not TaskPhase.RUNNING:
            yield TaskKey(*step_key, index), task


def _describe_idle(
    partition: PartitionState, key: TaskKey, task: TaskState
) -> IdlePermanentTask:
    obstacles: dict[str, int] = {}
    if task.phase is TaskPhase.WAITING:
        obstacles = count_obstacles(partition, key)
    return IdlePermanentTask(key, task.phase, task.worker_id, obstacles)


def _find_obstacle(
    partition: PartitionState, key: TaskKey, worker: WorkerState
) -> str:
    step = partition.find_step(key)
    checks = (
        (not worker.is_listed, 'not listed'),
        (worker.last_report_at is None, 'unheard'),
        (worker.is_silent, 'silent'),
        (bool(worker.orphans), 'orphaned attempt'),
        (not worker.is_usable(), 'draining'),
        (not worker.can_fit(step), 'no room'),
        (
            not is_eligible(
                worker, step, (key.job_id, key.occurrence, key.step)
            ),
            'label or limit per worker',
        ),
        (bool(worker.failures), 'on probation'),
        (worker.has_refused, 'refused a start'),
    )
    return next((name for applies, name in checks if applies), 'none')
