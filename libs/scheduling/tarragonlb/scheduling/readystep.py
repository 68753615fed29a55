"""Steps that may run now, and how urgent they are.

The rank puts steps in the order of their queue's priority.  Within a priority,
permanent tasks come first, then jobs that have begun, then the steps that must
start soonest for their job to meet its objective.  A job that has begun has
used capacity, which is lost if new jobs make it late.  Jobs that will miss
their objective are deferred behind those that can still meet it, for a limited
time: at peak load more is asked of each pool than it has, and in order of
arrival every job would be late.
"""

from tarragonlb.scheduling.job import Moment, Step
from tarragonlb.scheduling.jobstate import JobState, StepState
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.task import TaskPhase

# Delay from placing a task to its start, plus from its end to the report.
PLACEMENT_OVERHEAD_SECONDS = 0.2
# Longest time for which a late job is deferred; peaks are shorter.
MAX_DEFERRAL_SECONDS = 20.0


class ReadyStep:
    """An unfinished step whose prerequisites are done."""

    __slots__ = (
        'has_begun',
        'job_state',
        'number',
        'occurrence',
        'rank',
        'step',
        'step_state',
    )

    def __init__(
        self,
        job_state: JobState,
        occurrence: int,
        number: int,
        queue: Queue,
        now: Moment,
    ) -> None:
        """Compute the rank of the step among all ready steps."""
        self.job_state = job_state
        self.occurrence = occurrence
        self.number = number
        self.step_state: StepState = job_state.occurrences[occurrence][number]
        self.step: Step = job_state.job.spec.steps[number]
        due_at = job_state.find_due_time(occurrence, now)
        # The step must start by then for its job to meet its objective.
        objective = (
            queue.stretch * max(job_state.critical_paths)
            + queue.objective_seconds
        )
        latest_start = (
            due_at
            + objective
            - job_state.critical_paths[number]
            - PLACEMENT_OVERHEAD_SECONDS
        )
        is_deferred = latest_start < now.seconds < due_at + MAX_DEFERRAL_SECONDS
        self.has_begun = bool(self.step.prerequisites) or any(
            task.attempt for task in self.step_state.tasks
        )
        self.rank = (
            queue.priority,
            not self.step.is_permanent,
            is_deferred,
            not (is_deferred or self.has_begun),
            due_at if is_deferred else latest_start,
        )

    @property
    def is_deferred(self) -> bool:
        """Return whether the step waits behind jobs that are not late."""
        return self.rank[2]

    @property
    def key(self) -> tuple[str, int, int]:
        """Return the job id, the occurrence and the step number."""
        return (self.job_state.job.job_id, self.occurrence, self.number)

    def list_waiting(self, now: float) -> list[int]:
        """Return the indexes of the tasks that may be placed now."""
        return [
            index
            for index, task in enumerate(self.step_state.tasks)
            if task.phase is TaskPhase.WAITING and task.not_before <= now
        ]


def list_ready_steps(
    job_state: JobState, queue: Queue, now: Moment
) -> list[ReadyStep]:
    """Return the steps of a job that may run and have waiting tasks."""
    return [
        ReadyStep(job_state, occurrence, number, queue, now)
        for occurrence, number, state in job_state.list_steps()
        if not state.is_done
        and state.count_waiting()
        and job_state.is_ready(occurrence, number)
    ]
