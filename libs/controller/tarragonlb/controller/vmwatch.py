"""Lists the VMs while an owner has tasks on workers that it can't reach.

The list shows soon which of these workers have ended, while their leases would
keep the tasks waiting for seconds.
"""

from collections.abc import Callable

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.events import Event, VmsListed
from tarragonlb.controller.ports import Clock, VmApi
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.vmevidence import VmListing
from tarragonlb.scheduling.wave import UNKNOWN_WORKER


class VmWatch:
    """Sends listings of the VMs to an owner for as long as it needs them."""

    __slots__ = ('_clock', '_dependency_log', '_settings', '_vms')

    def __init__(
        self, vms: VmApi, settings: ControllerSettings, clock: Clock
    ) -> None:
        """List the VMs with ``vms``."""
        self._vms = vms
        self._settings = settings
        self._clock = clock
        self._dependency_log = DependencyLog('list of VMs for lost workers')

    async def run(
        self,
        inbox: trio.MemorySendChannel[Event],
        is_needed: Callable[[], bool],
    ) -> None:
        """List the VMs at an interval while ``is_needed`` returns true."""
        pause = self._settings.vm_watch_interval_seconds
        while True:
            await trio.sleep(pause)
            if is_needed():
                count = await self._list(inbox)
                pause = self._choose_pause(count)

    def _choose_pause(self, vms: int) -> float:
        """Return a pause that bounds the listed VMs per second."""
        return max(
            self._settings.vm_watch_interval_seconds,
            vms / self._settings.max_watched_vms_per_second,
        )

    async def _list(self, inbox: trio.MemorySendChannel[Event]) -> int:
        """Send a listing to the owner; return the number of listed VMs."""
        requested_at = self._clock.read_monotonic()
        vms = await self._vms.list_vms()
        if isinstance(vms, NotDone):
            self._dependency_log.record_failure(vms.reason, requested_at)
            return 0
        self._dependency_log.record_success(requested_at)
        worker_ids = frozenset(vm.worker_id for vm in vms) - {''}
        if UNKNOWN_WORKER not in worker_ids:
            # A row that can't be read may be that of any worker.
            await inbox.send(VmsListed(VmListing(worker_ids, requested_at)))
        return len(vms)
