"""Binds tasks with open starts to their workers, for no longer than needed."""

from tarragonlb.scheduling.job import Step, TaskKey
from tarragonlb.scheduling.openstarts import NO_OPEN_STARTS
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.task import (
    StartStage,
    TaskPhase,
    TaskState,
)
from tarragonlb.scheduling.worker import (
    RunningAttempt,
    WorkerReport,
    WorkerState,
)

# The next owner counts the time left of open starts from its reading, so it is
# stored again this often.
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


def resume_attempt(
    partition: PartitionState,
    worker: WorkerState,
    row: RunningAttempt,
    report: WorkerReport,
) -> TaskState | None:
    """Attach a waiting task again if a report lists its last attempt.

    Its start was open, and has been executed after all.  Return None if the
    attempt is none that a task waits for.  The members of a gang work together
    only, so one by itself is not resumed.
    """
    state = partition.open_jobs.get(row.key.job_id)
    task = None if state is None else state.find(row.key)
    worker_id = worker.entry.worker_id
    if task is None or task.phase is not TaskPhase.WAITING:
        return None
    is_last = task.attempt == row.attempt
    is_open = task.open_starts.find(row.attempt, worker_id) is not None
    if not (is_last and is_open) or partition.find_step(row.key).is_gang:
        return None
    task.place(worker_id, report.incarnation, row.attempt, report.requested_at)
    task.settled_at = report.requested_at
    partition.attach(worker, row.key, task)
    partition.note_changed(partition.jobs[row.key.job_id])
    return task


def release_to_repeat(
    partition: PartitionState,
    key: TaskKey,
    task: TaskState,
    reason: str,
    now: float,
) -> None:
    """Release a task whose attempt the next order may be for."""
    is_same = may_repeat_attempt(partition.find_step(key), task)
    partition.release(key, task, reason, now)
    if is_same:
        task.replace_open_starts(task.open_starts.repeat(task.attempt))


def find_full_worker(
    partition: PartitionState, step: Step, task: TaskState
) -> str:
    """Return the worker to which a task is bound and that has no room for it.

    Empty if there is none.
    """
    for start in task.open_starts.starts:
        worker = partition.workers.get(start.worker_id)
        is_allowed = task.open_starts.allow(start.worker_id)
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
