"""The state of one task.

    WAITING -> PLACED -> RUNNING -> DONE
       ^         |          |
       +---- STOPPING <-----+

A task is PLACED once a worker is chosen and recorded, even if the start order
has not reached the worker.  From STOPPING it returns to WAITING only when the
worker has shown that the attempt is over, or has barred it from starting.
"""

import enum

from tarragonlb.scheduling.attemptprogress import (
    FULL_PERCENT,
    AttemptProgress,
)
from tarragonlb.scheduling.crashhistory import NO_CRASHES, PROBATION_SECONDS
from tarragonlb.scheduling.openstarts import NO_OPEN_STARTS, OpenStarts


class TaskPhase(enum.IntEnum):
    """Phase of a task's life cycle."""

    WAITING = 0
    PLACED = 1
    RUNNING = 2
    STOPPING = 3
    DONE = 4


class StartStage(enum.IntEnum):
    """How far the start of an attempt has come.

    DECIDED: no order was sent.  STORED: the placement is stored, and the order
    may have been sent.  CONFIRMED: the worker has answered it, or listed the
    attempt.
    """

    DECIDED = 0
    STORED = 1
    CONFIRMED = 2


class StopReason(enum.Enum):
    """Why an attempt is stopped; values are written to the log."""

    NONE = ''
    JOB_OVER = 'the job is over'
    MOVE = 'the worker is being emptied'
    STALLED = 'no progress was made'
    NOT_LISTED = 'the worker does not list it'
    GANG_BROKEN = 'another task of the gang could not start'
    UNWANTED = 'no task wants this attempt'


ATTACHED = frozenset((TaskPhase.PLACED, TaskPhase.RUNNING, TaskPhase.STOPPING))


