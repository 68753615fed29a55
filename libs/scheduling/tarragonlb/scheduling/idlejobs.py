"""Finds open jobs that have had nothing running for a while, and why.

A job without a running task may wait behind others at a peak, for a worker that
is asked to drain, or for a task of an earlier step that is attached to a worker
which no longer answers.  A summary names the first step that is not done, the
phases of its tasks and, for its first waiting task, the workers of the pool by
what keeps each of them from taking it.

>>> jobs = IdleJobs()
>>> jobs.update(partition, now=10.0)        # doctest: +SKIP
()
>>> jobs.update(partition, now=13.0)        # doctest: +SKIP
(IdleJob(job_id='9f', idle_seconds=3.0, phases={'waiting': 4}, ...),)
"""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from tarragonlb.scheduling.health import count_obstacles
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import JobState, StepState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import TaskPhase

# Jobs wait this long for a moment of load; longer needs a reason.
MIN_IDLE_SECONDS = 2.0
# Jobs that one summary describes, those that have been idle longest.
MAX_DESCRIBED_JOBS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class IdleJob:
    """A job without a running task, and its first step that is not done.

    ``phases`` counts the tasks of that step.  ``obstacles`` counts the workers
    of the pool by why they can't take its first waiting task; 'none' are
    workers that could take it.
    """

    job_id: str
    idle_seconds: float
    occurrence: int
    step: int
    phases: dict[str, int]
    obstacles: dict[str, int]


class IdleJobs:
    """Remembers since when each open job of a partition has been idle."""

    __slots__ = ('_idle_since',)

    def __init__(self) -> None:
        """Start without idle jobs."""
        self._idle_since: dict[str, float] = {}

    @property
    def count(self) -> int:
        """Return how many jobs were idle at the last update."""
        return len(self._idle_since)

    def find_longest(self, now: float) -> float:
        """Return for how many seconds a job has been idle, 0 without any."""
        return now - min(self._idle_since.values(), default=now)

    def update(
        self, partition: PartitionState, now: float
    ) -> tuple[IdleJob, ...]:
        """Look at all open jobs; describe those that have been idle longest.

        A job counts from the first update that finds it idle.
        """
        self._idle_since = {
            job_id: self._idle_since.get(job_id, now)
            for job_id, state in partition.open_jobs.items()
            if _is_idle(state)
        }
        long_idle = [
            job_id
            for job_id, since in self._idle_since.items()
            if now - since >= MIN_IDLE_SECONDS
        ]
        long_idle.sort(key=self._idle_since.__getitem__)
        return tuple(
            _describe(partition, job_id, now - self._idle_since[job_id])
            for job_id in long_idle[:MAX_DESCRIBED_JOBS]
        )


def _is_idle(state: JobState) -> bool:
    steps = tuple(_list_unfinished(state))
    return bool(steps) and not any(
        task.phase is TaskPhase.RUNNING
        for _, _, step_state in steps
        for task in step_state.tasks
    )


def _list_unfinished(state: JobState) -> Iterator[tuple[int, int, StepState]]:
    for occurrence, number, step_state in state.list_steps():
        if not step_state.is_done:
            yield occurrence, number, step_state


def _describe(
    partition: PartitionState, job_id: str, idle_seconds: float
) -> IdleJob:
    occurrence, number, step_state = next(
        _list_unfinished(partition.open_jobs[job_id])
    )
    obstacles: dict[str, int] = {}
    for index, task in enumerate(step_state.tasks):
        if task.phase is TaskPhase.WAITING:
            key = TaskKey(job_id, occurrence, number, index)
            obstacles = count_obstacles(partition, key)
            break
    return IdleJob(
        job_id=job_id,
        idle_seconds=round(idle_seconds, 1),
        occurrence=occurrence,
        step=number,
        phases=dict(
            Counter(task.phase.name.lower() for task in step_state.tasks)
        ),
        obstacles=obstacles,
    )
