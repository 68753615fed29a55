"""Binds tasks with open starts to their workers, for no longer than needed."""

from tarragonlb.scheduling.job import Step, TaskKey
from tarragonlb.scheduling.openstarts import NO_OPEN_STARTS
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import (
    StartStage,
    TaskPhase,
    TaskState,
)


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
