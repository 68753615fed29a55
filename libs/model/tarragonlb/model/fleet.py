"""What the platform reports about VMs and the tasks on them.

A reading is what one answer of the platform said.  Readings lag behind and
may be older than an act that was already done, so each carries the number
that the platform gave it: a higher number was taken later.
"""

import enum
from dataclasses import dataclass


class VmPhase(enum.StrEnum):
    """Say where in its life a VM is, as the platform lists it."""

    LIVE = 'live'
    DRAINING = 'draining'
    DRAINED = 'drained'
    REBOOTING = 'rebooting'
    LEAVING = 'leaving'
    GONE = 'gone'


class TaskPhase(enum.StrEnum):
    """Say what a worker reports about a task."""

    RUNNING = 'running'
    STOPPED = 'stopped'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True, kw_only=True)
class VmReading:
    """One VM in the platform's list.

    ``boot`` counts the starts of the VM; ``address`` is the ``ip:port`` of
    its endpoint, or empty where it offers none.
    """

    vm_id: str
    pool: str
    zone: str
    rack: str
    phase: VmPhase
    boot: int
    cores: int
    memory_gb: int
    accelerators: int = 0
    address: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskReading:
    """One task of a worker, as last reported.

    ``began`` is False only where the platform vouches that the task was kept
    from ever starting.
    """

    task_id: str
    vm_id: str
    phase: TaskPhase
    output: str = ''
    began: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetReading:
    """The platform's list of VMs and tasks at one moment.

    ``number`` rises with each reading that the platform takes.
    """

    number: int
    vms: tuple[VmReading, ...] = ()
    tasks: tuple[TaskReading, ...] = ()
