"""Tells the dispatcher which endpoints of each pool may get new requests.

An endpoint leaves on the first sign from any source: the platform's list, or
a charge in the fold.
"""

import trio

from tarragonlb.daemon.dispatch import Dispatcher
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.watch import FleetWatch
from tarragonlb.model.fleet import VmPhase
from tarragonlb.routing.balancer import Endpoint

UPDATE_SECONDS = 0.25
DEFAULT_SLOTS = 8


class PoolTask:
    """Compares the fold and the readings, and passes on the difference."""

    __slots__ = ('_dispatcher', '_journal', '_known', '_watch')

    def __init__(
        self, journal: Journal, watch: FleetWatch, dispatcher: Dispatcher
    ) -> None:
        """Start without any pool."""
        self._journal = journal
        self._watch = watch
        self._dispatcher = dispatcher
        self._known: dict[str, list[Endpoint]] = {}

    async def run(self) -> None:
        """Update the dispatcher, and run it, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._dispatcher.run)
            while True:
                self.update()
                await trio.sleep(UPDATE_SECONDS)

    def update(self) -> None:
        """Pass on the pools whose endpoints have changed."""
        pools = self._list_endpoints()
        for gone in set(self._known).difference(pools):
            pools[gone] = []
        for pool, endpoints in pools.items():
            if self._known.get(pool) != endpoints:
                self._dispatcher.update_pool(pool, endpoints)
        self._known = pools

    def _list_endpoints(self) -> dict[str, list[Endpoint]]:
        slots = self._list_slots()
        pools: dict[str, list[Endpoint]] = {}
        for vm in self._journal.state.vms.values():
            reading = self._watch.vms.get(vm.vm_id)
            if reading is None or vm.charge or not reading.address:
                continue
            if reading.phase is VmPhase.LIVE:
                endpoint = Endpoint(
                    vm_id=vm.vm_id,
                    address=reading.address,
                    zone=vm.zone,
                    slots=slots.get(vm.pool, DEFAULT_SLOTS),
                )
                pools.setdefault(vm.pool, []).append(endpoint)
        return pools

    def _list_slots(self) -> dict[str, int]:
        return {
            service.pool: service.slots_per_endpoint
            for team in self._journal.state.teams.values()
            for service in team.services.values()
        }
