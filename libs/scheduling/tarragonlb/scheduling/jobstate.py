"""The progress of one job: the states of its tasks, and its outcome."""

import enum
from collections.abc import Iterator

from tarragonlb.scheduling.job import MS_PER_SECOND, Job, Moment, TaskKey
from tarragonlb.scheduling.task import TaskPhase, TaskState

# Occurrences that are due and not done, for which a job has tasks at a time.
MAX_OPEN_OCCURRENCES = 100


class JobOutcome(enum.IntEnum):
    """The outcome of a job, OPEN until it has ended."""

    OPEN = 0
    COMPLETED = 1
    FAILED = 2
    CANCELLED = 3


class StepState:
    """The states of the tasks of one step, in one occurrence."""

    __slots__ = ('done', 'tasks')

    def __init__(self, step_width: int) -> None:
        """Start with tasks that have not run."""
        self.tasks = [TaskState() for _ in range(step_width)]
        self.done = 0

    @property
    def is_done(self) -> bool:
        """Return whether every task is done."""
        return self.done >= len(self.tasks)

    def count_waiting(self) -> int:
        """Return how many tasks wait for a worker."""
        return [task.phase for task in self.tasks].count(TaskPhase.WAITING)


class JobState:
    """A job and its progress.

    ``occurrences`` holds the list of steps of each occurrence that has come
    due.  ``began`` means that a worker has started a task, as far as this owner
    knows.  ``submitted_at`` is when the client submitted the job, in seconds on
    this owner's clock, accurate as far as the daemons' wall clocks agree.
    ``critical_paths`` are the seconds from each step's start to the end of the
    job.  ``max_attempts`` is how often a task may fail, by the last
    configuration that an owner of the job knew; 0 if none is known.
    """

    __slots__ = (
        '_first_open',
        'began',
        'cancelled',
        'critical_paths',
        'finished_at',
        'job',
        'max_attempts',
        'occurrences',
        'outcome',
        'submitted_at',
    )

    def __init__(self, job: Job, now: Moment) -> None:
        """Start with no occurrence due."""
        self.job = job
        age_ms = now.wall_ms - job.handed_in_ms if job.handed_in_ms else 0
        self.submitted_at = now.seconds - max(age_ms, 0) / MS_PER_SECOND
        self.critical_paths = job.spec.compute_critical_paths()
        self.max_attempts = job.spec.max_attempts
        self.outcome = JobOutcome.OPEN
        self.cancelled = False
        self.began = False
        self.finished_at = 0.0
        self.occurrences: list[list[StepState]] = []
        self._first_open = 0

    @property
    def is_open(self) -> bool:
        """Return whether tasks of the job may still be started."""
        return self.outcome is JobOutcome.OPEN and not self.cancelled

    @property
    def has_occurrences_to_come(self) -> bool:
        """Return whether occurrences are not due yet."""
        return len(self.occurrences) < self.job.spec.occurrence_count

    def add_due_occurrences(self, wall_ms: float) -> None:
        """Add the occurrences that have come due, as far as may be open."""
        spec = self.job.spec
        count = len(self.occurrences)
        if count >= spec.occurrence_count or not spec.is_due(count, wall_ms):
            return
        may_be_added = MAX_OPEN_OCCURRENCES - self._count_open_occurrences()
        for number in range(count, count + may_be_added):
            if number >= spec.occurrence_count:
                break
            if not spec.is_due(number, wall_ms):
                break
            self.add_occurrence()

    def add_occurrence(self) -> None:
        """Add the next occurrence."""
        steps = [StepState(step.width) for step in self.job.spec.steps]
        self.occurrences.append(steps)

    def find_due_time(self, occurrence: int, now: Moment) -> float:
        """Return when an occurrence became due, in seconds."""
        spec = self.job.spec
        if not spec.repetitions:
            return self.submitted_at
        due_ms = spec.first_due_ms + occurrence * spec.interval_ms
        return now.seconds - (now.wall_ms - due_ms) / MS_PER_SECOND

    def find(self, key: TaskKey) -> TaskState | None:
        """Return the state of a task, or None if there is no such task."""
        if key.occurrence >= len(self.occurrences):
            return None
        steps = self.occurrences[key.occurrence]
        if key.step >= len(steps):
            return None
        tasks = steps[key.step].tasks
        return tasks[key.position] if key.position < len(tasks) else None

    def get_step(self, key: TaskKey) -> StepState:
        """Return the state of the step that a task belongs to."""
        return self.occurrences[key.occurrence][key.step]

    def is_ready(self, occurrence: int, step: int) -> bool:
        """Return whether the prerequisites of a step are done."""
        states = self.occurrences[occurrence]
        prerequisites = self.job.spec.steps[step].prerequisites
        return all(states[number].is_done for number in prerequisites)

    def list_steps(self) -> Iterator[tuple[int, int, StepState]]:
        """Yield the occurrence, the number and the state of every step."""
        for occurrence, steps in enumerate(self.occurrences):
            for number, state in enumerate(steps):
                yield occurrence, number, state

    def list_tasks(self) -> Iterator[tuple[TaskKey, TaskState]]:
        """Yield every task of the occurrences that have come due."""
        for occurrence, step, state in self.list_steps():
            for index, task in enumerate(state.tasks):
                yield TaskKey(self.job.job_id, occurrence, step, index), task

    def finish_task(self, key: TaskKey, now: float) -> None:
        """Mark a task, or the whole gang that it belongs to, as done."""
        state = self.get_step(key)
        is_gang = self.job.spec.steps[key.step].is_gang
        tasks = state.tasks if is_gang else [state.tasks[key.position]]
        for task in tasks:
            if task.phase is not TaskPhase.DONE:
                task.finish()
                state.done += 1
        if self._is_done():
            self.close(JobOutcome.COMPLETED, now)

    def close(self, outcome: JobOutcome, now: float) -> None:
        """Set the outcome of the job, unless it has one already."""
        if self.outcome is JobOutcome.OPEN:
            self.outcome = outcome
            self.finished_at = now

    def _count_open_occurrences(self) -> int:
        occurrences = self.occurrences
        while self._first_open < len(occurrences) and _are_done(
            occurrences[self._first_open]
        ):
            self._first_open += 1
        return sum(
            not _are_done(steps) for steps in occurrences[self._first_open :]
        )

    def _is_done(self) -> bool:
        if len(self.occurrences) < self.job.spec.occurrence_count:
            return False
        return all(state.is_done for _, _, state in self.list_steps())


def _are_done(steps: list[StepState]) -> bool:
    return all(state.is_done for state in steps)
