"""Jobs: which queued one starts next, and on which VM.

Urgent jobs go first, then those that have to start earliest to meet their
deadline; jobs beyond their team's quota come after all others.  A job that is
larger than every VM of its pool is set aside with the reason.  A size that
found no room is not tried again in the same round, so a long queue costs one
comparison a job.
"""

from collections.abc import Iterable

from tarragonlb.capacity.action import Action, Commit, StopTask
from tarragonlb.capacity.attempts import choose_lease_seconds
from tarragonlb.capacity.estimates import RunTimeBook
from tarragonlb.capacity.freecapacity import PoolRooms, Size, never_fits
from tarragonlb.capacity.quotas import QuotaBook, choose_stops
from tarragonlb.capacity.view import Round, name_task
from tarragonlb.model.entry import JobEntry
from tarragonlb.model.job import JobSetAside, JobStarted


class Placement:
    """Places the queued jobs of one pool in one round."""

    __slots__ = (
        '_actions',
        '_misfits',
        '_quotas',
        '_rooms',
        '_run_times',
        '_turn',
    )

    def __init__(
        self, turn: Round, rooms: PoolRooms, run_times: RunTimeBook
    ) -> None:
        """Place into the rooms of a pool."""
        self._turn = turn
        self._run_times = run_times
        self._rooms = rooms
        self._quotas = QuotaBook(turn.view)
        self._misfits: set[Size] = set()
        self._actions: list[Action] = []

    def run(self, pool: str) -> list[Action]:
        """Return starts, stops of borrowers, and jobs set aside."""
        queued = self._turn.view.jobs.list_queued(pool)
        queued.sort(key=self._rank)
        beyond: list[JobEntry] = []
        waiting: list[JobEntry] = []
        for job in queued:
            if not self._quotas.is_within(job.spec):
                beyond.append(job)
            elif not self._start(job):
                waiting.append(job)
        self._actions.extend(self._reclaim(waiting))
        waiting.extend(job for job in beyond if not self._start(job))
        self._actions.extend(self._set_aside(pool, waiting))
        return self._actions

    def _rank(self, job: JobEntry) -> tuple[bool, float, int]:
        spec = job.spec
        seconds = self._run_times.estimate(
            spec.team, spec.kind, declared=spec.declared_seconds
        )
        due = spec.head.written_at + spec.deadline_seconds
        return (not spec.urgent, due - seconds, job.offset)

    def _start(self, job: JobEntry) -> bool:
        spec = job.spec
        if any(size.is_within(spec) for size in self._misfits):
            return False
        vm_id = self._rooms.take(spec)
        if vm_id is None:
            self._misfits.add(Size(spec.cores, spec.memory_gb))
            return False
        self._quotas.take(spec)
        self._actions.append(Commit(_start(self._turn, job, vm_id)))
        return True

    def _reclaim(self, waiting: Iterable[JobEntry]) -> list[Action]:
        """Return the stops for the first job that can be helped by some."""
        for job in waiting:
            stops = choose_stops(self._turn.view, self._quotas, job.spec)
            if stops:
                return [
                    StopTask(stop.vm_id, stop.boot, name_task(stop))
                    for stop in stops
                ]
        return []

    def _set_aside(self, pool: str, waiting: list[JobEntry]) -> list[Action]:
        view = self._turn.view
        sizes = {Size(job.spec.cores, job.spec.memory_gb) for job in waiting}
        never = {size for size in sizes if never_fits(view, pool, size)}
        return [
            Commit(_set_aside(self._turn, job))
            for job in waiting
            if Size(job.spec.cores, job.spec.memory_gb) in never
        ]


def _start(turn: Round, job: JobEntry, vm_id: str) -> JobStarted:
    return JobStarted(
        head=turn.sign(),
        job_id=job.spec.job_id,
        attempt=job.attempt + 1,
        vm_id=vm_id,
        lease_seconds=choose_lease_seconds(turn.view),
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
