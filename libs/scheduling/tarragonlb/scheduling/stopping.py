"""Decides which attempts to stop: unwanted, stalled or to be evicted."""

from collections.abc import Iterable

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.orders import StopOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.placement import is_eligible
from tarragonlb.scheduling.stalls import StallDetector
from tarragonlb.scheduling.task import StopReason, TaskPhase, TaskState
from tarragonlb.scheduling.worker import OrphanedAttempt, WorkerState

# Time between two searches for stalled attempts, which last much longer.
STALL_CHECK_INTERVAL_SECONDS = 0.2


class StopPlanner:
    """Decides which attempts of a partition are stopped."""

    __slots__ = ('_next_stall_check_at', '_partition', '_stall_detector')

    def __init__(
        self, partition: PartitionState, done_at: dict[str, float]
    ) -> None:
        """Update ``partition``, which the caller owns.

        ``done_at`` maps the ids of workers to when one last reported a task as
        done.
        """
        self._partition = partition
        self._next_stall_check_at = 0.0
        self._stall_detector = StallDetector(partition, done_at)

    def evict_permanent_tasks(self) -> None:
        """Start to evict permanent tasks from workers that are being drained.

        Other tasks may run to their end.  On a drain request of the fleet's
        owner, permanent tasks are evicted as their step's disruption budget
        allows.  A worker that announced its own draining does not wait for
        the budget.
        """
        leaving = [
            worker
            for worker in self._partition.workers.values()
            if worker.is_drain_requested or worker.entry.is_draining
        ]
        # What is evicted regardless of the budget counts for the others.
        leaving.sort(key=_is_leaving_by_request)
        for worker in leaving:
            for key, attachment in tuple(worker.attached.items()):
                if attachment.step.is_permanent:
                    self._evict_permanent(worker, key)

    def stop_stalled(self, now: float) -> None:
        """Start to stop attempts that make no progress."""
        if now < self._next_stall_check_at:
            return
        self._next_stall_check_at = now + STALL_CHECK_INTERVAL_SECONDS
        for task in self._stall_detector.find_stalled(now):
            self._partition.begin_stop(task, StopReason.STALLED)
            task.avoided.add(task.worker_id)
            task.stalls += 1

    def list_orders(self, now: float) -> list[StopOrder]:
        """Return the stop orders that are due, including repeated ones."""
        orders: list[StopOrder] = []
        since = now - self._partition.settings.stop_retry_seconds
        stopping_workers = self._partition.stopping_workers
        for worker_id in tuple(stopping_workers):
            worker = self._partition.workers.get(worker_id)
            if worker is None:
                stopping_workers.discard(worker_id)
                continue
            if worker.is_silent or worker.last_report_at is None:
                continue
            attempts: list[tuple[TaskKey, TaskState | OrphanedAttempt]] = [
                (key, attachment.task)
                for key, attachment in worker.attached.items()
                if attachment.task.phase is TaskPhase.STOPPING
            ]
            attempts.extend(worker.orphans.items())
            orders.extend(_build_due_orders(worker, attempts, since, now))
            if not attempts:
                stopping_workers.discard(worker_id)
        return orders

    def _evict_permanent(self, worker: WorkerState, key: TaskKey) -> None:
        state = self._partition.jobs[key.job_id]
        step = self._partition.find_step(key)
        task = self._find(key)
        if task.phase is not TaskPhase.RUNNING or not step.is_permanent:
            return
        is_allowed = worker.entry.is_draining or self._can_disrupt(state, key)
        if is_allowed and self._has_other_worker(state, key):
            self._partition.begin_stop(task, StopReason.MOVE)

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


def _is_leaving_by_request(worker: WorkerState) -> bool:
    return not worker.entry.is_draining


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
