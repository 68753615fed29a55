"""The state that the owner of a partition keeps: jobs, workers and queues.

Only the owner's main task changes it, through the other modules of this
package.
"""

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass

from tarragonlb.scheduling.evidence import Evidence
from tarragonlb.scheduling.job import Step, TaskKey
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.lookaheadrecord import LookAheadRecord
from tarragonlb.scheduling.openstarts import OpenStart
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.queuehistory import QueueHistory
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.task import (
    StartStage,
    StopReason,
    TaskPhase,
    TaskState,
)
from tarragonlb.scheduling.tenant import NO_TENANTS, TenantTable
from tarragonlb.scheduling.tenantusage import TenantUsage
from tarragonlb.scheduling.worker import Worker, WorkerState
from tarragonlb.scheduling.workerloss import WorkerLoss


@dataclass(frozen=True, slots=True)
class ReleasedAttempt:
    """An attempt that was released, and why, for the log.

    For ``bound_seconds`` a start of the task may still be executed on a later
    incarnation of its worker.
    """

    reason: str
    key: TaskKey
    attempt: int
    worker_id: str
    bound_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class InheritedBound:
    """How long leases that former owners granted on a worker may still last.

    No more than ``remaining_seconds`` from ``read_at``, when this process read
    the bound.
    """

    remaining_seconds: float
    read_at: float

    @property
    def lease_end(self) -> float:
        """Return when the leases have certainly run out."""
        return self.read_at + self.remaining_seconds


