"""Applies the results of start and stop orders to a partition's state.

An order without an answer may have been carried out, or may still be.  What
became of its attempt is known only from the worker's reports, or once the
worker has confirmed a stop order, which bars the attempt from starting.
"""

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.lossrecorder import LossRecorder
from tarragonlb.scheduling.orders import OrderResult, StartOrder, StopOrder
from tarragonlb.scheduling.partitionstate import PartitionState, note_confirmed
from tarragonlb.scheduling.refusedsteps import RefusedSteps
from tarragonlb.scheduling.task import StartStage, StopReason, TaskPhase
from tarragonlb.scheduling.worker import WorkerState
from tarragonlb.scheduling.workerloss import LossReason

# Results of a start that say that the worker would refuse others, too.
REFUSALS = frozenset((OrderResult.REFUSED, OrderResult.OTHER_INCARNATION))


class OrderTracker:
    """Applies order results to the state of a partition."""

    __slots__ = ('_losses', '_partition', '_refused_steps')

    def __init__(self, partition: PartitionState) -> None:
        """Update ``partition``, which the caller owns."""
        self._partition = partition
        self._losses = LossRecorder(partition)
        self._refused_steps = RefusedSteps()

    def apply_start_result(
        self,
        order: StartOrder,
        result: OrderResult,
        now: float,
        token: int = 0,
    ) -> None:
        """Apply the result of a start order that was sent under ``token``."""
        task = self._partition.find_attempt(
            order.key, order.attempt, order.worker_id
        )
        if task is None:
            self._apply_late_result(order, result, now)
            return
        worker = self._partition.workers[order.worker_id]
        if result in {OrderResult.DONE, OrderResult.UNANSWERED}:
            if result is OrderResult.DONE:
                task.settled_at = now
                task.start_stage = StartStage.CONFIRMED
                note_confirmed(self._partition, order.key, now)
                worker.note_start_accepted(now)
                self._refused_steps.note_start(order.key[:3])
            else:
                task.note_start_unanswered(token, now)
                self._back_off(worker, now)
            return
        if result is OrderResult.OTHER_INCARNATION:
            worker.must_report = True
        backoff_seconds = self._partition.settings.refusal_backoff_seconds
        if result in REFUSALS:
            backoff_seconds = self._apply_refusal(worker, order.key, now)
        task.start_stage = StartStage.DECIDED
        self._partition.release(order.key, task, 'the start was refused', now)
        task.not_before = now + backoff_seconds
        if self._partition.find_step(order.key).is_gang:
            self._stop_gang(order.key)

    def apply_stop_result(
        self, order: StopOrder, result: OrderResult, now: float
    ) -> None:
        """Apply the result of a stop order."""
        task = self._partition.find_attempt(
            order.key, order.attempt, order.worker_id
        )
        if task is None:
            self._bar_orphan(order, result, now)
            return
        if task.phase is not TaskPhase.STOPPING:
            return
        if result is OrderResult.DONE and task.barred_at is None:
            task.barred_at = now
        if result is OrderResult.OTHER_INCARNATION:
            worker = self._partition.workers[order.worker_id]
            self._losses.lose_all(worker, LossReason.REPLACED, now)

    def _apply_late_result(
        self, order: StartOrder, result: OrderResult, now: float
    ) -> None:
        """Apply the result of a start whose task was released meanwhile."""
        state = self._partition.jobs.get(order.key.job_id)
        task = None if state is None else state.find(order.key)
        if task is None:
            return
        if result is OrderResult.UNANSWERED:
            until = now + self._partition.settings.late_call_seconds
            starts = task.open_starts.extend(
                order.attempt, order.worker_id, until
            )
        else:
            starts = task.open_starts.drop(order.attempt, order.worker_id)
        task.replace_open_starts(starts)

    def _apply_refusal(
        self, worker: WorkerState, key: TaskKey, now: float
    ) -> float:
        """Return for how long a task that a worker refused is not placed."""
        backoff_seconds = self._partition.settings.refusal_backoff_seconds
        worker_id = worker.entry.worker_id
        refusal = self._refused_steps.note_refusal(key[:3], worker_id, now)
        if refusal.is_first(worker_id) or not worker.has_accepted_start(
            refusal.first_at
        ):
            self._back_off(worker, now)
        return backoff_seconds * 2.0**refusal.doublings

    def _back_off(self, worker: WorkerState, now: float) -> None:
        worker.note_start_refused(
            now, self._partition.settings.refusal_backoff_seconds
        )

    def _bar_orphan(
        self, order: StopOrder, result: OrderResult, now: float
    ) -> None:
        worker = self._partition.workers.get(order.worker_id)
        orphan = None if worker is None else worker.orphans.get(order.key)
        if orphan is None or orphan.attempt != order.attempt:
            return
        if result is OrderResult.DONE and orphan.barred_at is None:
            orphan.barred_at = now

    def _stop_gang(self, key: TaskKey) -> None:
        state = self._partition.jobs[key.job_id]
        for task in state.get_step(key).tasks:
            if task.is_attached:
                self._partition.begin_stop(task, StopReason.GANG_BROKEN)
