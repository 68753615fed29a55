"""Interface of the platform's VMs and tasks, as the planner uses it.

Every action is idempotent, so it can be retried after its response was lost.
It carries the boot count of the target VM: the platform refuses an action
that was decided before the VM restarted.
"""

import abc
from dataclasses import dataclass

from tarragonlb.model.fleet import FleetReading


@dataclass(frozen=True, slots=True, kw_only=True)
class TaskOrder:
    """A task to run on a worker, with the length of its lease in seconds."""

    vm_id: str
    boot: int
    task_id: str
    payload: str
    lease_seconds: float


class Fleet(abc.ABC):
    """The platform's VMs and the tasks on them."""

    @abc.abstractmethod
    async def read(self, after: int, wait_seconds: float) -> FleetReading:
        """Return the changes of the platform's list since an earlier reading.

        ``after`` is the number of that reading; 0 returns the whole list.
        The platform responds at the first change, or after
        ``wait_seconds`` without one.
        """

    @abc.abstractmethod
    async def drain(self, vm_id: str, boot: int) -> None:
        """Drain a VM: it finishes its work and accepts no new work."""

    @abc.abstractmethod
    async def reboot(self, vm_id: str, boot: int) -> None:
        """Restart a drained VM."""

    @abc.abstractmethod
    async def move(self, vm_id: str, boot: int, pool: str) -> None:
        """Move a drained VM to another pool and restart it."""

    @abc.abstractmethod
    async def start_task(self, order: TaskOrder) -> None:
        """Start a task on a worker, or renew its lease."""

    @abc.abstractmethod
    async def stop_task(self, vm_id: str, boot: int, task_id: str) -> None:
        """Stop a task after a checkpoint, or prevent it from ever starting."""
