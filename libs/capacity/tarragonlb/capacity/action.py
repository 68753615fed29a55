"""What a decision asks for: a record to commit, or an act of the platform."""

from dataclasses import dataclass
from typing import TypeAlias

from tarragonlb.model.record import Record


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit a record to the log."""

    record: Record


@dataclass(frozen=True, slots=True)
class DrainVm:
    """Drain a VM that is charged."""

    vm_id: str
    boot: int


@dataclass(frozen=True, slots=True)
class RebootVm:
    """Reboot a VM that is charged and drained."""

    vm_id: str
    boot: int


@dataclass(frozen=True, slots=True)
class MoveVm:
    """Put a VM that is charged and drained into another pool."""

    vm_id: str
    boot: int
    pool: str


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a recorded attempt of a job, or renew its lease in seconds."""

    vm_id: str
    boot: int
    task_id: str
    payload: str
    lease_seconds: float


@dataclass(frozen=True, slots=True)
class StopTask:
    """Stop an attempt of a job."""

    vm_id: str
    boot: int
    task_id: str


Action: TypeAlias = Commit | DrainVm | MoveVm | RebootVm | StartTask | StopTask
