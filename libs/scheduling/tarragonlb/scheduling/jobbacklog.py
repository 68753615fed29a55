"""The work that a job has left, in core seconds.

The work of a task is its estimate times its cores.  Permanent tasks, which have
no end, and scavenging tasks, which use what others leave, count as no work.
"""

from dataclasses import dataclass

from tarragonlb.scheduling.job import Job, Step
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.readystep import ReadyStep

MILLICORES_PER_CORE = 1000
# A running task is half done on average.
RUNNING_TASK_WEIGHT = 0.5


@dataclass(frozen=True, slots=True)
class JobBacklog:
    """What an open job has left, in core seconds.

    ``running`` is expected of tasks that occupy a worker, ``waiting`` of those
    of ready steps, and ``blocked`` of those behind unfinished steps, which new
    jobs may pass.  ``is_deferred`` and ``has_begun`` are as in the rank of its
    steps; a job that waits only for its own tasks counts as deferred, since it
    may be by the time it goes on.  ``latest_start`` is when it must start to
    meet its objective, in seconds.
    """

    priority: int
    tenant: str
    running: float
    waiting: float
    is_deferred: bool
    has_begun: bool
    latest_start: float = 0
    blocked: float = 0


def measure_job(
    state: JobState, queue: Queue, ready: list[ReadyStep]
) -> JobBacklog:
    """Return the backlog of a job with these ready steps."""
    left = sum_left(state)
    running = sum(
        measure_task(state.job.spec.steps[key.step])
        for key, task in state.list_tasks()
        if task.is_attached
    )
    waiting = sum(
        measure_task(step.step) * step.step_state.count_waiting()
        for step in ready
    )
    return JobBacklog(
        priority=queue.priority,
        tenant=state.job.tenant,
        running=running * RUNNING_TASK_WEIGHT,
        waiting=waiting,
        is_deferred=all(step.rank[2] for step in ready),
        has_begun=any(task.attempt for _, task in state.list_tasks()),
        latest_start=min((step.rank[-1] for step in ready), default=0),
        blocked=max(left - running - waiting, 0),
    )


def sum_work(job: Job) -> float:
    """Return the work of a whole job, in core seconds."""
    return sum(step.width * measure_task(step) for step in job.spec.steps)


def measure_task(step: Step) -> float:
    """Return the core seconds that one task of a step takes."""
    if step.is_permanent or step.scavenges:
        return 0
    cores = step.demand.cpu_millicores / MILLICORES_PER_CORE
    return step.estimate_seconds * cores


def sum_left(state: JobState) -> float:
    """Return the core seconds of all tasks that have not ended."""
    return sum(
        measure_task(state.job.spec.steps[number])
        * (len(step_state.tasks) - step_state.done)
        for _, number, step_state in state.list_steps()
    )
