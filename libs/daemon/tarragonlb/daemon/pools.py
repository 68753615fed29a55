"""Tells the dispatcher which endpoints of each pool may get new requests.

An endpoint leaves on the first sign from any source: the platform's list, or
a charge in the fold.  It has nothing new to expect from here one update later.

When the list can't be read, its last state stays in force, since the endpoints
may well be there.  The log says so, and every answer and refusal carries the
age of the list.
"""

import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.dispatch import Dispatcher
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.watch import FleetWatch
from tarragonlb.model.fleet import VmPhase
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.telemetry.log import Log

UPDATE_SECONDS = 0.25
MAX_LIST_AGE_SECONDS = 5
DEFAULT_SLOTS = 8


class PoolTask:
    """Compares the fold and the readings, and passes on the difference."""

    __slots__ = (
        '_dispatcher',
        '_journal',
        '_known',
        '_say',
        '_stale',
        '_watch',
    )

    def __init__(
        self, journal: Journal, watch: FleetWatch, dispatcher: Dispatcher
    ) -> None:
        """Start without any pool."""
        self._journal = journal
        self._watch = watch
        self._dispatcher = dispatcher
        self._known: dict[str, list[Endpoint]] = {}
        self._stale = False
        self._say = Log('pools').say

    async def run(self) -> None:
        """Update the dispatcher, and run it, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._dispatcher.run)
            while True:
                self.update(read_monotonic())
                await trio.sleep(UPDATE_SECONDS)

    def update(self, now: float) -> None:
        """Pass on the pools whose endpoints have changed."""
        self._check_age(now)
        pools = self._list_endpoints()
        for gone in set(self._known).difference(pools):
            pools[gone] = []
        for pool, endpoints in pools.items():
            if self._known.get(pool) != endpoints:
                self._dispatcher.update_pool(pool, endpoints)
        self._known = pools

    def _check_age(self, now: float) -> None:
        age = now - self._watch.last_read
        known = self._watch.number > 0
        stale = known and age > MAX_LIST_AGE_SECONDS
        self._dispatcher.list_read_at = self._watch.last_read if stale else None
        if stale and not self._stale:
            self._say('The list is old, its last state is used.', age=age)
        elif self._stale and not stale:
            self._say('The list is read again.')
        self._stale = stale

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