class PartitionState:
    """The jobs and workers of the pools of one partition.

    ``changed_jobs`` are the ids of jobs whose progress record is out of date.
    ``begun_jobs`` maps those of which only a first start is not stored yet to
    when that was confirmed; they are stored with others.
    ``released_attempts`` and ``worker_losses`` are still to be logged.
    ``evidence`` is what may count against tasks.
    ``open_jobs`` are the jobs of which tasks may still be started; ``jobs``
    also holds finished ones for as long as their state can be queried.
    ``changed_pools`` are pools whose jobs or workers have changed since tasks
    were last placed there.
    ``reported_workers`` have reported since they were last paced, and
    ``stopping_workers`` may have attempts that are to be stopped.
    ``stored_bounds`` maps the workers whose lease bound is stored, or being
    stored, to its seconds.  ``unknown_paces`` are scavenging attempts whose
    pace is unknown.  ``queue_history`` finds the queues of jobs, also removed
    ones.  ``usage`` is what tenants occupy.  ``look_ahead`` learns
    how long tasks run, None if no policy asks for it.
    """

    __slots__ = (
        '_inherited_bounds',
        'begun_jobs',
        'changed_jobs',
        'changed_pools',
        'evidence',
        'jobs',
        'look_ahead',
        'open_jobs',
        'queue_history',
        'queues',
        'released_attempts',
        'reported_workers',
        'settings',
        'stopping_workers',
        'stored_bounds',
        'taken_over_at',
        'tenants',
        'unknown_paces',
        'usage',
        'worker_losses',
        'workers',
    )

    def __init__(self, settings: SchedulingSettings, now: float) -> None:
        """Start without jobs, after a takeover at ``now`` seconds."""
        self.settings = settings
        self.jobs: dict[str, JobState] = {}
        self.open_jobs: dict[str, JobState] = {}
        self.workers: dict[str, WorkerState] = {}
        self.queues: Mapping[str, Queue] = {}
        self.queue_history = QueueHistory()
        self.tenants: TenantTable = NO_TENANTS
        self.usage = TenantUsage()
        self.changed_jobs: set[str] = set()
        self.begun_jobs: dict[str, float] = {}
        self.changed_pools: set[str] = set()
        self.released_attempts: list[ReleasedAttempt] = []
        self.worker_losses: list[WorkerLoss] = []
        self.evidence = Evidence()
        self.reported_workers: set[str] = set()
        self.stopping_workers: set[str] = set()
        self.unknown_paces: set[tuple[TaskKey, int]] = set()
        self.look_ahead: LookAheadRecord | None = None
        self.taken_over_at = now
        self.stored_bounds: dict[str, float] = {}
        self._inherited_bounds: Mapping[str, InheritedBound] = {}

    def inherit_bounds(self, bounds: Mapping[str, InheritedBound]) -> None:
        """Use the stored lease bounds, before any job or worker is added.

        They must have been read to the end after all former owners were fenced.
        """
        self._inherited_bounds = dict(bounds)
        self.stored_bounds = {
            worker_id: bound.remaining_seconds
            for worker_id, bound in bounds.items()
        }

    def find_former_lease_end(self, worker_id: str) -> float:
        """Return when all leases of former owners on a worker have run out."""
        longest = self.settings.compute_longest_lease()
        latest = self.taken_over_at + longest
        bound = self._inherited_bounds.get(worker_id)
        return latest if bound is None else min(latest, bound.lease_end)

    def add_job(self, state: JobState) -> None:
        """Add a job and attach the attempts that its record says may run."""
        job_id = state.job.job_id
        if job_id in self.jobs:
            return
        self.jobs[job_id] = state
        if state.is_open:
            self.open_jobs[job_id] = state
        self.changed_pools.add(state.job.pool)
        for key, task in state.list_tasks():
            if task.was_copied and task.phase is not TaskPhase.DONE:
                # The former attempt may run, on a worker that is not stored.
                until = (
                    self.taken_over_at + self.settings.compute_longest_lease()
                )
                self.usage.add_until('', key, state.job, until)
            self.evidence.note_restored(key, task, self.taken_over_at)
            if task.is_attached:
                worker = self.find_worker(task.worker_id, state.job.pool)
                self.attach(worker, key, task)
                if state.job.spec.steps[key.step].scavenges:
                    self.unknown_paces.add((key, task.attempt))
                self.stopping_workers.add(task.worker_id)

    def attach(
        self, worker: WorkerState, key: TaskKey, task: TaskState
    ) -> None:
        """Occupy capacity of a worker for the present attempt of a task."""
        worker.attach(key, task, self.find_step(key))
        job = self.jobs[key.job_id].job
        self.usage.add(worker.entry.worker_id, key, job)

    def cancel_job(self, job_id: str, now: float) -> None:
        """Cancel a job and stop all its attempts."""
        state = self.jobs.get(job_id)
        if state is None or state.outcome is not JobOutcome.OPEN:
            return
        state.cancelled = True
        self.close_job(state, JobOutcome.CANCELLED, now)

    def close_job(
        self, state: JobState, outcome: JobOutcome, now: float
    ) -> None:
        """Set the outcome of a job and stop its attempts."""
        state.close(outcome, now)
        self.note_changed(state)
        for _, task in state.list_tasks():
            if task.is_attached:
                self.begin_stop(task, StopReason.JOB_OVER)

    def begin_stop(self, task: TaskState, reason: StopReason) -> None:
        """Have the attempt of an attached task stopped."""
        task.begin_stop(reason)
        self.stopping_workers.add(task.worker_id)

    def update_workers(self, workers: Iterable[Worker]) -> None:
        """Apply the worker directory: all listed workers of these pools."""
        listed = {worker.worker_id: worker for worker in workers}
        for worker_id, state in tuple(self.workers.items()):
            state.is_listed = worker_id in listed
            is_in_use = state.attached or state.orphans or state.doubtful
            if not (state.is_listed or is_in_use):
                self.workers.pop(worker_id)
                self.evidence.complete_reports.pop(worker_id, None)
        for worker_id, worker in listed.items():
            known = self.workers.get(worker_id)
            if known is None:
                self.workers[worker_id] = WorkerState(
                    worker, self.find_former_lease_end(worker_id)
                )
            elif known.entry != worker:
                known.update(worker)
                self.changed_pools.add(worker.pool)

    def apply_drain_requests(self, worker_ids: Container[str]) -> None:
        """Drain the requested workers, and use all others again."""
        for worker_id, worker in self.workers.items():
            is_requested = worker_id in worker_ids
            if worker.is_drain_requested and not is_requested:
                self.changed_pools.add(worker.entry.pool)
                worker.must_report = True
            worker.is_drain_requested = is_requested

    def list_unreachable(self) -> dict[str, float | None]:
        """Return when unreachable workers with attempts last answered, by id.

        None for those that have not answered since the takeover.  Also those
        that may have crashed before their leases ran out.
        """
        return {
            worker_id: worker.last_report_at
            for worker_id, worker in self.workers.items()
            if (worker.attached or worker.doubtful)
            and (worker.is_silent or worker.last_report_at is None)
        }

    def find_worker(self, worker_id: str, pool: str) -> WorkerState:
        """Return a worker; add one that the directory does not list."""
        known = self.workers.get(worker_id)
        if known is None:
            known = WorkerState(
                Worker(worker_id=worker_id, pool=pool),
                self.find_former_lease_end(worker_id),
            )
            known.is_listed = False
            self.workers[worker_id] = known
        return known

    def find_step(self, key: TaskKey) -> Step:
        """Return the step that a task belongs to."""
        spec = self.jobs[key.job_id].job.spec
        return spec.steps[key.step]

    def find_attempt(
        self, key: TaskKey, attempt: int, worker_id: str
    ) -> TaskState | None:
        """Return the task if this attempt of it is the current one."""
        state = self.jobs.get(key.job_id)
        task = None if state is None else state.find(key)
        if task is None or task.attempt != attempt:
            return None
        is_current = task.is_attached and task.worker_id == worker_id
        return task if is_current else None

    def release(
        self, key: TaskKey, task: TaskState, reason: str, now: float
    ) -> None:
        """Return a task to waiting after the end of its attempt.

        A start that is not confirmed may still be executed.
        """
        if task.start_stage is StartStage.STORED:
            _note_open_start(self, key, task, now)
        self.released_attempts.append(
            ReleasedAttempt(
                reason,
                key,
                task.attempt,
                task.worker_id,
                max(task.open_starts.until - now, 0),
            )
        )
        self._detach(key, task)
        task.release()
        self.note_changed(self.jobs[key.job_id])

    def finish(self, key: TaskKey, now: float) -> None:
        """Mark a task, or all tasks of its gang, as done."""
        state = self.jobs[key.job_id]
        step = self.find_step(key)
        for index, task in enumerate(state.get_step(key).tasks):
            if index == key.position or step.is_gang:
                self._detach(key._replace(position=index), task)
        state.finish_task(key, now)
        self.note_changed(state)

    def note_changed(self, state: JobState) -> None:
        """Have the progress of a job stored, and its pool looked at."""
        self.changed_jobs.add(state.job.job_id)
        self.changed_pools.add(state.job.pool)
        if not state.is_open:
            self.open_jobs.pop(state.job.job_id, None)

    def _detach(self, key: TaskKey, task: TaskState) -> None:
        worker = self.workers.get(task.worker_id)
        if worker is not None and task.phase is not TaskPhase.WAITING:
            worker.detach(key)
            self.usage.remove(task.worker_id, key)
            self.changed_pools.add(worker.entry.pool)