class TaskState:
    """The state of one task; times are seconds on the monotonic clock.

    ``placed_at`` is when this owner placed the present attempt, None if another
    owner did.  ``not_before`` is when the task may be placed again after a
    refusal.  ``settled_at`` is when the start order was answered or timed out:
    a report requested later lists the attempt if it exists.  ``barred_at`` is
    when the worker confirmed a stop order: a report requested later that does
    not list the attempt proves that it is over.  ``avoided`` are workers where
    the task failed or stalled, or that crashed.  ``incarnation`` is that of the
    worker when the attempt was placed, 0 if unknown.  Until
    ``isolate_until`` a strong suspect waits for an empty worker.
    ``was_copied`` means that it was started again while the worker of an
    attempt was silent.  ``stalls`` counts the attempts that were stopped for
    want of progress.
    """

    __slots__ = (
        '_open_starts',
        '_open_token',
        'attempt',
        'avoided',
        'barred_at',
        'checkpoint',
        'crashes',
        'failed_attempts',
        'incarnation',
        'isolate_until',
        'not_before',
        'phase',
        'placed_at',
        'progress',
        'settled_at',
        'stalls',
        'start_stage',
        'stop_reason',
        'stop_sent_at',
        'tail_ms',
        'was_copied',
        'worker_id',
    )

    def __init__(self) -> None:
        """Start as a task that has not run."""
        self.phase = TaskPhase.WAITING
        self.attempt = 0
        self.worker_id = ''
        self.failed_attempts: set[int] = set()
        self.crashes = NO_CRASHES
        self.incarnation = 0
        self.start_stage = StartStage.DECIDED
        self.isolate_until = 0.0
        self.was_copied = False
        self.checkpoint = ''
        self.placed_at: float | None = None
        self.not_before = 0.0
        self.avoided: set[str] = set()
        self.settled_at: float | None = None
        self._open_starts = NO_OPEN_STARTS
        # Of a start order that timed out.
        self._open_token: int | None = None
        self.barred_at: float | None = None
        self.stop_sent_at: float | None = None
        self.stop_reason = StopReason.NONE
        self.progress = AttemptProgress()
        self.stalls = 0
        self.tail_ms = 0

    @property
    def failures(self) -> int:
        """Return how many attempts failed."""
        return len(self.failed_attempts)

    @property
    def is_attached(self) -> bool:
        """Return whether an attempt may run on the task's worker."""
        return self.phase in ATTACHED

    @property
    def has_open_start(self) -> bool:
        """Return whether a start by this owner may have run unnoticed.

        The incarnation of the worker that last reported has neither answered it
        nor listed the attempt.
        """
        return (
            self.placed_at is not None and self.start_stage is StartStage.STORED
        )

    @property
    def open_starts(self) -> OpenStarts:
        """Return the starts of former attempts that may still be executed."""
        return self._open_starts

    @property
    def is_serving(self) -> bool:
        """Return whether a permanent task reports full readiness."""
        if self.phase is not TaskPhase.RUNNING:
            return False
        return self.progress.percent >= FULL_PERCENT

    def has_survived_start(self, now: float) -> bool:
        """Return whether the attempt has run too long to crash by its start."""
        if self.settled_at is None:
            return False
        return now >= self.settled_at + PROBATION_SECONDS

    def keeps_worker(self, now: float) -> bool:
        """Return whether the attempt's worker takes no other task now.

        One that was placed beside others, as it has waited too long for an
        empty worker, does not keep it.
        """
        if not self.crashes.needs_isolation or self.placed_at is None:
            return False
        is_isolated = self.placed_at < self.isolate_until
        return is_isolated and not self.has_survived_start(now)

    def place(
        self, worker_id: str, incarnation: int, attempt: int, now: float
    ) -> None:
        """Attach the task to a worker under a new attempt number."""
        self.phase = TaskPhase.PLACED
        self.worker_id = worker_id
        self.incarnation = incarnation
        self.start_stage = StartStage.DECIDED
        self.attempt = attempt
        self.placed_at = now
        self.settled_at = None
        self._open_token = None
        self._open_starts = self._open_starts.repeat(0)
        self._forget_orders()
        self.progress = AttemptProgress(now)

    def replace_open_starts(self, starts: OpenStarts) -> None:
        """Set the starts of former attempts that may still be executed."""
        self._open_starts = starts

    def note_start_unanswered(self, token: int, now: float) -> None:
        """Take note of a start order, sent under ``token``, that timed out."""
        self.settled_at = now
        self._open_token = token

    def is_shut_out(self, token: int) -> bool:
        """Return whether a start that timed out never runs after a report.

        The report was requested under the fencing token ``token``.
        """
        return self._open_token is not None and self._open_token < token

    def may_arrive(self, requested_at: float, token: int) -> bool:
        """Return whether the start may be carried out after a report.

        The report was requested at ``requested_at`` under ``token``.
        """
        if self.start_stage is StartStage.DECIDED:
            return False
        if self.settled_at is None:
            return True
        if self._open_token is not None:
            return not self.is_shut_out(token)
        return self.settled_at >= requested_at

    def update_progress(
        self,
        percent: float,
        checkpoint: str,
        now: float,
        requested_at: float | None = None,
    ) -> None:
        """Apply a report that lists the attempt.

        It was requested at ``requested_at``, if that was before ``now``.
        """
        self.start_stage = StartStage.CONFIRMED
        self._open_token = None
        if self.phase is TaskPhase.PLACED:
            self.phase = TaskPhase.RUNNING
        self.progress.update(
            percent, now, now if requested_at is None else requested_at
        )
        if checkpoint and checkpoint != self.checkpoint:
            self.checkpoint = checkpoint
            # A stop also has a checkpoint saved.
            if self.phase is TaskPhase.RUNNING:
                self.progress.note_checkpoint(now)

    def begin_stop(self, reason: StopReason) -> None:
        """Have the attempt stopped; the first reason is kept."""
        if self.phase is not TaskPhase.STOPPING:
            self.phase = TaskPhase.STOPPING
            self.stop_reason = reason
            self._forget_orders()

    def release(self) -> None:
        """Return to waiting after the end of the attempt."""
        self.phase = TaskPhase.WAITING
        self.worker_id = ''
        self._forget_orders()

    def finish(self) -> None:
        """Mark the task as done, which is final."""
        self.phase = TaskPhase.DONE
        self.worker_id = ''
        self.checkpoint = ''
        self._forget_orders()

    def _forget_orders(self) -> None:
        self.barred_at = None
        self.stop_sent_at = None
