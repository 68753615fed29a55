"""Quotas of teams, and borrowing of unused quota.

Jobs within the quota of their team are placed first.  Capacity that is still
free may be borrowed by jobs over their quota.  It is reclaimed by stopping
attempts that can be repeated: for any job within its quota, those of teams over
their quota; for an urgent job, also any patient ones.
"""

from tarragonlb.capacity.freecapacity import FreeCapacity
from tarragonlb.capacity.view import FleetView, is_usable
from tarragonlb.model.entry import JobEntry
from tarragonlb.model.job import JobSubmitted


class QuotaUsage:
    """Cores in use by team, including the changes of one round."""

    __slots__ = ('_round_cores', '_view')

    def __init__(self, view: FleetView) -> None:
        """Start with the folded state."""
        self._view = view
        self._round_cores: dict[str, int] = {}

    def is_within_quota(self, spec: JobSubmitted) -> bool:
        """Return whether a team is within its quota if a job starts."""
        quota = self._find_quota(spec.team)
        return not quota or self._count_cores(spec.team) + spec.cores <= quota

    def is_over_quota(self, team: str) -> bool:
        """Return whether a team uses more than its quota."""
        quota = self._find_quota(team)
        return bool(quota) and self._count_cores(team) > quota

    def add(self, spec: JobSubmitted) -> None:
        """Add the cores of a job that starts."""
        self._round_cores[spec.team] = (
            self._round_cores.get(spec.team, 0) + spec.cores
        )

    def remove(self, spec: JobSubmitted) -> None:
        """Subtract the cores of a job that is stopped."""
        self._round_cores[spec.team] = (
            self._round_cores.get(spec.team, 0) - spec.cores
        )

    def _count_cores(self, team: str) -> int:
        return self._view.jobs.count_cores(team) + self._round_cores.get(
            team, 0
        )

    def _find_quota(self, team: str) -> int:
        settings = self._view.teams.get(team)
        return settings.quota.cores if settings else 0


def choose_stops(
    view: FleetView, quotas: QuotaUsage, candidate: JobSubmitted
) -> list[JobEntry]:
    """Return the attempts to stop so that a job fits on one VM.

    The VM with the fewest stops is chosen; the result is empty if there is
    none.
    """
    best: list[JobEntry] = []
    for vm_id in view.vms.list_pool_vms(candidate.pool):
        stops = _choose_on_vm(view, quotas, candidate, vm_id)
        if stops and (not best or len(stops) < len(best)):
            best = stops
    return best


def _choose_on_vm(
    view: FleetView, quotas: QuotaUsage, candidate: JobSubmitted, vm_id: str
) -> list[JobEntry]:
    if not is_usable(view, vm_id):
        return []
    reading = view.vm_readings[vm_id]
    capacity = FreeCapacity(vm_id, reading.cores, reading.memory_gb)
    started = view.jobs.list_started(vm_id)
    for job in started:
        capacity.allocate(job.spec)
    stops: list[JobEntry] = []
    for job in sorted(started, key=lambda attempt: -attempt.offset):
        if capacity.fits(candidate):
            break
        if _can_stop(quotas, candidate, job):
            capacity.release(job.spec)
            stops.append(job)
    return stops if capacity.fits(candidate) else []


def _can_stop(
    quotas: QuotaUsage, candidate: JobSubmitted, job: JobEntry
) -> bool:
    if not job.spec.idempotent or job.spec.urgent:
        return False
    return candidate.urgent or quotas.is_over_quota(job.spec.team)
