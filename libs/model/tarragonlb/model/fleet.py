"""What the platform reports about VMs and the tasks on them.

A reading is the content of one answer of the platform.  Readings are stale:
one may be older than an action that has already been carried out.  So each
has a number from the platform, and a reading with a higher number was taken
later.
"""

import enum
from dataclasses import dataclass


class VmPhase(enum.StrEnum):
    """The phase of a VM's life cycle, as listed by the platform."""

    LIVE = 'live'
    DRAINING = 'draining'
    DRAINED = 'drained'
    REBOOTING = 'rebooting'
    LEAVING = 'leaving'
    GONE = 'gone'


class TaskPhase(enum.StrEnum):
    """The phase of a task, as reported by its worker."""

    RUNNING = 'running'
    STOPPED = 'stopped'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'


@dataclass(frozen=True, slots=True, kw_only=True)
class VmReading:
    """One VM in the platform's list.

    ``boot`` counts the starts of the VM; ``address`` is the ``ip:port`` of
    its endpoint, or empty if it has none.
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

    ``began`` is False only if the platform guarantees that the task never
    started and never will.
    """

    task_id: str
    vm_id: str
    phase: TaskPhase
    output: str = ''
    began: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetReading:
    """The platform's list of VMs and tasks at one time.

    ``number`` increases with each reading that the platform takes.
    """

    number: int
    vms: tuple[VmReading, ...] = ()
    tasks: tuple[TaskReading, ...] = ()
