"""Takes over what is known of orders once they were sent.

An order without answer may have been carried out, or may be later.  Only the
worker's reports and a bar decide what became of its attempt.
"""

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.orders import OrderResult, StartOrder, StopOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import StopReason, TaskPhase


class OrderTracker:
    """Applies answers to the state of a partition."""

    __slots__ = ('_pool',)

    def __init__(self, pool: PartitionState) -> None:
        """Change ``pool``, which the caller owns."""
        self._pool = pool

    def apply_start_result(
        self, order: StartOrder, result: OrderResult, now: float
    ) -> None:
        """Take over what is known of a start order."""
        task = self._pool.find_attempt(
            order.key, order.attempt, order.worker_id
        )
        if task is None:
            return
        if result in {OrderResult.DONE, OrderResult.UNANSWERED}:
            task.settled_at = now
            return
        self._pool.release(order.key, task, 'the start was refused')
        task.not_before = now + self._pool.settings.refusal_seconds
        if self._pool.find_step(order.key).is_gang:
            self._stop_gang(order.key)

    def apply_stop_result(
        self, order: StopOrder, result: OrderResult, now: float
    ) -> None:
        """Take over what is known of a stop order."""
        task = self._pool.find_attempt(
            order.key, order.attempt, order.worker_id
        )
        if task is None:
            self._bar_leftover(order, result, now)
            return
        if task.phase is not TaskPhase.STOPPING:
            return
        if result is OrderResult.DONE and task.barred_at is None:
            task.barred_at = now
        if result is OrderResult.OTHER_INCARNATION:
            self._pool.release(order.key, task, 'the worker has ended')

    def _bar_leftover(
        self, order: StopOrder, result: OrderResult, now: float
    ) -> None:
        worker = self._pool.workers.get(order.worker_id)
        leftover = None if worker is None else worker.orphans.get(order.key)
        if leftover is None or leftover.attempt != order.attempt:
            return
        if result is OrderResult.DONE and leftover.barred_at is None:
            leftover.barred_at = now

    def _stop_gang(self, key: TaskKey) -> None:
        state = self._pool.jobs[key.job_id]
        for task in state.step_of(key).tasks:
            if task.is_attached:
                task.begin_stop(StopReason.GANG_BROKEN)
