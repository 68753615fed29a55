"""Follows the platform's list of VMs and tasks."""

import trio

from tarragonlb.capacity.table import ChangeTable
from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.model.errors import PlatformError
from tarragonlb.model.fleet import FleetReading, TaskReading, VmReading
from tarragonlb.platform.fleet import Fleet
from tarragonlb.telemetry.log import Log

WAIT_SECONDS = 5
PAUSE_SECONDS = 0.5


class FleetWatch:
    """Owns the merged readings; ``number`` is that of the latest one."""

    __slots__ = ('_fleet', '_say', 'last_read', 'number', 'tasks', 'vms')

    def __init__(self, fleet: Fleet) -> None:
        """Start without any reading."""
        self.number = 0
        self.last_read = float('-inf')
        self.vms = ChangeTable[VmReading]()
        self.tasks = ChangeTable[TaskReading]()
        self._fleet = fleet
        self._say = Log('watch').say

    async def run(self) -> None:
        """Read changes until cancelled, in batches while there are many."""
        while True:
            try:
                reading = await self._fleet.read(self.number, WAIT_SECONDS)
            except PlatformError as error:
                self._say('The list can not be read.', error=str(error))
            else:
                self.merge(reading, read_monotonic())
            await trio.sleep(PAUSE_SECONDS)

    def merge(self, reading: FleetReading, now: float) -> None:
        """Take over what changed since the last reading."""
        self.last_read = now
        self.number = max(self.number, reading.number)
        self.vms.update({vm.vm_id: vm for vm in reading.vms})
        self.tasks.update({task.task_id: task for task in reading.tasks})
