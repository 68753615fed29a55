"""Planner: one round of all capacity decisions.

The planner examines only what has changed since its last round, what is due,
and earlier decisions whose effect it has not seen yet.  An action that is lost
is therefore decided again.
"""

from dataclasses import dataclass

from tarragonlb.capacity.action import Action
from tarragonlb.capacity.adoption import (
    find_pools_with_uncharged,
    is_settled,
    reconcile_vm,
)
from tarragonlb.capacity.attempts import AttemptTracker, schedule_changed_tasks
from tarragonlb.capacity.draining import DrainClock, advance_charged_vms
from tarragonlb.capacity.estimates import RunTimeEstimates
from tarragonlb.capacity.freecapacity import CapacityIndex
from tarragonlb.capacity.maintenance import advance_waves
from tarragonlb.capacity.moves import MoveClock, decide_moves
from tarragonlb.capacity.placement import Placement
from tarragonlb.capacity.view import FleetView, RoundContext
from tarragonlb.capacity.vmfailures import VmFailures
from tarragonlb.model.entry import JobEntry, JobPhase
from tarragonlb.model.recordhead import HeadFactory


@dataclass(frozen=True, slots=True)
class StartedJob:
    """A job when its start was first seen, and the time of that."""

    entry: JobEntry
    seen_at: float


class Planner:
    """Plans for one process; a new planner starts without memory."""

    __slots__ = (
        '_attempts',
        '_capacity',
        '_drain_clock',
        '_failures',
        '_head_factory',
        '_move_clock',
        '_pending_pools',
        '_pending_vms',
        '_run_times',
        '_started_jobs',
    )

    def __init__(self, head_factory: HeadFactory) -> None:
        """Create record heads with ``head_factory``."""
        self._head_factory = head_factory
        self._drain_clock = DrainClock()
        self._move_clock = MoveClock()
        self._attempts = AttemptTracker()
        self._capacity = CapacityIndex()
        self._failures = VmFailures()
        self._run_times = RunTimeEstimates()
        self._started_jobs: dict[str, StartedJob] = {}
        self._pending_vms: list[str] = []
        self._pending_pools: dict[str, None] = {}

    def decide(
        self, view: FleetView, now: float, wall_time: float
    ) -> list[Action]:
        """Return all actions that follow from the view.

        ``now`` is the monotonic and ``wall_time`` the wall-clock time in
        seconds.
        """
        context = RoundContext(view, self._head_factory, now, wall_time)
        schedule_changed_tasks(self._attempts, context)
        self._track_vms(context)
        self._track_jobs(context)
        return [
            *self._reconcile_vms(context),
            *advance_charged_vms(context, self._drain_clock),
            *advance_waves(context),
            *decide_moves(context, self._move_clock),
            *self._attempts.check_due(context),
            *self._place(context),
        ]

    def _track_vms(self, context: RoundContext) -> None:
        view = context.view
        changed = {
            **dict.fromkeys(view.vms.take_changed()),
            **dict.fromkeys(view.vm_readings.take_changed()),
        }
        if changed:
            self._pending_vms = list(
                {**dict.fromkeys(self._pending_vms), **changed}
            )
        for vm_id in changed:
            self._refresh(view, vm_id)
            for job in view.jobs.list_started(vm_id):
                self._attempts.schedule(job.spec.job_id, context.now)

    def _track_jobs(self, context: RoundContext) -> None:
        for job_id in context.view.jobs.take_changed():
            job = context.view.jobs.get(job_id)
            started = self._started_jobs.pop(job_id, None)
            if started:
                self._refresh(context.view, started.entry.vm_id)
            if started and job and job.phase is not JobPhase.STARTED:
                self._record_end(started, job, context.now)
            if job:
                self._track_job(context, job)

    def _track_job(self, context: RoundContext, job: JobEntry) -> None:
        if job.phase is JobPhase.QUEUED:
            self._pending_pools[job.spec.pool] = None
        elif job.phase is JobPhase.STARTED:
            self._started_jobs[job.spec.job_id] = StartedJob(job, context.now)
            self._refresh(context.view, job.vm_id)
            self._attempts.schedule(job.spec.job_id, context.now)

    def _record_end(
        self, started: StartedJob, job: JobEntry, now: float
    ) -> None:
        spec = job.spec
        failed = job.failures > started.entry.failures
        succeeded = job.phase is JobPhase.SUCCEEDED
        if failed or succeeded:
            vm_id = started.entry.vm_id
            self._failures.record(vm_id, spec.kind, now, failed=failed)
        if succeeded:
            self._run_times.record(
                spec.team,
                spec.kind,
                declared=spec.declared_seconds,
                measured=now - started.seen_at,
            )

    def _refresh(self, view: FleetView, vm_id: str) -> None:
        self._capacity.refresh(view, vm_id)
        entry = view.vms.get(vm_id)
        if entry:
            self._pending_pools[entry.pool] = None

    def _reconcile_vms(self, context: RoundContext) -> list[Action]:
        actions: list[Action] = []
        self._pending_vms = [
            vm_id
            for vm_id in self._pending_vms
            if not is_settled(context.view, vm_id)
        ]
        held_pools = find_pools_with_uncharged(context.view, self._pending_vms)
        for vm_id in self._pending_vms:
            actions.extend(reconcile_vm(context, vm_id, held_pools))
        return actions

    def _place(self, context: RoundContext) -> list[Action]:
        actions: list[Action] = []
        for pool in list(self._pending_pools):
            capacity = self._capacity.start_round(
                pool, context.view, self._failures, context.now
            )
            placements = Placement(context, capacity, self._run_times).run(pool)
            queued = context.view.jobs.has_queued(pool)
            needs_probes = queued and self._failures.has_suspects()
            if not placements and not needs_probes:
                del self._pending_pools[pool]
            actions.extend(placements)
        return actions
