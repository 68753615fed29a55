"""Tells the dispatcher which endpoints of each pool may get new requests.

An endpoint is removed as soon as any source says that it leaves: the platform's
VM list, or a charge in the shared state.  It gets no new request after the next
update.

When the VM list can't be read, its last state stays in use, since the endpoints
are probably still there.  This is logged, and every response and refusal
carries the age of the list.
"""

from collections.abc import Iterable

import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.dispatcher import Dispatcher
from tarragonlb.daemon.fleetwatcher import FleetWatcher
from tarragonlb.daemon.journal import Journal
from tarragonlb.model.fleet import VmPhase
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.telemetry.log import Log
from tarragonlb.telemetry.supervision import format_trace

UPDATE_SECONDS = 0.25
MAX_LIST_AGE_SECONDS = 5
DEFAULT_SLOTS = 8


class PoolTask:
    """Derives endpoints from state and VM list, and reports changes."""

    __slots__ = (
        '_dispatcher',
        '_emit',
        '_endpoints',
        '_fleet_watcher',
        '_journal',
        '_outdated',
        '_pool_by_vm',
        '_reading_changes',
        '_slots',
        '_slots_offset',
        '_stale',
        '_vm_changes',
    )

    def __init__(
        self,
        journal: Journal,
        fleet_watcher: FleetWatcher,
        dispatcher: Dispatcher,
    ) -> None:
        """Create a task that knows no endpoint yet."""
        self._journal = journal
        self._fleet_watcher = fleet_watcher
        self._dispatcher = dispatcher
        self._endpoints: dict[str, dict[str, Endpoint]] = {}
        # Pools whose endpoints the dispatcher has yet to learn.
        self._outdated: dict[str, None] = {}
        self._pool_by_vm: dict[str, str] = {}
        self._slots: dict[str, int] = {}
        self._slots_offset = -1
        self._vm_changes = journal.state.vms.subscribe()
        self._reading_changes = fleet_watcher.vms.subscribe()
        self._stale = False
        self._emit = Log('pools').emit

    async def run(self) -> None:
        """Run the dispatcher and update its endpoints until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._dispatcher.run)
            while True:
                self.update(read_monotonic())
                await trio.sleep(UPDATE_SECONDS)

    def update(self, now: float) -> None:
        """Update the dispatcher for pools whose endpoints have changed.

        After an error no endpoint gets requests until the next update: which
        of them are leaving may not be known.
        """
        try:
            self._update(now)
        except Exception:
            self._withdraw_all()
            raise

    def _update(self, now: float) -> None:
        self._check_age(now)
        for vm_id in self._take_changed_vms():
            self._outdated.update(self._update_vm(vm_id))
        for pool in tuple(self._outdated):
            self._update_pool(pool)

    def _withdraw_all(self) -> None:
        self._slots_offset = -1
        self._pool_by_vm.clear()
        self._outdated.update(dict.fromkeys(self._endpoints))
        self._endpoints.clear()
        for pool in tuple(self._outdated):
            try:
                self._update_pool(pool)
            except Exception as error:
                self._emit(
                    'The endpoints of a pool could not be withdrawn.',
                    pool=pool,
                    error=repr(error),
                    trace=format_trace(error),
                )

    def _update_pool(self, pool: str) -> None:
        endpoints = list(self._endpoints.get(pool, {}).values())
        self._dispatcher.update_pool(pool, endpoints)
        self._outdated.pop(pool)

    def _take_changed_vms(self) -> Iterable[str]:
        vm_ids = dict.fromkeys(self._vm_changes.take())
        vm_ids.update(dict.fromkeys(self._reading_changes.take()))
        offset = self._journal.state.settings_offset
        if offset != self._slots_offset:
            self._slots_offset = offset
            self._slots = self._read_slots()
            vm_ids.update(dict.fromkeys(self._journal.state.vms))
        return vm_ids

    def _update_vm(self, vm_id: str) -> dict[str, None]:
        """Update the endpoint of a VM; return the pools that changed."""
        pool, endpoint = self._find_endpoint(vm_id)
        old_pool = self._pool_by_vm.get(vm_id)
        old = self._endpoints.get(old_pool, {}).get(vm_id) if old_pool else None
        if (old_pool, old) == (pool, endpoint):
            return {}
        changed: dict[str, None] = {}
        if old_pool:
            self._pool_by_vm.pop(vm_id)
            self._endpoints[old_pool].pop(vm_id)
            changed[old_pool] = None
        if pool and endpoint:
            self._pool_by_vm[vm_id] = pool
            self._endpoints.setdefault(pool, {})[vm_id] = endpoint
            changed[pool] = None
        return changed

    def _find_endpoint(self, vm_id: str) -> tuple[str | None, Endpoint | None]:
        vm = self._journal.state.vms.get(vm_id)
        reading = self._fleet_watcher.vms.get(vm_id)
        if vm is None or reading is None or vm.charge or not reading.address:
            return None, None
        if reading.phase is not VmPhase.LIVE:
            return None, None
        endpoint = Endpoint(
            vm_id=vm_id,
            address=reading.address,
            zone=vm.zone,
            slots=self._slots.get(vm.pool, DEFAULT_SLOTS),
        )
        return vm.pool, endpoint

    def _check_age(self, now: float) -> None:
        age = now - self._fleet_watcher.last_read
        has_reading = self._fleet_watcher.number > 0
        stale = has_reading and age > MAX_LIST_AGE_SECONDS
        self._dispatcher.list_read_at = (
            self._fleet_watcher.last_read if stale else None
        )
        if stale and not self._stale:
            self._emit(
                'The VM list is stale, its last state stays in use.', age=age
            )
        elif self._stale and not stale:
            self._emit('The VM list can be read again.')
        self._stale = stale

    def _read_slots(self) -> dict[str, int]:
        return {
            service.pool: service.slots_per_endpoint
            for team in self._journal.state.teams.values()
            for service in team.services.values()
        }
