"""Attempts of jobs: start, lease renewal, stop, and detection of the end.

The start record ties an attempt to the boot of its VM.  The platform refuses
the task after a reboot, so a later boot proves that the attempt has ended and
can't begin any more.  If a drained VM never received the task, the task is
stopped for good before its job is queued again.
"""

import heapq
import zlib
from types import MappingProxyType

from tarragonlb.capacity.action import Action, Commit, StartTask, StopTask
from tarragonlb.capacity.view import (
    FleetView,
    RoundContext,
    make_task_id,
    parse_job_id,
)
from tarragonlb.model.entry import JobEntry, JobPhase
from tarragonlb.model.fleet import (
    TaskPhase,
    TaskReading,
    VmPhase,
    VmReading,
)
from tarragonlb.model.job import JobEnded, JobOutcome

RETRY_SECONDS = 1.0
RENEWALS_PER_LEASE = 3
LEASE_DRIFT_SECONDS = 2.0
CHECKSUM_RANGE = 2**32

_OUTCOMES = MappingProxyType(
    {
        TaskPhase.SUCCEEDED: JobOutcome.SUCCEEDED,
        TaskPhase.FAILED: JobOutcome.FAILED,
        TaskPhase.STOPPED: JobOutcome.STOPPED,
    }
)


class AttemptTracker:
    """Schedules when each started job has to be checked again."""

    __slots__ = ('_due_at', '_gone_since', '_heap', '_renewal_due_at')

    def __init__(self) -> None:
        """Start without jobs."""
        self._due_at: dict[str, float] = {}
        self._heap: list[tuple[float, str]] = []
        self._renewal_due_at: dict[str, float] = {}
        self._gone_since: dict[str, float] = {}

    def schedule(self, job_id: str, due: float) -> None:
        """Check a job at ``due``, or earlier if already scheduled so."""
        scheduled = self._due_at.get(job_id)
        if scheduled is None or due < scheduled:
            self._due_at[job_id] = due
            heapq.heappush(self._heap, (due, job_id))

    def check_due(self, context: RoundContext) -> list[Action]:
        """Return the actions of the jobs that are due."""
        actions: list[Action | None] = []
        while self._heap and self._heap[0][0] <= context.now:
            due, job_id = heapq.heappop(self._heap)
            if self._due_at.get(job_id) != due:
                continue
            del self._due_at[job_id]
            job = context.view.jobs.get(job_id)
            if job and job.phase is JobPhase.STARTED:
                actions.append(self._check_job(context, job))
            else:
                self._renewal_due_at.pop(job_id, None)
                self._gone_since.pop(job_id, None)
        return [action for action in actions if action]

    def _check_job(self, context: RoundContext, job: JobEntry) -> Action | None:
        task_id = make_task_id(job)
        task = context.view.task_readings.get(task_id)
        action = _decide_attempt(context, job, task_id, task)
        if self._may_still_run(context, job, action):
            action = None
        if task is None or not isinstance(action, StartTask):
            self.schedule(job.spec.job_id, context.now + RETRY_SECONDS)
            return action
        return self._renew(context, job.spec.job_id, action)

    def _may_still_run(
        self, context: RoundContext, job: JobEntry, action: Action | None
    ) -> bool:
        """Return whether an attempt may still run on a VM listed as gone.

        A VM that the platform only lost sight of runs on until the platform's
        own lease ends.  The lease is counted on the clock of this process from
        the time at which the VM was first seen as gone.
        """
        job_id = job.spec.job_id
        vm = context.view.vm_readings.get(job.vm_id)
        is_gone = vm is not None and vm.phase is VmPhase.GONE
        if not is_gone or vm is None or vm.boot > job.boot:
            self._gone_since.pop(job_id, None)
            return False
        if not _is_lost_record(action):
            return False
        since = self._gone_since.setdefault(job_id, context.now)
        limit = choose_lease_seconds(context.view) + LEASE_DRIFT_SECONDS
        return context.now - since < limit

    def _renew(
        self, context: RoundContext, job_id: str, renewal: StartTask
    ) -> Action | None:
        """Return a renewal if it is due.

        The first renewal by this process is delayed by a share of the interval
        that differs by job, so that renewals are spread.
        """
        interval = renewal.lease_seconds / RENEWALS_PER_LEASE
        due = self._renewal_due_at.get(job_id)
        if due is None:
            due = context.now + interval * _hash_to_fraction(job_id)
        is_due = due <= context.now
        if is_due:
            due = context.now + interval
        self._renewal_due_at[job_id] = due
        self.schedule(job_id, due)
        return renewal if is_due else None


def choose_lease_seconds(view: FleetView) -> float:
    """Return the length of a lease in seconds.

    It grows with the number of started attempts, so that renewals stay within
    the ``max_renewals_per_second`` of the settings.  Safety does not depend on
    the length, because an attempt only ends by evidence.
    """
    limit = view.fleet.max_renewals_per_second
    renewals = RENEWALS_PER_LEASE * view.jobs.count_started()
    return max(view.fleet.job_lease_seconds, renewals / limit)


def schedule_changed_tasks(
    tracker: AttemptTracker, context: RoundContext
) -> None:
    """Check the jobs whose tasks have new readings."""
    for task_id in context.view.task_readings.take_changed():
        tracker.schedule(parse_job_id(task_id), context.now)


def _is_lost_record(action: Action | None) -> bool:
    return (
        isinstance(action, Commit)
        and isinstance(action.record, JobEnded)
        and action.record.outcome is JobOutcome.LOST
    )


def _hash_to_fraction(job_id: str) -> float:
    """Return a fraction from 0 to 1 that depends only on the job id."""
    return zlib.crc32(job_id.encode()) / CHECKSUM_RANGE


def _decide_attempt(
    context: RoundContext, job: JobEntry, task_id: str, task: TaskReading | None
) -> Action | None:
    if task and task.phase is not TaskPhase.RUNNING:
        return Commit(_make_ended(context, job, task))
    vm = context.view.vm_readings.get(job.vm_id)
    if vm is None:
        return None
    if vm.phase is VmPhase.GONE or vm.boot > job.boot:
        return Commit(_make_lost(context, job, vm))
    was_never_started = task is None and vm.phase is VmPhase.DRAINED
    if job.cancelled or was_never_started:
        return StopTask(job.vm_id, job.boot, task_id)
    lease = choose_lease_seconds(context.view)
    return StartTask(job.vm_id, job.boot, task_id, job.spec.payload, lease)


def _make_ended(
    context: RoundContext, job: JobEntry, task: TaskReading
) -> JobEnded:
    outcome = _OUTCOMES[task.phase]
    if outcome is JobOutcome.STOPPED and not task.began:
        outcome = JobOutcome.NOT_BEGUN
    return JobEnded(
        head=context.make_head(),
        job_id=job.spec.job_id,
        attempt=job.attempt,
        outcome=outcome,
        output=task.output,
    )


def _make_lost(context: RoundContext, job: JobEntry, vm: VmReading) -> JobEnded:
    is_gone = vm.phase is VmPhase.GONE
    event = 'is gone' if is_gone else f'was restarted (boot {vm.boot})'
    return JobEnded(
        head=context.make_head(),
        job_id=job.spec.job_id,
        attempt=job.attempt,
        outcome=JobOutcome.LOST,
        output=f'attempt {job.attempt} may have run: {vm.vm_id} {event}',
        boot=vm.boot,
        gone=is_gone,
    )
