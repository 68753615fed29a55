"""Notes on what kept steps from being placed, by the rounds that tried them.

Each round overwrites the notes on the steps that it tried.  A round that looks
at all pools drops those on all others, which wait no longer.
"""

from collections.abc import Iterable, Sequence

from tarragonlb.scheduling.candidates import PoolCandidates
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.task import TaskState
from tarragonlb.scheduling.waitreason import (
    StepKey,
    WaitReason,
    explain_holding_back,
)
from tarragonlb.scheduling.worker import WorkerState


class WaitNotes:
    """The reasons why steps wait, by step, as of the last rounds."""

    __slots__ = ('_held_back', '_refused_for', '_tried', 'reasons')

    def __init__(self) -> None:
        """Start without notes."""
        self.reasons: dict[StepKey, WaitReason] = {}
        self._tried: set[StepKey] = set()
        self._held_back: WorkerState | None = None
        self._refused_for: WaitReason | None = None

    def begin_round(self, *, is_full_pass: bool) -> None:
        """Prepare for a round."""
        self._tried.clear()
        if is_full_pass:
            self.reasons.clear()

    def begin_step(self, ready: ReadyStep, waiting: Sequence[int]) -> None:
        """Note a step of which no task is ``waiting`` that may be placed."""
        if not waiting:
            self.note(ready, WaitReason.BACKOFF)

    def begin_task(self) -> None:
        """Forget the workers that were ruled out for another task."""
        self._held_back = None
        self._refused_for = None

    def note_held_back(self, worker: WorkerState) -> None:
        """Note that a worker with room is no candidate now."""
        if self._held_back is None:
            self._held_back = worker

    def note_refused(self, reason: WaitReason) -> None:
        """Note that a reservation or a filter ruled out a candidate."""
        self._refused_for = reason

    def note(self, ready: ReadyStep, reason: WaitReason) -> None:
        """Note why a step that the round has tried waits."""
        self._tried.add(ready.key)
        self.reasons[ready.key] = reason

    def note_no_worker(
        self,
        ready: ReadyStep,
        task: TaskState,
        candidates: PoolCandidates,
        now: float,
    ) -> None:
        """Note why no worker was chosen for a task."""
        if candidates.is_empty:
            reason = WaitReason.NO_WORKER
        elif self._refused_for:
            reason = self._refused_for
        elif self._held_back is None:
            reason = WaitReason.NO_ROOM
        else:
            reason = explain_holding_back(
                self._held_back, ready.step, task, now
            )
        self.note(ready, reason)

    def note_incomplete(self, ready: ReadyStep) -> None:
        """Note that not all tasks of a gang can start yet."""
        waiting = ready.step_state.count_waiting()
        is_attached = waiting < len(ready.step_state.tasks)
        self.note(
            ready,
            WaitReason.FORMER_ATTEMPT if is_attached else WaitReason.BACKOFF,
        )

    def note_unknown_queue(self, job_state: JobState) -> None:
        """Note that no step of a job is tried, as its queue is not known."""
        for occurrence, number, _ in job_state.list_steps():
            key = (job_state.job.job_id, occurrence, number)
            self.reasons[key] = WaitReason.UNKNOWN_QUEUE

    def note_not_tried(self, steps: Iterable[ReadyStep]) -> None:
        """Note the steps that the round left out, as the window is full."""
        for ready in steps:
            if ready.key not in self._tried:
                self.reasons[ready.key] = WaitReason.WINDOW
