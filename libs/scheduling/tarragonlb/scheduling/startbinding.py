"""Binds tasks with open starts to their workers, for no longer than needed."""

from tarragonlb.scheduling.job import Step, TaskKey
from tarragonlb.scheduling.openstarts import NO_OPEN_STARTS
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import (
    StartStage,
    TaskPhase,
    TaskState,
)

# The time left of open starts is stored again after this, as the next owner
# counts it from its reading.
STORE_INTERVAL_SECONDS = 2.0


def store_open_starts(partition: PartitionState, now: float) -> None:
    """Have the time left of open starts stored again, and forget old ones."""
    bound = partition.evidence.bound_tasks
    for key, due_at in tuple(bound.items()):
        task = _find_bound_task(partition, key)
        if task is None:
            bound.pop(key)
        elif now >= due_at:
            forget_closed_starts(partition, key, task, now)
            partition.changed_jobs.add(key.job_id)
            bound[key] = now + STORE_INTERVAL_SECONDS


def forget_closed_starts(
    partition: PartitionState, key: TaskKey, task: TaskState, now: float
) -> None:
    """Forget the open starts of a task once none can be executed or run.

    A worker that another one has replaced executes none any more.  One that
    can't be reached may have executed one at the last moment, with the longest
    lease.
    """
    for start in task.open_starts.starts:
        if start.worker_id in partition.evidence.replaced_workers:
            left = task.open_starts.drop_worker(start.worker_id)
            task.replace_open_starts(left)
    until = task.open_starts.until
    if task.open_starts.is_empty or now < until:
        return
    workers = [
        partition.workers.get(start.worker_id)
        for start in task.open_starts.starts
    ]
    if any(worker and key in worker.orphans for worker in workers):
        return
    settings = partition.settings
    longest = settings.compute_longest_lease() + settings.lease_margin_seconds
    if now > until + longest or all(
        partition.evidence.complete_reports.get(start.worker_id, 0.0) > until
        for start in task.open_starts.starts
    ):
        task.replace_open_starts(NO_OPEN_STARTS)


def may_repeat_attempt(step: Step, task: TaskState) -> bool:
    """Return whether the next order may be for the same attempt.

    It must not be barred, and no order for it may be under way, whose answer
    would be taken for that of the next.  The members of a gang share a number.
    """
    is_over = task.settled_at is not None
    is_barred = task.phase is TaskPhase.STOPPING
    is_open = task.start_stage is StartStage.STORED
    return is_over and is_open and not (is_barred or step.is_gang)


def find_full_worker(
    partition: PartitionState, step: Step, task: TaskState, now: float
) -> str:
    """Return the worker to which a task is bound and that has no room for it.

    Empty if there is none.
    """
    for start in task.open_starts.starts:
        worker = partition.workers.get(start.worker_id)
        is_allowed = task.open_starts.allow(start.worker_id, now)
        if is_allowed and worker is not None and not worker.can_fit(step):
            return start.worker_id
    return ''


def _find_bound_task(
    partition: PartitionState, key: TaskKey
) -> TaskState | None:
    """Return a task if it is to be done and has open starts."""
    state = partition.open_jobs.get(key.job_id)
    task = None if state is None else state.find(key)
    if task is None or task.phase is TaskPhase.DONE:
        return None
    return None if task.open_starts.is_empty else task
