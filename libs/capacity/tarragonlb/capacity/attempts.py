"""Attempts of jobs: started, renewed, stopped, and seen to have ended.

An attempt is tied to the boot of its VM at the start record.  The platform
refuses its task after a restart, so a later boot shows that it has ended and
can't begin any more.  A task that a drained VM never got is kept from ever
starting before its job is queued again.
"""

import heapq
import zlib
from types import MappingProxyType

from tarragonlb.capacity.action import Action, Commit, StartTask, StopTask
from tarragonlb.capacity.view import FleetView, Round, find_job_id, name_task
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
MAX_CHECKSUM = 2**32

_OUTCOMES = MappingProxyType(
    {
        TaskPhase.SUCCEEDED: JobOutcome.SUCCEEDED,
        TaskPhase.FAILED: JobOutcome.FAILED,
        TaskPhase.STOPPED: JobOutcome.STOPPED,
    }
)


class AttemptFollower:
    """Knows when each started job has to be looked at again."""

    __slots__ = ('_due', '_gone', '_order', '_renewals')

    def __init__(self) -> None:
        """Start without any job."""
        self._due: dict[str, float] = {}
        self._order: list[tuple[float, str]] = []
        self._renewals: dict[str, float] = {}
        self._gone: dict[str, float] = {}

    def note(self, job_id: str, due: float) -> None:
        """Look at a job at ``due``, or earlier if that was noted before."""
        known = self._due.get(job_id)
        if known is None or due < known:
            self._due[job_id] = due
            heapq.heappush(self._order, (due, job_id))

    def follow(self, turn: Round) -> list[Action]:
        """Return what the jobs that are due need."""
        actions: list[Action | None] = []
        while self._order and self._order[0][0] <= turn.now:
            due, job_id = heapq.heappop(self._order)
            if self._due.get(job_id) != due:
                continue
            del self._due[job_id]
            job = turn.view.jobs.get(job_id)
            if job and job.phase is JobPhase.STARTED:
                actions.append(self._follow_job(turn, job))
            else:
                self._renewals.pop(job_id, None)
                self._gone.pop(job_id, None)
        return [action for action in actions if action]

    def _follow_job(self, turn: Round, job: JobEntry) -> Action | None:
        task_id = name_task(job)
        task = turn.view.task_readings.get(task_id)
        action = _follow_attempt(turn, job, task_id, task)
        if self._may_outlive(turn, job, action):
            action = None
        if task is None or not isinstance(action, StartTask):
            self.note(job.spec.job_id, turn.now + RETRY_SECONDS)
            return action
        return self._renew(turn, job.spec.job_id, action)

    def _may_outlive(
        self, turn: Round, job: JobEntry, action: Action | None
    ) -> bool:
        """Return whether an attempt may still run on a VM listed as gone.

        A VM that is only out of sight runs on until the platform's own lease
        has ended, counted on this process's clock from the first sight.
        """
        job_id = job.spec.job_id
        vm = turn.view.vm_readings.get(job.vm_id)
        gone = vm is not None and vm.phase is VmPhase.GONE
        if not gone or vm is None or vm.boot > job.boot:
            self._gone.pop(job_id, None)
            return False
        if not _is_lost(action):
            return False
        since = self._gone.setdefault(job_id, turn.now)
        limit = choose_lease_seconds(turn.view) + LEASE_DRIFT_SECONDS
        return turn.now - since < limit

    def _renew(
        self, turn: Round, job_id: str, step: StartTask
    ) -> Action | None:
        """Return a renewal if it is due.

        The first one that this process makes is put off by a share of the
        pause that differs by job, so that renewals are spread.
        """
        pause = step.lease_seconds / RENEWALS_PER_LEASE
        due = self._renewals.get(job_id)
        if due is None:
            due = turn.now + pause * _spread(job_id)
        is_due = due <= turn.now
        if is_due:
            due = turn.now + pause
        self._renewals[job_id] = due
        self.note(job_id, due)
        return step if is_due else None


def choose_lease_seconds(view: FleetView) -> float:
    """Return the seconds of a lease.

    It grows with the attempts to renew, so that renewals stay within the
    calls a second that the settings allow.  No promise rests on its length:
    attempts end by evidence.
    """
    limit = view.fleet.max_renewals_per_second
    renewals = RENEWALS_PER_LEASE * view.jobs.count_started()
    return max(view.fleet.job_lease_seconds, renewals / limit)


def note_tasks(follower: AttemptFollower, turn: Round) -> None:
    """Look at the jobs whose tasks were reported anew."""
    for task_id in turn.view.task_readings.take_changed():
        follower.note(find_job_id(task_id), turn.now)


def _is_lost(action: Action | None) -> bool:
    return (
        isinstance(action, Commit)
        and isinstance(action.record, JobEnded)
        and action.record.outcome is JobOutcome.LOST
    )


def _spread(job_id: str) -> float:
    """Return a share from 0 to 1 that is the same for a job everywhere."""
    return zlib.crc32(job_id.encode()) / MAX_CHECKSUM


def _follow_attempt(
    turn: Round, job: JobEntry, task_id: str, task: TaskReading | None
) -> Action | None:
    if task and task.phase is not TaskPhase.RUNNING:
        return Commit(_end(turn, job, task))
    vm = turn.view.vm_readings.get(job.vm_id)
    if vm is None:
        return None
    if vm.phase is VmPhase.GONE or vm.boot > job.boot:
        return Commit(_lose(turn, job, vm))
    never_got = task is None and vm.phase is VmPhase.DRAINED
    if job.cancelled or never_got:
        return StopTask(job.vm_id, job.boot, task_id)
    lease = choose_lease_seconds(turn.view)
    return StartTask(job.vm_id, job.boot, task_id, job.spec.payload, lease)


def _end(turn: Round, job: JobEntry, task: TaskReading) -> JobEnded:
    outcome = _OUTCOMES[task.phase]
    if outcome is JobOutcome.STOPPED and not task.began:
        outcome = JobOutcome.NOT_BEGUN
    return JobEnded(
        head=turn.sign(),
        job_id=job.spec.job_id,
        attempt=job.attempt,
        outcome=outcome,
        output=task.output,
    )


def _lose(turn: Round, job: JobEntry, vm: VmReading) -> JobEnded:
    gone = vm.phase is VmPhase.GONE
    event = 'is gone' if gone else f'was restarted (boot {vm.boot})'
    return JobEnded(
        head=turn.sign(),
        job_id=job.spec.job_id,
        attempt=job.attempt,
        outcome=JobOutcome.LOST,
        output=f'attempt {job.attempt} may have run: {vm.vm_id} {event}',
        boot=vm.boot,
        gone=gone,
    )
