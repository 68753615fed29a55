"""The workers of one pool that may take tasks in one scheduling round.

At a peak most steps find no room, and a round looks for it for hundreds of
them.  The workers are kept in the order of their free CPU, so that a search
begins at the first one with enough of it, and a step is not looked at again
once one that needs no more has found no worker with enough free capacity.  Only
a gang that does not fit gives capacity back within a round.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator

from tarragonlb.scheduling.job import Step
from tarragonlb.scheduling.worker import WorkerState

# Suspects of crashing workers keep one worker of so many to themselves.
WORKERS_PER_SUSPECT = 8


class PoolCandidates:
    """The usable workers of a pool, the one with the least free CPU first."""

    __slots__ = ('_kept', '_rejected', '_workers')

    def __init__(self, workers: Iterable[WorkerState]) -> None:
        """Start with the usable ones among the pool's ``workers``."""
        self._workers = sorted(
            (worker for worker in workers if worker.is_usable()),
            key=_get_free_cpu,
        )
        self._rejected: list[tuple[int, int, int]] = []
        # Workers kept for suspects, once that was asked for.
        self._kept: int | None = None

    @property
    def is_empty(self) -> bool:
        """Return whether the pool has no usable worker."""
        return not self._workers

    def list_usable(self) -> list[WorkerState]:
        """Return the usable workers of the pool."""
        return self._workers

    def list_fitting(self, step: Step) -> Iterator[WorkerState]:
        """Yield the workers that have room for one more task of the step."""
        needed_cpu = _measure_demand(step)[0]
        first = bisect_left(self._workers, needed_cpu, key=_get_free_cpu)
        for worker in self._workers[first:]:
            if worker.can_fit(step):
                yield worker

    def is_full(self, step: Step) -> bool:
        """Return whether no worker can have room for a task of the step."""
        demand = _measure_demand(step)
        for rejected in self._rejected:
            if all(map(int.__ge__, demand, rejected)):
                return True
        if next(self.list_fitting(step), None) is None:
            self._rejected.append(demand)
            return True
        return False

    def may_keep(self, now: float) -> bool:
        """Return whether one more worker may be kept for a suspect alone."""
        if self._kept is None:
            self._kept = sum(
                worker.is_kept_by_suspect(now) for worker in self._workers
            )
        return self._kept < max(len(self._workers) // WORKERS_PER_SUSPECT, 1)

    def note_kept(self) -> None:
        """Note that one more worker is kept for a suspect in this round."""
        if self._kept is not None:
            self._kept += 1

    def move_after_change(self, worker: WorkerState) -> None:
        """Restore the order after the free capacity of a worker has changed."""
        if worker in self._workers:
            self._workers.remove(worker)
            insort(self._workers, worker, key=_get_free_cpu)

    def note_freed(self, worker: WorkerState) -> None:
        """Look again at all steps, as a worker's capacity is free again."""
        self._rejected.clear()
        self.move_after_change(worker)


def _measure_demand(step: Step) -> tuple[int, int, int]:
    demand = step.demand
    cpu_millicores = 0 if step.scavenges else demand.cpu_millicores
    return cpu_millicores, demand.memory_mb, demand.gpus


def _get_free_cpu(worker: WorkerState) -> int:
    return worker.free_cpu
