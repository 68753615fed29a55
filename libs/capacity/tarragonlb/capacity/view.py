"""The input of a planner: the folded state and the latest readings."""

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
    """Input of one round of decisions.

    ``term`` is the term held by this planner, ``offset`` the last folded
    offset, and ``reading`` the number of the latest reading of the platform.
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
        """Return the settings of a pool, or the defaults."""
        return self.pools.get(pool, PoolSettings())


@dataclass(frozen=True, slots=True)
class RoundContext:
    """A view, together with the author and the time of the decisions.

    ``now`` is the monotonic and ``wall_time`` the wall-clock time, both in
    seconds; records carry the latter as information for people.
    """

    view: FleetView
    head_factory: HeadFactory
    now: float
    wall_time: float

    def make_head(self) -> Head:
        """Return the head of a new record."""
        return self.head_factory.make_head(self.view.offset, self.wall_time)


def make_task_id(job: JobEntry) -> str:
    """Return the id of the task that runs the latest attempt of a job."""
    return f'{job.spec.job_id}.{job.attempt}'


def parse_job_id(task_id: str) -> str:
    """Return the id of the job that a task belongs to."""
    return task_id.rpartition('.')[0]


def is_usable(view: FleetView, vm_id: str) -> bool:
    """Return whether a VM accepts new work.

    A reading of an earlier boot than the recorded one is outdated.
    """
    entry = view.vms.get(vm_id)
    reading = view.vm_readings.get(vm_id)
    if entry is None or reading is None or entry.charge:
        return False
    return reading.phase is VmPhase.LIVE and reading.boot >= entry.boot
