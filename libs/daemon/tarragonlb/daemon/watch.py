"""Follows the platform's list of VMs and tasks.

``last_read`` is when the latest reading was asked for, so that an answer that
waited in a paused process doesn't count as fresh.
"""

import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.model.errors import PlatformError
from tarragonlb.model.fleet import FleetReading, TaskReading, VmReading
from tarragonlb.platform.fleet import Fleet
from tarragonlb.telemetry.log import Log

POLL_SECONDS = 0.5


class FleetWatch:
    """Owns the merged readings; ``number`` is that of the latest one."""

    __slots__ = (
        '_fleet',
        '_merged',
        '_say',
        'last_read',
        'number',
        'tasks',
        'vms',
    )

    def __init__(self, fleet: Fleet) -> None:
        """Start without any reading."""
        self.number = 0
        self.last_read = float('-inf')
        self.vms: dict[str, VmReading] = {}
        self.tasks: dict[str, TaskReading] = {}
        self._fleet = fleet
        self._merged = trio.Event()
        self._say = Log('watch').say

    async def run(self) -> None:
        """Poll the platform until cancelled."""
        while True:
            asked_at = read_monotonic()
            try:
                reading = await self._fleet.read(self.number)
            except PlatformError as error:
                self._say('The list can not be read.', error=str(error))
            else:
                self.merge(reading, asked_at)
            await trio.sleep(POLL_SECONDS)

    async def wait_until_read(self, since: float) -> None:
        """Wait for a reading that was asked for at or after a time."""
        while self.last_read < since:
            await self._merged.wait()

    def merge(self, reading: FleetReading, now: float) -> None:
        """Take over what changed since the last reading, asked for ``now``."""
        self.last_read = now
        self.number = max(self.number, reading.number)
        self.vms.update({vm.vm_id: vm for vm in reading.vms})
        self.tasks.update({task.task_id: task for task in reading.tasks})
        self._merged.set()
        self._merged = trio.Event()
