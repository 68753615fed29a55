"""Throttles scavenging tasks before they slow down their neighbours.

Scavenging (best-effort) tasks use the CPU time that others leave.  The tail
latency of serving tasks on the same worker rises within one or two seconds
when they do.
"""

from tarragonlb.scheduling.attemptprogress import FULL_PERCENT
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.orders import PaceOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import TaskPhase
from tarragonlb.scheduling.worker import WorkerState


class Pacer:
    """Sets the pace of the scavenging attempts of a partition.

    A pace is the percentage of full speed; an attempt starts at 100.  That of
    an attempt which a former owner started is unknown.
    """

    __slots__ = ('_paces', '_partition')

    def __init__(self, partition: PartitionState) -> None:
        """Pace the scavenging attempts of ``partition``."""
        self._partition = partition
        self._paces: dict[tuple[TaskKey, int], int] = {}

    def decide(self) -> list[PaceOrder]:
        """Return the paces to change; decide once for each new report."""
        orders: list[PaceOrder] = []
        for worker_id in self._partition.reported_workers:
            worker = self._partition.workers.get(worker_id)
            if worker is not None and not worker.is_silent:
                orders.extend(self._pace_worker(worker))
        self._partition.reported_workers.clear()
        return orders

    def note_refused(self, order: PaceOrder) -> None:
        """Forget a pace that was perhaps not applied."""
        attempt = (order.key, order.attempt)
        if self._paces.pop(attempt, None) is not None:
            self._partition.unknown_paces.add(attempt)

    def _pace_worker(self, worker: WorkerState) -> list[PaceOrder]:
        scavengers = _list_scavengers(worker)
        if not scavengers:
            return []
        latency_ratio = self._measure_latency_ratio(worker)
        orders = []
        for attempt in scavengers:
            old_percent = self._find_pace(attempt)
            new_percent = self._choose_pace(old_percent, latency_ratio)
            if new_percent < FULL_PERCENT:
                _excuse_slowness(worker, attempt)
            if new_percent != old_percent:
                self._paces[attempt] = new_percent
                orders.append(
                    PaceOrder(
                        key=attempt[0],
                        attempt=attempt[1],
                        worker_id=worker.entry.worker_id,
                        percent=new_percent,
                    )
                )
        return orders

    def _find_pace(self, attempt: tuple[TaskKey, int]) -> int | None:
        """Return the present pace, None if it is unknown."""
        unknown = self._partition.unknown_paces
        if attempt in unknown:
            unknown.discard(attempt)
            return None
        return self._paces.get(attempt, FULL_PERCENT)

    def _choose_pace(self, percent: int | None, latency_ratio: float) -> int:
        if percent is not None:
            return self._adjust(percent, latency_ratio)
        # Speed may be lost for a moment, neighbours are not harmed.
        return self._adjust(0, latency_ratio) if latency_ratio else FULL_PERCENT

    def _adjust(self, percent: int, latency_ratio: float) -> int:
        settings = self._partition.settings
        if latency_ratio > 1:
            return 0
        if latency_ratio > settings.pacing_high_share:
            return percent // 2
        if latency_ratio < settings.pacing_low_share:
            return min(percent + settings.pacing_step_percent, FULL_PERCENT)
        return percent

    def _measure_latency_ratio(self, worker: WorkerState) -> float:
        latency_ratio = 0.0
        for attachment in worker.attached.values():
            target_ms = attachment.step.latency_target_ms
            task = attachment.task
            if target_ms and task.is_serving:
                latency_ratio = max(latency_ratio, task.tail_ms / target_ms)
        return latency_ratio


def _excuse_slowness(worker: WorkerState, attempt: tuple[TaskKey, int]) -> None:
    """Let a slowed attempt not count as stalled."""
    if worker.last_report_at is not None:
        task = worker.attached[attempt[0]].task
        task.progress.excuse(worker.last_report_at)


def _list_scavengers(worker: WorkerState) -> list[tuple[TaskKey, int]]:
    return [
        (key, attachment.attempt)
        for key, attachment in worker.attached.items()
        if attachment.step.scavenges
        and attachment.task.phase is TaskPhase.RUNNING
    ]
