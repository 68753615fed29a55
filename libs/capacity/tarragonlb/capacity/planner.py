"""One round of all decisions on capacity.

The planner looks only at what changed since its last round, at what is due,
and at what it decided before without having seen the effect.  An action that
is lost is therefore decided again.
"""

from dataclasses import dataclass

from tarragonlb.capacity.action import Action
from tarragonlb.capacity.adoption import (
    find_uncharged,
    follow_vm,
    is_settled,
)
from tarragonlb.capacity.attempts import AttemptFollower, note_tasks
from tarragonlb.capacity.draining import DrainClock, return_vms
from tarragonlb.capacity.estimates import RunTimeBook
from tarragonlb.capacity.freecapacity import RoomBook
from tarragonlb.capacity.maintenance import advance_waves
from tarragonlb.capacity.moves import MoveClock, decide_moves
from tarragonlb.capacity.placement import Placement
from tarragonlb.capacity.view import FleetView, Round
from tarragonlb.capacity.vmfailures import WorkerBook
from tarragonlb.model.entry import JobEntry, JobPhase
from tarragonlb.model.recordhead import HeadFactory


@dataclass(frozen=True, slots=True)
class StartedJob:
    """A job as it was when its start was seen, and when that was."""

    entry: JobEntry
    since: float


class Planner:
    """Decides for one process; a new one starts with nothing remembered."""

    __slots__ = (
        '_clock',
        '_follower',
        '_head_factory',
        '_home',
        '_moves',
        '_pools',
        '_rooms',
        '_run_times',
        '_vms',
        '_workers',
    )

    def __init__(self, head_factory: HeadFactory) -> None:
        """Sign records with ``head_factory``."""
        self._head_factory = head_factory
        self._clock = DrainClock()
        self._moves = MoveClock()
        self._follower = AttemptFollower()
        self._rooms = RoomBook()
        self._workers = WorkerBook()
        self._run_times = RunTimeBook()
        self._home: dict[str, StartedJob] = {}
        self._vms: list[str] = []
        self._pools: dict[str, None] = {}

    def decide(self, view: FleetView, now: float, wall: float) -> list[Action]:
        """Return all actions that the view gives reason for.

        ``now`` is monotonic and ``wall`` the wall-clock time, in seconds.
        """
        turn = Round(view, self._head_factory, now, wall)
        note_tasks(self._follower, turn)
        self._note_vms(turn)
        self._note_jobs(turn)
        return [
            *self._follow_vms(turn),
            *return_vms(turn, self._clock),
            *advance_waves(turn),
            *decide_moves(turn, self._moves),
            *self._follower.follow(turn),
            *self._place(turn),
        ]

    def _note_vms(self, turn: Round) -> None:
        view = turn.view
        changed = {
            **dict.fromkeys(view.vms.take_changed()),
            **dict.fromkeys(view.vm_readings.take_changed()),
        }
        if changed:
            self._vms = list({**dict.fromkeys(self._vms), **changed})
        for vm_id in changed:
            self._refresh(view, vm_id)
            for job in view.jobs.list_started(vm_id):
                self._follower.note(job.spec.job_id, turn.now)

    def _note_jobs(self, turn: Round) -> None:
        for job_id in turn.view.jobs.take_changed():
            job = turn.view.jobs.get(job_id)
            left = self._home.pop(job_id, None)
            if left:
                self._refresh(turn.view, left.entry.vm_id)
            if left and job and job.phase is not JobPhase.STARTED:
                self._note_end(left, job, turn.now)
            if job:
                self._note_job(turn, job)

    def _note_job(self, turn: Round, job: JobEntry) -> None:
        if job.phase is JobPhase.QUEUED:
            self._pools[job.spec.pool] = None
        elif job.phase is JobPhase.STARTED:
            self._home[job.spec.job_id] = StartedJob(job, turn.now)
            self._refresh(turn.view, job.vm_id)
            self._follower.note(job.spec.job_id, turn.now)

    def _note_end(self, left: StartedJob, job: JobEntry, now: float) -> None:
        spec = job.spec
        failed = job.failures > left.entry.failures
        succeeded = job.phase is JobPhase.SUCCEEDED
        if failed or succeeded:
            vm_id = left.entry.vm_id
            self._workers.note(vm_id, spec.kind, now, failed=failed)
        if succeeded:
            self._run_times.note(
                spec.team,
                spec.kind,
                declared=spec.declared_seconds,
                seen=now - left.since,
            )

    def _refresh(self, view: FleetView, vm_id: str) -> None:
        self._rooms.refresh(view, vm_id)
        entry = view.vms.get(vm_id)
        if entry:
            self._pools[entry.pool] = None

    def _follow_vms(self, turn: Round) -> list[Action]:
        actions: list[Action] = []
        self._vms = [
            vm_id for vm_id in self._vms if not is_settled(turn.view, vm_id)
        ]
        held = find_uncharged(turn.view, self._vms)
        for vm_id in self._vms:
            actions.extend(follow_vm(turn, vm_id, held))
        return actions

    def _place(self, turn: Round) -> list[Action]:
        actions: list[Action] = []
        for pool in list(self._pools):
            rooms = self._rooms.open_pool(
                pool, turn.view, self._workers, turn.now
            )
            steps = Placement(turn, rooms, self._run_times).run(pool)
            queued = turn.view.jobs.has_queued(pool)
            probes = queued and self._workers.has_suspects()
            if not steps and not probes:
                del self._pools[pool]
            actions.extend(steps)
        return actions
