"""Slows scavengers down before they harm the tasks beside them.

The pattern it answers: scavengers use what others leave, and the tails of
serving tasks on the same worker rise within a second or two when they do.
"""

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.orders import PaceOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import FULL_PERCENT, TaskPhase
from tarragonlb.scheduling.worker import WorkerState


class Pacer:
    """Keeps the pace of the scavengers of a partition.

    A pace belongs to an attempt; an attempt starts at full pace.
    """

    __slots__ = ('_decided_at', '_paces', '_pool')

    def __init__(self, pool: PartitionState) -> None:
        """Pace the scavengers of ``pool``."""
        self._pool = pool
        self._paces: dict[tuple[TaskKey, int], int] = {}
        self._decided_at: dict[str, float] = {}

    def decide(self, now: float) -> list[PaceOrder]:
        """Return the paces that change, once for each new report."""
        orders: list[PaceOrder] = []
        for worker_id, worker in self._pool.workers.items():
            heard_at = worker.last_report_at
            if heard_at is None or worker.is_silent:
                continue
            if self._decided_at.get(worker_id, -1.0) < heard_at:
                self._decided_at[worker_id] = heard_at
                orders.extend(self._pace_worker(worker))
        return orders

    def note_refused(self, order: PaceOrder) -> None:
        """Forget a pace that did not come into force."""
        self._paces.pop((order.key, order.attempt), None)

    def _pace_worker(self, worker: WorkerState) -> list[PaceOrder]:
        scavengers = self._list_scavengers(worker)
        if not scavengers:
            return []
        load = self._measure_load(worker)
        orders = []
        for attempt in scavengers:
            before = self._paces.get(attempt, FULL_PERCENT)
            after = self._adjust(before, load)
            if after != before:
                self._paces[attempt] = after
                orders.append(
                    PaceOrder(
                        key=attempt[0],
                        attempt=attempt[1],
                        worker_id=worker.entry.worker_id,
                        percent=after,
                    )
                )
        return orders

    def _adjust(self, percent: int, load: float) -> int:
        settings = self._pool.settings
        if load > 1:
            return 0
        if load > settings.pacing_high_share:
            return percent // 2
        if load < settings.pacing_low_share:
            return min(percent + settings.pacing_step_percent, FULL_PERCENT)
        return percent

    def _measure_load(self, worker: WorkerState) -> float:
        load = 0.0
        for key in worker.attached:
            state = self._pool.jobs[key.job_id]
            target_ms = state.job.spec.steps[key.step].latency_target_ms
            task = state.find(key)
            if target_ms and task is not None and task.is_at_work:
                load = max(load, task.tail_ms / target_ms)
        return load

    def _list_scavengers(
        self, worker: WorkerState
    ) -> list[tuple[TaskKey, int]]:
        found = []
        for key, attachment in worker.attached.items():
            state = self._pool.jobs[key.job_id]
            task = state.find(key)
            is_running = task is not None and task.phase is TaskPhase.RUNNING
            if is_running and state.job.spec.steps[key.step].scavenges:
                found.append((key, attachment.attempt))
        return found
