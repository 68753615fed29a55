"""Placement that looks at the fit of all resources and at when tasks end.

Tasks are packed onto the workers with the least free CPU, as before.  Among a
few of these, the one is taken on which the least is left over, in balance over
CPU, memory and accelerators, and whose attempts end about when the new task
will, so that whole workers come free for the next large step, move or drain.
"""

from collections.abc import Iterable, Iterator
from itertools import islice

from tarragonlb.scheduling.forecast import EndForecast
from tarragonlb.scheduling.job import Step
from tarragonlb.scheduling.placement import (
    PackNearData,
    PlacementPolicy,
    is_first_choice,
)
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.task import TaskState
from tarragonlb.scheduling.worker import WorkerState

# Workers that are compared for one task; more cost processor time at a peak.
MAX_COMPARED = 4
# How much a difference of the ends in seconds counts against the share of a
# worker that is left over.
END_WEIGHT = 0.2
# Difference of the ends above which it does not matter any more.
MAX_END_SECONDS = 2.0


class LookAheadPlacement(PlacementPolicy):
    """Prefers what ``PackNearData`` does, then the best fit in room and time.

    Suspects, permanent tasks, and tasks for which no worker is a first choice,
    are placed as by ``PackNearData``.
    """

    __slots__ = ('_forecast', '_pack', '_ready')

    def __init__(self, forecast: EndForecast) -> None:
        """Expect ends by ``forecast``, which each round updates."""
        self._forecast = forecast
        self._pack = PackNearData()
        self._ready: ReadyStep | None = None

    def begin_step(self, ready: ReadyStep) -> None:
        """Estimate the tasks of a step that is to be placed."""
        self._ready = ready

    def choose(
        self, step: Step, task: TaskState, candidates: Iterable[WorkerState]
    ) -> WorkerState | None:
        """Return the best candidate."""
        if step.is_permanent or not task.crashes.is_empty:
            return self._pack.choose(step, task, candidates)
        seen: list[WorkerState] = []
        first_choices = list(
            islice(_list_first(step, task, candidates, seen), MAX_COMPARED)
        )
        if not first_choices:
            return self._pack.choose(step, task, seen)
        if len(first_choices) == 1:
            return first_choices[0]
        end_at = self._forecast.now
        if self._ready is not None:
            end_at += self._forecast.estimate_step(self._ready).seconds
        return min(
            first_choices,
            key=lambda worker: self._rate(worker, step, end_at),
        )

    def _rate(self, worker: WorkerState, step: Step, end_at: float) -> float:
        """Return the cost of using a worker, in shares of a worker."""
        capacity, demand = worker.entry.capacity, step.demand
        left_cpu = worker.free_cpu
        if not step.scavenges:
            left_cpu -= demand.cpu_millicores
        left = [
            left_cpu / (capacity.cpu_millicores or 1),
            (worker.free_memory - demand.memory_mb) / (capacity.memory_mb or 1),
        ]
        if capacity.gpus:
            left.append((worker.free_gpus - demand.gpus) / capacity.gpus)
        most = max(left)
        difference = abs(end_at - self._forecast.find_last_end(worker))
        return (
            left[0]
            + (most - min(left))
            + END_WEIGHT * min(difference, MAX_END_SECONDS)
        )


def _list_first(
    step: Step,
    task: TaskState,
    candidates: Iterable[WorkerState],
    seen: list[WorkerState],
) -> Iterator[WorkerState]:
    """Yield the first choices; ``seen`` collects all candidates."""
    for worker in candidates:
        seen.append(worker)
        if is_first_choice(worker, step, task):
            yield worker
