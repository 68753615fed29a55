"""Quotas of teams, borrowing of idle quota, and its return.

A team's jobs within its quota are placed first.  What is still free may be
borrowed by jobs beyond their quota.  It is returned by stopping attempts that
can be repeated: for any job within its quota, those of teams beyond theirs;
for an urgent one, any patient one as well.
"""

from tarragonlb.capacity.freecapacity import Room
from tarragonlb.capacity.view import FleetView, is_usable
from tarragonlb.model.entry import JobEntry
from tarragonlb.model.job import JobSubmitted


class QuotaBook:
    """Cores in use by team, with what one round has given away."""

    __slots__ = ('_given', '_view')

    def __init__(self, view: FleetView) -> None:
        """Start with what the fold knows."""
        self._view = view
        self._given: dict[str, int] = {}

    def is_within(self, spec: JobSubmitted) -> bool:
        """Return whether a job is within its team's quota if it starts."""
        quota = self._find_quota(spec.team)
        return not quota or self._count(spec.team) + spec.cores <= quota

    def is_beyond(self, team: str) -> bool:
        """Return whether a team uses more than its quota."""
        quota = self._find_quota(team)
        return bool(quota) and self._count(team) > quota

    def take(self, spec: JobSubmitted) -> None:
        """Count a job that starts."""
        self._given[spec.team] = self._given.get(spec.team, 0) + spec.cores

    def give_back(self, spec: JobSubmitted) -> None:
        """Count a job that is stopped."""
        self._given[spec.team] = self._given.get(spec.team, 0) - spec.cores

    def _count(self, team: str) -> int:
        return self._view.jobs.count_cores(team) + self._given.get(team, 0)

    def _find_quota(self, team: str) -> int:
        settings = self._view.teams.get(team)
        return settings.quota.cores if settings else 0


def choose_stops(
    view: FleetView, quotas: QuotaBook, wanting: JobSubmitted
) -> list[JobEntry]:
    """Return the attempts to stop so that a job gets room on one VM.

    The VM on which the fewest have to stop is chosen; empty if there is none.
    """
    best: list[JobEntry] = []
    for vm_id in view.vms.list_pool_vms(wanting.pool):
        stops = _choose_on(view, quotas, wanting, vm_id)
        if stops and (not best or len(stops) < len(best)):
            best = stops
    return best


def _choose_on(
    view: FleetView, quotas: QuotaBook, wanting: JobSubmitted, vm_id: str
) -> list[JobEntry]:
    if not is_usable(view, vm_id):
        return []
    reading = view.vm_readings[vm_id]
    room = Room(vm_id, reading.cores, reading.memory_gb)
    started = view.jobs.list_started(vm_id)
    for job in started:
        room.take(job.spec)
    stops: list[JobEntry] = []
    for job in sorted(started, key=lambda one: -one.offset):
        if room.fits(wanting):
            break
        if _may_stop(quotas, wanting, job):
            room.give_back(job.spec)
            stops.append(job)
    return stops if room.fits(wanting) else []


def _may_stop(quotas: QuotaBook, wanting: JobSubmitted, job: JobEntry) -> bool:
    if not job.spec.idempotent or job.spec.urgent:
        return False
    return wanting.urgent or quotas.is_beyond(job.spec.team)
