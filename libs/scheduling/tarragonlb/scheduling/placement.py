"""Policies that choose a worker for a task.

A placement policy chooses among the workers that can take the task.  The
default packs tasks onto few workers.  Pools have their peaks at different
times, so workers of one pool are soon needed in another and must be empty to
move; the workers that packing leaves free drain at once.
"""

import abc
from collections.abc import Iterable

from tarragonlb.scheduling.job import Step
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.task import TaskState
from tarragonlb.scheduling.worker import WorkerState


def is_eligible(
    worker: WorkerState, step: Step, step_key: tuple[str, int, int]
) -> bool:
    """Return whether a worker may run a step, apart from its free capacity."""
    if not worker.is_usable() or not worker.entry.has_required_label(step):
        return False
    limit = step.max_per_worker
    return not limit or worker.count_step_tasks(step_key) < limit


def will_be_candidate(
    worker: WorkerState, step: Step, step_key: tuple[str, int, int]
) -> bool:
    """Return whether a worker may take a task of a step once others end."""
    return is_eligible(worker, step, step_key) and has_room_beside_permanent(
        worker, step
    )


def has_room_beside_permanent(worker: WorkerState, step: Step) -> bool:
    """Return whether one more task fits once all others have ended.

    Permanent tasks don't end.
    """
    capacity, demand = worker.entry.capacity, step.demand
    kept = [
        attachment.demand
        for attachment in worker.attached.values()
        if attachment.is_permanent
    ]
    cpu_millicores = sum(other.cpu_millicores for other in kept)
    if not step.scavenges:
        cpu_millicores += demand.cpu_millicores
    memory_mb = sum(other.memory_mb for other in kept) + demand.memory_mb
    gpus = sum(other.gpus for other in kept) + demand.gpus
    return (
        cpu_millicores <= capacity.cpu_millicores
        and memory_mb <= capacity.memory_mb
        and gpus <= capacity.gpus
    )


def must_wait_for_empty_worker(step: Step, task: TaskState, now: float) -> bool:
    """Return whether a task may start only on an empty worker now.

    The tasks of a gang start together, so they can't be alone.
    """
    if step.is_gang or not task.crashes.needs_isolation:
        return False
    return now < task.isolate_until


def is_candidate(
    worker: WorkerState,
    step: Step,
    step_key: tuple[str, int, int],
    task: TaskState,
    now: float,
) -> bool:
    """Return whether a worker may take this task of a step now."""
    if not worker.can_fit(step) or worker.is_kept_by_suspect(now):
        return False
    if worker.is_backing_off(now):
        return False
    if must_wait_for_empty_worker(step, task, now) and worker.attached:
        return False
    is_retry = task.failures > 0 and not step.is_permanent
    if not worker.can_accept_on_probation(now, is_retry=is_retry):
        return False
    return is_eligible(worker, step, step_key)


def is_choosy(task: TaskState) -> bool:
    """Return whether other tasks of a step may start where this one may not."""
    if not task.open_starts.is_empty:
        return True
    return task.crashes.needs_isolation or task.failures > 0


class PlacementPolicy(abc.ABC):
    """Chooses among the workers that may take a task."""

    __slots__ = ()

    def begin_step(self, ready: ReadyStep) -> None:  # noqa: B027
        """Note the step to which the next tasks belong; optional."""

    @abc.abstractmethod
    def choose(
        self, step: Step, task: TaskState, candidates: Iterable[WorkerState]
    ) -> WorkerState | None:
        """Return the worker to use, or None to leave the task waiting.

        ``candidates`` come with the least free CPU first.
        """


class FirstFit(PlacementPolicy):
    """The baseline: the first worker with enough free capacity."""

    __slots__ = ()

    def choose(
        self, step: Step, task: TaskState, candidates: Iterable[WorkerState]
    ) -> WorkerState | None:
        """Return the first candidate."""
        return next(iter(candidates), None)


class PackNearData(PlacementPolicy):
    """Prefers workers on the rack of the data, then the most loaded.

    A worker where this task failed, that is on probation or that has just
    refused a start, comes last.
    Permanent tasks are packed onto the same workers as far as their limits
    allow, so that other workers can leave the pool.  Tasks that were on workers
    that crashed are spread instead, apart from each other.
    """

    __slots__ = ()

    def choose(
        self, step: Step, task: TaskState, candidates: Iterable[WorkerState]
    ) -> WorkerState | None:
        """Return the best candidate."""
        if not task.crashes.is_empty:
            return max(
                candidates,
                key=lambda worker: _rate_for_suspect(worker, step, task),
                default=None,
            )
        if not step.is_permanent:
            seen = []
            for worker in candidates:
                if is_first_choice(worker, step, task):
                    return worker
                seen.append(worker)
            candidates = seen
        return max(
            candidates,
            key=lambda worker: (
                worker.entry.worker_id not in task.avoided,
                not (worker.failures or worker.has_refused),
                not worker.suspects,
                worker.entry.has_local_data(step),
                worker.count_permanent() if step.is_permanent else 0,
                -worker.free_cpu,
            ),
            default=None,
        )


def is_first_choice(worker: WorkerState, step: Step, task: TaskState) -> bool:
    """Return whether nothing speaks against a worker that may take a task."""
    if worker.failures or worker.has_refused or worker.suspects:
        return False
    if worker.entry.worker_id in task.avoided:
        return False
    return worker.entry.has_local_data(step)


def _rate_for_suspect(
    worker: WorkerState, step: Step, task: TaskState
) -> tuple[bool, bool, int, bool, int]:
    is_avoided = worker.entry.worker_id in task.avoided
    return (
        not worker.suspects,
        not (is_avoided or worker.failures or worker.has_refused),
        -len(worker.attached),
        worker.entry.has_local_data(step),
        worker.free_cpu,
    )
