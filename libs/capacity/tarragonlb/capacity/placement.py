"""Jobs: which queued one starts next, and on which VM.

Urgent jobs go first, then those with the earliest deadline.  A job that is
larger than every VM of its pool is set aside with the reason.  A size that
found no room is not tried again in the same round, so a long queue costs one
comparison a job.
"""

from tarragonlb.capacity.action import Action, Commit
from tarragonlb.capacity.rooms import PoolRooms, Size, never_fits
from tarragonlb.capacity.view import Round
from tarragonlb.model.entry import JobEntry
from tarragonlb.model.job import JobSetAside, JobStarted


def place_jobs(turn: Round, pool: str, rooms: PoolRooms) -> list[Action]:
    """Return the starts of a pool's queued jobs, most pressing first."""
    queued = turn.view.jobs.list_queued(pool)
    queued.sort(key=_rank)
    misfits: set[Size] = set()
    actions: list[Action] = []
    for job in queued:
        if any(size.is_within(job.spec) for size in misfits):
            continue
        vm_id = rooms.take(job.spec)
        if vm_id:
            actions.append(Commit(_start(turn, job, vm_id)))
        else:
            misfits.add(Size(job.spec.cores, job.spec.memory_gb))
    actions.extend(_set_aside_misfits(turn, pool, queued, misfits))
    return actions


def _set_aside_misfits(
    turn: Round, pool: str, queued: list[JobEntry], misfits: set[Size]
) -> list[Action]:
    waiting = [
        job
        for job in queued
        if any(size.is_within(job.spec) for size in misfits)
    ]
    sizes = {Size(job.spec.cores, job.spec.memory_gb) for job in waiting}
    never = {size for size in sizes if never_fits(turn.view, pool, size)}
    return [
        Commit(_set_aside(turn, job))
        for job in waiting
        if Size(job.spec.cores, job.spec.memory_gb) in never
    ]


def _rank(job: JobEntry) -> tuple[bool, float, int]:
    due = job.spec.head.written_at + job.spec.deadline_seconds
    return (not job.spec.urgent, due, job.offset)


def _start(turn: Round, job: JobEntry, vm_id: str) -> JobStarted:
    return JobStarted(
        head=turn.sign(),
        job_id=job.spec.job_id,
        attempt=job.attempt + 1,
        vm_id=vm_id,
        lease_seconds=turn.view.fleet.job_lease_seconds,
        term=turn.view.term,
        boot=turn.view.vm_readings[vm_id].boot,
    )


def _set_aside(turn: Round, job: JobEntry) -> JobSetAside:
    spec = job.spec
    return JobSetAside(
        head=turn.sign(),
        job_id=spec.job_id,
        reason=(
            f'{spec.cores} cores and {spec.memory_gb} GB are more than any '
            f'VM of pool {spec.pool} has'
        ),
    )
