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
        while True:
            await trio.sleep(self._settings.vm_watch_interval_seconds)
            if is_needed():
                await self._list(inbox)

    async def _list(self, inbox: trio.MemorySendChannel[Event]) -> None:
        requested_at = self._clock.read_monotonic()
        vms = await self._vms.list_vms()
        if isinstance(vms, NotDone):
            self._dependency_log.record_failure(vms.reason, requested_at)
            return
        self._dependency_log.record_success(requested_at)
        worker_ids = frozenset(vm.worker_id for vm in vms) - {''}
        await inbox.send(VmsListed(VmListing(worker_ids, requested_at)))
