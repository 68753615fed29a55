"""Decides which attempts to stop: unwanted, stalled or to be evicted."""

from collections.abc import Iterable

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.orders import StopOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.placement import is_eligible
from tarragonlb.scheduling.task import StopReason, TaskPhase, TaskState
from tarragonlb.scheduling.worker import OrphanedAttempt, WorkerState


class StopPlanner:
    """Decides which attempts of a partition are stopped."""

    __slots__ = ('_partition',)

    def __init__(self, partition: PartitionState) -> None:
        """Update ``partition``, which the caller owns."""
        self._partition = partition

    def evict_permanent_tasks(self) -> None:
        """Start to evict permanent tasks from workers that are being drained.

        Other tasks may run to their end.  On a drain request of the fleet's
        owner, permanent tasks are evicted as their step's disruption budget
        allows.  A worker that announced its own draining does not wait for
        the budget.
        """
        for worker in self._partition.workers.values():
            if not (worker.is_drain_requested or worker.entry.is_draining):
                continue
            for key in tuple(worker.attached):
                self._evict_permanent(worker, key)

    def stop_stalled(self, now: float) -> None:
        """Start to stop attempts that make no progress."""
        timeout = self._partition.settings.stall_timeout_seconds
        for worker in self._partition.workers.values():
            if worker.is_silent or worker.last_report_at is None:
                continue
            for key in tuple(worker.attached):
                task = self._find(key)
                if self._is_stalled(key, task, now - timeout):
                    task.begin_stop(StopReason.STALLED)
                    task.avoided.add(worker.entry.worker_id)
                    worker.note_failure(now)

    def list_orders(self, now: float) -> list[StopOrder]:
        """Return the stop orders that are due, including repeated ones."""
        orders: list[StopOrder] = []
        since = now - self._partition.settings.stop_retry_seconds
        for worker in self._partition.workers.values():
            if worker.is_silent or worker.last_report_at is None:
                continue
            orders.extend(self._list_stopping(worker, since, now))
            orphans = worker.orphans.items()
            orders.extend(_build_due_orders(worker, orphans, since, now))
        return orders

    def _list_stopping(
        self, worker: WorkerState, since: float, now: float
    ) -> list[StopOrder]:
        stopping = [
            (key, self._find(key))
            for key in worker.attached
            if self._find(key).phase is TaskPhase.STOPPING
        ]
        return _build_due_orders(worker, stopping, since, now)

    def _is_stalled(
        self, key: TaskKey, task: TaskState, progress_before: float
    ) -> bool:
        if task.phase is not TaskPhase.RUNNING:
            return False
        step = self._partition.find_step(key)
        if step.is_gang or (step.is_permanent and task.is_serving):
            return False
        return task.progress_at < progress_before

    def _evict_permanent(self, worker: WorkerState, key: TaskKey) -> None:
        state = self._partition.jobs[key.job_id]
        step = self._partition.find_step(key)
        task = self._find(key)
        if task.phase is not TaskPhase.RUNNING or not step.is_permanent:
            return
        is_allowed = worker.entry.is_draining or self._can_disrupt(state, key)
        if is_allowed and self._has_other_worker(state, key):
            task.begin_stop(StopReason.MOVE)

    def _can_disrupt(self, state: JobState, key: TaskKey) -> bool:
        budget = state.job.spec.steps[key.step].disruption_budget
        if budget is None:
            return True
        unavailable = sum(
            1
            for index, task in enumerate(state.get_step(key).tasks)
            if index != key.position and not task.is_serving
        )
        return unavailable < budget

    def _has_other_worker(self, state: JobState, key: TaskKey) -> bool:
        step = state.job.spec.steps[key.step]
        step_key = (key.job_id, key.occurrence, key.step)
        return any(
            worker.entry.pool == state.job.pool
            and is_eligible(worker, step, step_key)
            and worker.can_fit(step)
            for worker in self._partition.workers.values()
        )

    def _find(self, key: TaskKey) -> TaskState:
        task = self._partition.jobs[key.job_id].find(key)
        if task is None:
            raise KeyError(key)
        return task


def _build_due_orders(
    worker: WorkerState,
    attempts: Iterable[tuple[TaskKey, TaskState | OrphanedAttempt]],
    since: float,
    now: float,
) -> list[StopOrder]:
    """Return stop orders for attempts, except those sent one after ``since``.

    The returned orders are marked as sent at ``now`` seconds.
    """
    orders = []
    for key, attempt in attempts:
        if attempt.stop_sent_at is None or attempt.stop_sent_at < since:
            attempt.stop_sent_at = now
            orders.append(
                StopOrder(
                    key=key,
                    attempt=attempt.attempt,
                    worker_id=worker.entry.worker_id,
                    reason=attempt.stop_reason,
                )
            )
    return orders
