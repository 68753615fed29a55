"""What the planner asks of the platform.

Each act is idempotent, so that one whose answer was lost can be asked for
again.  Each names the boot count of the VM that it is meant for: the platform
refuses an act that was decided before the VM was restarted.
"""

import abc
from dataclasses import dataclass

from tarragonlb.model.fleet import FleetReading


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskOrder:
    """A task for a worker, under a lease in seconds."""

    vm_id: str
    boot: int
    task_id: str
    payload: str
    lease_seconds: float


class Fleet(abc.ABC):
    """The platform's VMs and the tasks on them."""

    @abc.abstractmethod
    async def read(self, after: int, wait_seconds: float) -> FleetReading:
        """Return what changed in the platform's list since a reading.

        ``after`` is the number of that reading, 0 for the whole list.  The
        platform answers with the first change, or when the wait is over.
        """

    @abc.abstractmethod
    async def drain(self, vm_id: str, boot: int) -> None:
        """Let a VM finish what it has and take nothing new."""

    @abc.abstractmethod
    async def reboot(self, vm_id: str, boot: int) -> None:
        """Restart a drained VM."""

    @abc.abstractmethod
    async def move(self, vm_id: str, boot: int, pool: str) -> None:
        """Put a drained VM into another pool and restart it."""

    @abc.abstractmethod
    async def start_task(self, order: TaskOrder) -> None:
        """Start a task on a worker, or renew its lease."""

    @abc.abstractmethod
    async def stop_task(self, vm_id: str, boot: int, task_id: str) -> None:
        """Stop a task after a checkpoint, or keep it from ever starting."""
