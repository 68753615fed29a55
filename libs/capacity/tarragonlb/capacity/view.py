"""What a planner sees: the fold at one offset and the latest readings."""

from collections.abc import Mapping
from dataclasses import dataclass

from tarragonlb.capacity.table import (
    ChangeTable,
    JobTable,
    TeamTable,
    VmTable,
)
from tarragonlb.model.entry import JobEntry, WaveEntry
from tarragonlb.model.fleet import TaskReading, VmPhase, VmReading
from tarragonlb.model.record import Head
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.settings.schema import FleetSettings, PoolSettings


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetView:
    """Inputs of one round of decisions.

    ``term`` is the term that this planner holds, ``offset`` what it folded,
    and ``reading`` the number of the platform's list that it read last.
    """

    offset: int
    term: int
    reading: int
    vms: VmTable
    jobs: JobTable
    waves: Mapping[str, WaveEntry]
    teams: TeamTable
    pools: Mapping[str, PoolSettings]
    fleet: FleetSettings
    vm_readings: ChangeTable[VmReading]
    task_readings: ChangeTable[TaskReading]

    def find_pool_settings(self, pool: str) -> PoolSettings:
        """Return the settings of a pool, the defaults where it has none."""
        return self.pools.get(pool, PoolSettings())


@dataclass(frozen=True, slots=True)
class Round:
    """A view with who decides on it and when.

    ``now`` is monotonic and ``wall`` the wall-clock time, both in seconds;
    records carry the second one for people.
    """

    view: FleetView
    head_factory: HeadFactory
    now: float
    wall: float

    def sign(self) -> Head:
        """Return the head of a new record."""
        return self.head_factory.make_head(self.view.offset, self.wall)


def name_task(job: JobEntry) -> str:
    """Return the id of the task that runs the latest attempt of a job."""
    return f'{job.spec.job_id}.{job.attempt}'


def find_job_id(task_id: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task_id.rpartition('.')[0]


def is_usable(view: FleetView, vm_id: str) -> bool:
    """Return whether a VM may take new work.

    A reading of an earlier boot than a record has shown is out of date.
    """
    entry = view.vms.get(vm_id)
    reading = view.vm_readings.get(vm_id)
    if entry is None or reading is None or entry.charge:
        return False
    return reading.phase is VmPhase.LIVE and reading.boot >= entry.boot
