"""Follows the platform's list of VMs and tasks by long polling.

``last_read`` is when the latest reading arrived, ``last_requested`` when it was
requested.  They differ after a pause of the process: a response that waited in
a paused process may hold old data.
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
    """Merged readings of the list; ``number`` is that of the latest."""

    __slots__ = (
        '_emit',
        '_fleet',
        '_request_scope',
        '_requested_at',
        '_updated',
        '_wait_seconds',
        'last_read',
        'last_requested',
        'number',
        'tasks',
        'vms',
    )

    def __init__(self, fleet: Fleet) -> None:
        """Create a watcher without readings."""
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
        self._emit = Log('watch').emit

    async def run(self) -> None:
        """Read changes until cancelled, with pauses that batch them."""
        while True:
            self._requested_at = read_monotonic()
            self._request_scope = trio.CancelScope()
            with self._request_scope:
                await self._read_changes(self._requested_at)
                await trio.sleep(READ_INTERVAL_SECONDS)

    async def wait_until_read(self, since: float) -> None:
        """Wait for a reading that was requested at ``since`` or later.

        An earlier request in progress is cancelled and sent again.
        """
        if self._requested_at < since:
            self._wait_seconds = 0
            self._request_scope.cancel()
        while self.last_requested < since:
            await self._updated.wait()

    def merge(self, reading: FleetReading, now: float) -> None:
        """Merge the changes of a new reading."""
        self.vms.update({vm.vm_id: vm for vm in reading.vms})
        self.tasks.update({task.task_id: task for task in reading.tasks})
        # Last, so that a reading that was merged in part is requested again.
        self.number = max(self.number, reading.number)
        self.last_read = now
        self._updated.set()
        self._updated = trio.Event()

    async def _read_changes(self, requested_at: float) -> None:
        try:
            reading = await self._fleet.read(self.number, self._wait_seconds)
        except PlatformError as error:
            self._emit('Reading the VM list failed.', error=str(error))
        else:
            self._wait_seconds = LONG_POLL_SECONDS
            self.merge(reading, read_monotonic())
            self.last_requested = requested_at
