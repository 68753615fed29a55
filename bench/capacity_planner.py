"""Measures the cost of a planner round at three fleet sizes.

Every VM runs one job, and all pools but the spare one keep a reserve for the
failure of a rack.  Nothing changes before an idle round; one job is submitted
and one task ends before an event round.  The share of a core is the time for
deciding on the renewal of all leases, without the calls to the platform.
"""

import functools
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

from tarragonlb.capacity.attempts import (
    RENEWALS_PER_LEASE,
    choose_lease_seconds,
)
from tarragonlb.capacity.planner import Planner
from tarragonlb.capacity.table import ChangeTable
from tarragonlb.capacity.view import FleetView
from tarragonlb.journal.plannerview import make_view
from tarragonlb.journal.state import State
from tarragonlb.model.entry import JobEntry, JobPhase, VmEntry
from tarragonlb.model.fleet import (
    TaskPhase,
    TaskReading,
    VmPhase,
    VmReading,
)
from tarragonlb.model.job import JobSubmitted
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.settings.schema import PoolSettings

POOLS = 72
ZONES = 8
VMS_PER_RACK = 4
CORES = 16
MEMORY_GB = 64
RENEWAL_ROUNDS = 3
SAMPLES = 40
MICROSECONDS_PER_SECOND = 1_000_000
BYTES_PER_MEBIBYTE = 1024 * 1024
HEAD_FACTORY = HeadFactory('bench', '1')


@dataclass(frozen=True, slots=True, kw_only=True)
class PlannerFigure:
    """Cost of a planner round, of lease renewals, and of memory."""

    vms: int
    first_round_microseconds: float
    idle_round_microseconds: float
    event_round_microseconds: float
    renewal_core_percent: float
    renewals_a_second: float
    planner_mebibytes: float


class BenchFleet:
    """State and readings of a fleet, created without a log."""

    __slots__ = ('number', 'state', 'tasks', 'vms')

    def __init__(self, vms: int) -> None:
        """Create ``vms`` VMs, each with one running job."""
        self.state = State()
        self.number = 1
        self.vms = ChangeTable[VmReading]()
        self.tasks = ChangeTable[TaskReading]()
        for index in range(POOLS):
            self.state.pools[f'pool-{index}'] = PoolSettings(
                spare=index == 0, peak_vms=1, survive_rack=index > 0
            )
        for index in range(vms):
            self._add_vm(index)
            self.add_job(index, JobPhase.STARTED, f'vm-{index}')
            self.set_task_phase(index, TaskPhase.RUNNING)

    def view(self) -> FleetView:
        """Return the planner's view of the fleet."""
        return make_view(self.state, self)

    def add_job(self, index: int, phase: JobPhase, vm_id: str = '') -> None:
        """Add a job, or replace it."""
        spec = JobSubmitted(
            head=HEAD_FACTORY.make_head(0, 0),
            job_id=f'job-{index}',
            team=f'team-{index % 380}',
            kind='kind',
            pool=f'pool-{index % POOLS}',
            cores=4,
            memory_gb=8,
            payload='',
            urgent=False,
            idempotent=True,
            deadline_seconds=1000,
            declared_seconds=100,
        )
        self.state.jobs[spec.job_id] = JobEntry(
            spec=spec,
            phase=phase,
            offset=index + 1,
            attempt=1,
            vm_id=vm_id,
            boot=1,
        )

    def set_task_phase(self, index: int, phase: TaskPhase) -> None:
        """Set the phase in the reading of a job's task."""
        task = TaskReading(
            task_id=f'job-{index}.1', vm_id=f'vm-{index}', phase=phase
        )
        self.tasks[task.task_id] = task

    def _add_vm(self, index: int) -> None:
        reading = VmReading(
            vm_id=f'vm-{index}',
            pool=f'pool-{index % POOLS}',
            zone=f'zone-{index % ZONES}',
            rack=f'rack-{index // VMS_PER_RACK}',
            phase=VmPhase.LIVE,
            boot=1,
            cores=CORES,
            memory_gb=MEMORY_GB,
        )
        self.vms[reading.vm_id] = reading
        self.state.vms[reading.vm_id] = VmEntry(
            vm_id=reading.vm_id,
            pool=reading.pool,
            zone=reading.zone,
            rack=reading.rack,
            boot=1,
        )


def measure_planner(vms: int) -> PlannerFigure:
    """Run planner rounds over ``vms`` VMs and return their cost."""
    fleet = BenchFleet(vms)
    view = fleet.view()
    planner = Planner(HEAD_FACTORY)
    first_seconds = _time(lambda: planner.decide(view, 0, 0))
    period = choose_lease_seconds(view) / RENEWALS_PER_LEASE
    renewal_seconds = sum(
        _time(functools.partial(planner.decide, view, period * step, 0))
        for step in range(1, RENEWAL_ROUNDS + 1)
    )
    now = period * RENEWAL_ROUNDS
    event_seconds = [
        _measure_event(fleet, planner, vms + index, now)
        for index in range(SAMPLES)
    ]
    return PlannerFigure(
        vms=vms,
        first_round_microseconds=first_seconds * MICROSECONDS_PER_SECOND,
        idle_round_microseconds=_measure_idle(planner, view, now),
        event_round_microseconds=sorted(event_seconds)[SAMPLES // 2]
        * MICROSECONDS_PER_SECOND,
        renewal_core_percent=100 * renewal_seconds / now,
        renewals_a_second=vms / period,
        planner_mebibytes=_measure_memory(view),
    )


def _measure_idle(planner: Planner, view: FleetView, now: float) -> float:
    idle_round = functools.partial(planner.decide, view, now, 0)
    return (
        min(_time(idle_round) for _ in range(SAMPLES)) * MICROSECONDS_PER_SECOND
    )


def _measure_event(
    fleet: BenchFleet, planner: Planner, index: int, now: float
) -> float:
    fleet.add_job(index, JobPhase.QUEUED)
    fleet.set_task_phase(index - SAMPLES, TaskPhase.SUCCEEDED)
    view = fleet.view()
    seconds = _time(lambda: planner.decide(view, now, now))
    fleet.add_job(index, JobPhase.SUCCEEDED)
    planner.decide(view, now, now)
    return seconds


def _measure_memory(view: FleetView) -> float:
    tracemalloc.start()
    planner = Planner(HEAD_FACTORY)
    for vm_id, reading in view.vm_readings.items():
        view.vm_readings[vm_id] = reading
    for job_id, job in view.jobs.items():
        view.jobs[job_id] = job
    planner.decide(view, 0, 0)
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return used / BYTES_PER_MEBIBYTE


def _time(function: Callable[[], object]) -> float:
    started = time.process_time()
    function()
    return time.process_time() - started
