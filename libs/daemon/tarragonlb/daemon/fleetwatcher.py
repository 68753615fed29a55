"""Follows the platform's list of VMs and tasks.

``last_read`` is when the latest reading came, ``last_requested`` when it was asked
for: an answer that waited in a paused process was asked for long ago.
"""

import trio

from tarragonlb.capacity.table import ChangeTable
from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.model.errors import PlatformError
from tarragonlb.model.fleet import FleetReading, TaskReading, VmReading
from tarragonlb.platform.fleet import Fleet
from tarragonlb.telemetry.log import Log

LONG_POLL_SECONDS = 4
READ_INTERVAL_SECONDS = 0.5


class FleetWatcher:
    """Owns the merged readings; ``number`` is that of the latest one."""

    __slots__ = (
        '_requested_at',
        '_request_scope',
        '_fleet',
        '_updated',
        '_say',
        '_wait_seconds',
        'last_requested',
        'last_read',
        'number',
        'tasks',
        'vms',
    )

    def __init__(self, fleet: Fleet) -> None:
        """Start without any reading."""
        self.number = 0
        self.last_requested = float('-inf')
        self.last_read = float('-inf')
        self.vms = ChangeTable[VmReading]()
        self.tasks = ChangeTable[TaskReading]()
        self._fleet = fleet
        self._updated = trio.Event()
        self._requested_at = float('-inf')
        self._request_scope = trio.CancelScope()
        self._wait_seconds = LONG_POLL_SECONDS
        self._say = Log('watch').say

    async def run(self) -> None:
        """Read changes until cancelled, in batches while there are many."""
        while True:
            self._requested_at = read_monotonic()
            self._request_scope = trio.CancelScope()
            with self._request_scope:
                await self._read_changes(self._requested_at)
                await trio.sleep(READ_INTERVAL_SECONDS)

    async def wait_until_read(self, since: float) -> None:
        """Wait for a reading that was asked for at or after a time.

        A question that was asked before is given up for a new one.
        """
        if self._requested_at < since:
            self._wait_seconds = 0
            self._request_scope.cancel()
        while self.last_requested < since:
            await self._updated.wait()

    def merge(self, reading: FleetReading, now: float) -> None:
        """Take over what changed since the last reading."""
        self.last_read = now
        self.number = max(self.number, reading.number)
        self.vms.update({vm.vm_id: vm for vm in reading.vms})
        self.tasks.update({task.task_id: task for task in reading.tasks})
        self._updated.set()
        self._updated = trio.Event()

    async def _read_changes(self, requested_at: float) -> None:
        try:
            reading = await self._fleet.read(self.number, self._wait_seconds)
        except PlatformError as error:
            self._say('The list can not be read.', error=str(error))
        else:
            self._wait_seconds = LONG_POLL_SECONDS
            self.last_requested = requested_at
            self.merge(reading, read_monotonic())
