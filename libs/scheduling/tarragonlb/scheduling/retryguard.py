"""Keeps tasks that may fail for good from workers where tasks have failed.

A task that has failed, or may not fail even once, waits for a limited time for
a worker without failures, if its pool has one that can take it once others end.
"""

from collections.abc import Callable, Collection

from tarragonlb.scheduling.placement import will_be_candidate
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.task import TaskPhase, TaskState
from tarragonlb.scheduling.worker import WorkerState

# A job must not have nothing running for 3 s while there is room.
MAX_WAIT_SECONDS = 2.0
# Tasks of jobs that are closed meanwhile wait for ever.
MAX_NOTE_SECONDS = 60.0


class RetryGuard:
    """Decides which tasks wait for sound workers."""

    __slots__ = ('_has_sound_worker', '_waiting')

    def __init__(self) -> None:
        """Start without tasks that wait."""
        self._has_sound_worker: dict[tuple[str, int, int], bool] = {}
        # The attempts that came before, and since when the task waits.
        self._waiting: dict[TaskState, tuple[int, float]] = {}

    def begin_round(self, now: float) -> None:
        """Forget which pools have sound workers, and tasks that have left."""
        self._has_sound_worker.clear()
        self._waiting = {
            task: waiting
            for task, waiting in self._waiting.items()
            if task.phase is TaskPhase.WAITING
            and now < waiting[1] + MAX_NOTE_SECONDS
        }

    def must_wait(
        self,
        worker: WorkerState,
        ready: ReadyStep,
        task: TaskState,
        list_workers: Callable[[], Collection[WorkerState]],
        now: float,
    ) -> bool:
        """Return whether a task may not start on a worker yet.

        ``list_workers`` returns the usable workers of its pool.
        """
        is_at_risk = task.failures > 0 or ready.job_state.max_attempts == 1
        if ready.step.is_permanent or not is_at_risk:
            return False
        if not worker.probation.has_recent_failures:
            return False
        if now >= self._note_waiting(task, now) + MAX_WAIT_SECONDS:
            return False
        has_sound_worker = self._has_sound_worker.get(ready.key)
        if has_sound_worker is None:
            has_sound_worker = any(
                not other.probation.has_recent_failures
                and will_be_candidate(other, ready.step, ready.key)
                for other in list_workers()
            )
            self._has_sound_worker[ready.key] = has_sound_worker
        return has_sound_worker

    def _note_waiting(self, task: TaskState, now: float) -> float:
        """Return since when a task waits."""
        attempt, since = self._waiting.get(task, (task.attempt, now))
        if attempt != task.attempt:
            since = now
        self._waiting[task] = (task.attempt, since)
        return since
