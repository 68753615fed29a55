"""The input of the planner: the shared state and the latest readings."""

from typing import Protocol

from tarragonlb.capacity.table import ChangeTable
from tarragonlb.capacity.view import FleetView
from tarragonlb.journal.state import State
from tarragonlb.model.fleet import TaskReading, VmReading

PLANNER_SCOPE = 'planner'


class Readings(Protocol):
    """The platform's VMs and tasks as of the reading ``number``."""

    number: int
    vms: ChangeTable[VmReading]
    tasks: ChangeTable[TaskReading]


def make_view(state: State, readings: Readings) -> FleetView:
    """Return the planner's view, as the holder of the latest term."""
    term = state.terms.get(PLANNER_SCOPE)
    return FleetView(
        offset=state.offset,
        term=term.number if term else 0,
        reading=readings.number,
        vms=state.vms,
        jobs=state.jobs,
        waves=state.waves,
        teams=state.teams,
        pools=state.pools,
        fleet=state.fleet,
        vm_readings=readings.vms,
        task_readings=readings.tasks,
    )
