"""Actions that decisions return: records to commit and platform calls."""

from dataclasses import dataclass
from typing import TypeAlias

from tarragonlb.model.record import Record


@dataclass(frozen=True, slots=True)
class Commit:
    """Commit a record to the log."""

    record: Record


@dataclass(frozen=True, slots=True)
class DrainVm:
    """Drain a charged VM."""

    vm_id: str
    boot: int


@dataclass(frozen=True, slots=True)
class RebootVm:
    """Reboot a charged and drained VM."""

    vm_id: str
    boot: int


@dataclass(frozen=True, slots=True)
class MoveVm:
    """Move a charged and drained VM to another pool."""

    vm_id: str
    boot: int
    pool: str


@dataclass(frozen=True, slots=True)
class StartTask:
    """Start a recorded attempt of a job, or renew its lease (in seconds)."""

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
