"""Decides whether a failed task counts against its worker or against itself.

A failure counts against the worker until the task, or another one of a step of
which none has succeeded, fails on a second worker too.  Then the task is the
likelier cause, unless something else counts against that second worker.  If the
task succeeds after all, its failures count against the workers again.
"""

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import TaskState
from tarragonlb.scheduling.worker import WorkerState


def note_task_failed(
    partition: PartitionState, worker: WorkerState, key: TaskKey, now: float
) -> None:
    """Put a worker on probation unless the task that failed is the cause.

    Other workers where it failed before may be off probation after that.
    """
    state = partition.jobs[key.job_id]
    task = state.find(key)
    if task is not None:
        task.avoided.add(worker.entry.worker_id)
    worker.probation.log.add(key)
    _excuse_workers(partition, worker.entry.pool, key)
    if worker.probation.log.is_blamed_apart_from(()):
        worker.probation.note_failure(now)


def note_task_done(
    partition: PartitionState,
    worker: WorkerState,
    key: TaskKey,
    task: TaskState,
    now: float,
) -> None:
    """End the probation of a worker where a task succeeded.

    Workers where the same task failed since they last succeeded are blamed.
    """
    worker.probation.note_success()
    for worker_id in task.avoided:
        other = partition.workers.get(worker_id)
        if other is None or other is worker:
            continue
        log = other.probation.log
        if key in log.recent and key not in log.blamed:
            log.blamed.add(key)
            other.probation.note_failure(now)


def _excuse_workers(
    partition: PartitionState, pool: str, first: TaskKey
) -> None:
    pending = [first]
    while pending:
        key = pending.pop()
        state = partition.jobs.get(key.job_id)
        failed = _find_failed(partition, pool, key, state)
        clean = {
            worker.entry.worker_id
            for worker, keys in failed
            if not worker.probation.log.is_blamed_apart_from(keys)
        }
        for worker, keys in failed:
            is_excused = clean.difference((worker.entry.worker_id,))
            log = worker.probation.log
            if is_excused and not log.blamed.isdisjoint(keys):
                log.excuse(keys)
                pending.extend(log.blamed)
                _end_probation(partition, worker)


def _find_failed(
    partition: PartitionState, pool: str, key: TaskKey, state: JobState | None
) -> list[tuple[WorkerState, list[TaskKey]]]:
    """Return the workers where a task or its like failed, and their failures.

    The tasks of a step are alike as long as none is done.
    """
    has_same_step = state is not None and not state.get_step(key).done
    found = []
    for worker in partition.workers.values():
        if worker.entry.pool == pool:
            keys = worker.probation.log.list_matching(
                key, has_same_step=has_same_step
            )
            if keys:
                found.append((worker, keys))
    return found


def _end_probation(partition: PartitionState, worker: WorkerState) -> None:
    if worker.failures and not worker.probation.log.is_blamed_apart_from(()):
        worker.probation.end()
        partition.changed_pools.add(worker.entry.pool)
