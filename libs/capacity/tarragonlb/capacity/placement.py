"""Jobs: which queued one starts next, and on which VM.

Urgent jobs go first, then those with the earliest deadline.  A job that is
larger than every VM of its pool is set aside with the reason.
"""

from dataclasses import dataclass

from tarragonlb.capacity.action import Action, Commit, StartTask, StopTask
from tarragonlb.capacity.view import (
    FleetView,
    is_usable,
    list_started,
    name_task,
)
from tarragonlb.model.entry import JobEntry, JobPhase
from tarragonlb.model.fleet import TaskPhase, VmReading
from tarragonlb.model.job import (
    JobEnded,
    JobOutcome,
    JobSetAside,
    JobStarted,
    JobSubmitted,
)
from tarragonlb.model.scribe import Scribe

_OUTCOMES = (
    (TaskPhase.SUCCEEDED, JobOutcome.SUCCEEDED),
    (TaskPhase.FAILED, JobOutcome.FAILED),
    (TaskPhase.STOPPED, JobOutcome.STOPPED),
)


@dataclass(slots=True)
class Room:
    """What is free on a VM: cores and gigabytes."""

    vm_id: str
    cores: int
    memory_gb: int

    def fits(self, spec: JobSubmitted) -> bool:
        """Return whether a job can start here now."""
        return self.cores >= spec.cores and self.memory_gb >= spec.memory_gb

    def take(self, spec: JobSubmitted) -> None:
        """Give a job its share."""
        self.cores -= spec.cores
        self.memory_gb -= spec.memory_gb


def place_jobs(view: FleetView, scribe: Scribe, now: float) -> list[Action]:
    """Return the starts of queued jobs that fit, most pressing first."""
    rooms = _list_rooms(view)
    queued = [job for job in view.jobs.values() if job.phase is JobPhase.QUEUED]
    queued.sort(key=_rank)
    actions: list[Action] = []
    for job in queued:
        pool_rooms = rooms.get(job.spec.pool, [])
        room = next((spot for spot in pool_rooms if spot.fits(job.spec)), None)
        if room:
            room.take(job.spec)
            actions.append(Commit(_start(view, job, room, scribe, now)))
        elif _never_fits(view, job.spec):
            actions.append(Commit(_set_aside(view, job, scribe, now)))
    return actions


def follow_tasks(view: FleetView, scribe: Scribe, now: float) -> list[Action]:
    """Return what the running attempts need: a start, a stop or an end."""
    actions: list[Action] = []
    for job in list_started(view):
        vm = view.vm_readings.get(job.vm_id)
        task = view.task_readings.get(name_task(job))
        if task is None or task.phase is TaskPhase.RUNNING:
            actions.extend(_keep_running(view, job, vm))
            continue
        for phase, outcome in _OUTCOMES:
            if task.phase is phase:
                ended = JobEnded(
                    head=scribe.sign(view.offset, now),
                    job_id=job.spec.job_id,
                    attempt=job.attempt,
                    outcome=outcome,
                    output=task.output,
                )
                actions.append(Commit(ended))
    return actions


def _keep_running(
    view: FleetView, job: JobEntry, vm: VmReading | None
) -> list[Action]:
    if vm is None:
        return []
    if job.cancelled:
        return [StopTask(job.vm_id, vm.boot, name_task(job))]
    return [
        StartTask(
            job.vm_id,
            vm.boot,
            name_task(job),
            job.spec.payload,
            view.fleet.job_lease_seconds,
        )
    ]


def _list_rooms(view: FleetView) -> dict[str, list[Room]]:
    rooms: dict[str, Room] = {}
    pools: dict[str, list[Room]] = {}
    for vm_id, entry in view.vms.items():
        if is_usable(view, vm_id):
            reading = view.vm_readings[vm_id]
            rooms[vm_id] = Room(vm_id, reading.cores, reading.memory_gb)
            pools.setdefault(entry.pool, []).append(rooms[vm_id])
    for job in list_started(view):
        spot = rooms.get(job.vm_id)
        if spot:
            spot.take(job.spec)
    return pools


def _rank(job: JobEntry) -> tuple[bool, float, int]:
    due = job.spec.head.written_at + job.spec.deadline_seconds
    return (not job.spec.urgent, due, job.offset)


def _never_fits(view: FleetView, spec: JobSubmitted) -> bool:
    sizes = [
        Room(vm_id, reading.cores, reading.memory_gb)
        for vm_id, reading in view.vm_readings.items()
        if vm_id in view.vms and view.vms[vm_id].pool == spec.pool
    ]
    return bool(sizes) and not any(size.fits(spec) for size in sizes)


def _start(
    view: FleetView, job: JobEntry, room: Room, scribe: Scribe, now: float
) -> JobStarted:
    return JobStarted(
        head=scribe.sign(view.offset, now),
        job_id=job.spec.job_id,
        attempt=job.attempt + 1,
        vm_id=room.vm_id,
        lease_seconds=view.fleet.job_lease_seconds,
        term=view.term,
    )


def _set_aside(
    view: FleetView, job: JobEntry, scribe: Scribe, now: float
) -> JobSetAside:
    spec = job.spec
    return JobSetAside(
        head=scribe.sign(view.offset, now),
        job_id=spec.job_id,
        reason=(
            f'{spec.cores} cores and {spec.memory_gb} GB are more than any '
            f'VM of pool {spec.pool} has'
        ),
    )