def note_begun(partition: PartitionState, job_id: str, now: float) -> None:
    """Have it stored, once, that a worker has started a task of a job."""
    state = partition.jobs[job_id]
    if not state.began:
        state.began = True
        partition.begun_jobs[job_id] = now


def note_confirmed(partition: PartitionState, key: TaskKey, now: float) -> None:
    """Take note that a worker has confirmed the start of a task.

    For a permanent task that is stored.  The next owner would otherwise take
    the start for open, and leave the task for long where its worker is lost.
    """
    note_begun(partition, key.job_id, now)
    if partition.find_step(key).is_permanent:
        partition.begun_jobs.setdefault(key.job_id, now)


def note_limit(partition: PartitionState, state: JobState) -> None:
    """Have it stored how often a task of a job may fail, if that has changed.

    An owner that takes over may find the queue removed.
    """
    queue = partition.queues.get(state.job.queue)
    if queue is not None and queue.max_attempts != state.max_attempts:
        state.max_attempts = queue.max_attempts
        partition.changed_jobs.add(state.job.job_id)


def _note_open_start(
    partition: PartitionState, key: TaskKey, task: TaskState, now: float
) -> None:
    if partition.find_step(key).allows_copies:
        return
    settled_at = now if task.settled_at is None else task.settled_at
    until = settled_at + partition.settings.late_call_seconds
    start = OpenStart(task.attempt, task.worker_id, until)
    task.replace_open_starts(task.open_starts.add(start))
    partition.evidence.bound_tasks[key] = now
