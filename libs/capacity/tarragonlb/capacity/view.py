"""What a planner sees: the fold at one offset and the latest readings."""

from collections.abc import Mapping
from dataclasses import dataclass

from tarragonlb.model.entry import JobEntry, JobPhase, VmEntry, WaveEntry
from tarragonlb.model.fleet import TaskReading, VmPhase, VmReading
from tarragonlb.settings.schema import FleetSettings, PoolSettings, TeamSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetView:
    """Inputs of one round of decisions.

    ``term`` is the term that this planner holds, ``offset`` what it folded.
    """

    offset: int
    term: int
    vms: Mapping[str, VmEntry]
    jobs: Mapping[str, JobEntry]
    waves: Mapping[str, WaveEntry]
    teams: Mapping[str, TeamSettings]
    pools: Mapping[str, PoolSettings]
    fleet: FleetSettings
    vm_readings: Mapping[str, VmReading]
    task_readings: Mapping[str, TaskReading]


def name_task(job: JobEntry) -> str:
    """Return the id of the task that runs the latest attempt of a job."""
    return f'{job.spec.job_id}.{job.attempt}'


def list_started(view: FleetView) -> list[JobEntry]:
    """Return the jobs that have an attempt which may be live."""
    return [job for job in view.jobs.values() if job.phase is JobPhase.STARTED]


def is_usable(view: FleetView, vm_id: str) -> bool:
    """Return whether a VM may take new work."""
    entry = view.vms.get(vm_id)
    reading = view.vm_readings.get(vm_id)
    if entry is None or reading is None:
        return False
    return entry.charge is None and reading.phase is VmPhase.LIVE
