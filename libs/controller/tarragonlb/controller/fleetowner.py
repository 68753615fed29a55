"""Runs VM maintenance and pool rebalancing as owner of the fleet partition."""

from collections.abc import Callable, Iterable

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.feeds import FleetStateFeed
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Configuration, Store, VmApi
from tarragonlb.controller.results import Fenced, NotDone, Stored
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.controller.termwriter import TermWriter
from tarragonlb.scheduling.fleetrecords import (
    DrainRequest,
    VmOrder,
    build_drain_record,
    build_maintenance_begun_record,
    build_maintenance_done_record,
    build_order_record,
    build_reopen_record,
)
from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.job import MS_PER_SECOND
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.ownershiprecords import build_pool_record
from tarragonlb.scheduling.poolassignment import assign_pools, weigh_pools
from tarragonlb.scheduling.rebalancing import PoolRebalancer, VmMove
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.routerecords import plan_route_records
from tarragonlb.scheduling.wave import Vm, Wave, WaveCoordinator
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, VM_ORDERS
from tarragonlb.telemetry.log import Log

LOG = Log('fleet')
# Gives the drain requests of each term their own range of numbers.
DRAIN_REQUESTS_PER_TERM = 1_000_000
# Records on routes in one append, which a narrow link carries in time.
MAX_ROUTE_RECORDS = 500


class FleetOwner:
    """Drains, maintains and moves VMs during one term."""

    __slots__ = (
        '_clock',
        '_completed_waves',
        '_coordinators',
        '_dependency_log',
        '_drain_request_count',
        '_fleet_state_feed',
        '_is_lease_valid',
        '_nursery',
        '_owned',
        '_published_waves',
        '_rebalancer',
        '_routed',
        '_settings',
        '_store',
        '_view',
        '_vms',
        '_writer',
    )

    def __init__(
        self,
        owned: OwnedPartition,
        fleet_state_feed: FleetStateFeed,
        store: Store,
        vms: VmApi,
        view: PlatformView,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Own the fleet partition for the term of ``owned``."""
        self._owned = owned
        self._fleet_state_feed = fleet_state_feed
        self._store = store
        self._vms = vms
        self._view = view
        self._settings = settings
        self._clock = clock
        self._coordinators: dict[int, WaveCoordinator] = {}
        self._completed_waves: set[int] = set()
        self._published_waves: set[int] = set()
        self._writer = TermWriter(owned, store, settings)
        self._drain_request_count = 0
        self._rebalancer = PoolRebalancer(settings.standby_delay_seconds)
        # The configuration whose routes are stored.
        self._routed: Configuration | None = None
        self._dependency_log = DependencyLog('list of VMs')

    async def run(self, is_lease_valid: Callable[[], bool]) -> None:
        """Run rounds until the term ends.

        Orders are sent only while ``is_lease_valid`` returns true.
        """
        self._is_lease_valid = is_lease_valid
        reason = await self._writer.fence(self._fleet_state_feed.refresh)
        if reason:
            LOG.emit('Could not start a fleet term.', reason=reason)
            return
        LOG.emit('Fleet term started.', term=self._owned.term)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            is_owner = True
            while is_owner:
                is_owner = await self._run_round()
                await trio.sleep(self._settings.vm_list_interval_seconds)

    async def _run_round(self) -> bool:
        configuration = self._view.configuration
        if configuration is None or not self._is_lease_valid():
            return True
        read_at = self._clock.read_monotonic()
        vms = await self._vms.list_vms()
        if isinstance(vms, NotDone):
            self._dependency_log.record_failure(vms.reason, read_at)
            return await self._assign_pools(configuration, ())
        self._dependency_log.record_success(read_at)
        if not await self._fleet_state_feed.refresh():
            return True
        if not await self._assign_pools(configuration, vms):
            return False
        standby = configuration.standby_pools
        for wave in tuple(self._view.waves.values()):
            if wave.number in self._completed_waves:
                continue
            coordinator = self._get_coordinator(wave)
            if not await self._run_wave_round(
                coordinator, vms, read_at, standby
            ):
                return False
        named = tuple(vm for vm in vms if vm.vm_id)
        return await self._rebalance(named, standby)

    async def _assign_pools(
        self, configuration: Configuration, vms: tuple[Vm, ...]
    ) -> bool:
        fleet_state = self._view.fleet_state
        assigned = assign_pools(
            configuration.queues.list_pools(),
            fleet_state.partitions,
            weigh_pools(vms, fleet_state.loads),
            self._settings.pool_partitions,
        )
        if assigned:
            LOG.emit('Pools assigned to partitions.', partitions=assigned)
        return await self._store_records(
            [
                *(build_pool_record(*row) for row in assigned.items()),
                *self._plan_routes(configuration),
            ]
        )

    def _plan_routes(self, configuration: Configuration) -> list[KeyedRecord]:
        """Return records on the routes of a configuration, a part at a time."""
        if self._routed is configuration:
            return []
        records = plan_route_records(
            configuration.queues.by_name.values(),
            self._view.fleet_state.routes,
            self._clock.read_wall() * MS_PER_SECOND,
        )
        if not records:
            self._routed = configuration
        return records[:MAX_ROUTE_RECORDS]

    def _get_coordinator(self, wave: Wave) -> WaveCoordinator:
        coordinator = self._coordinators.get(wave.number)
        if coordinator is None:
            coordinator = WaveCoordinator(
                wave,
                self._settings.scheduling.maintenance_seconds,
                self._view.wave_read_at[wave.number],
            )
            self._coordinators[wave.number] = coordinator
        return coordinator

    async def _run_wave_round(
        self,
        coordinator: WaveCoordinator,
        vms: tuple[Vm, ...],
        read_at: float,
        standby: frozenset[str],
    ) -> bool:
        number = coordinator.wave.number
        if number not in self._published_waves:
            await self._publish_wave_status(number, is_complete=False)
        decision = coordinator.decide(
            vms,
            read_at,
            self._view.fleet_state,
            standby,
            self._list_recently_ordered(),
            self._clock.read_monotonic(),
        )
        to_maintain = decision.maintain
        records = self._build_drain_records(decision.drain, number)
        records.extend(self._build_order_records(to_maintain))
        for vm_id in decision.maintained:
            records.append(build_maintenance_done_record(vm_id, number))
            records.append(build_reopen_record(vm_id))
        _log_drain_requests(decision.drain, number, self._view.fleet_state)
        if not await self._store_records(records):
            return False
        for vm in to_maintain:
            coordinator.note_ordered(vm, self._clock.read_monotonic())
            self._nursery.start_soon(self._maintain, coordinator, vm)
        if decision.is_complete:
            await self._publish_wave_status(number, is_complete=True)
        return True

    async def _rebalance(
        self, vms: tuple[Vm, ...], standby: frozenset[str]
    ) -> bool:
        fleet_state = self._view.fleet_state
        busy = set(self._list_recently_ordered())
        busy.update(
            vm.vm_id for vm in vms if _is_draining_for_wave(vm, fleet_state)
        )
        pending: set[str] = set()
        for number, coordinator in self._coordinators.items():
            busy.update(coordinator.in_maintenance)
            pending.update(
                vm_id
                for vm_id in coordinator.wave.vm_ids
                if (number, vm_id) not in fleet_state.maintenance_done
            )
        decision = self._rebalancer.decide(
            vms,
            fleet_state,
            standby,
            frozenset(busy),
            frozenset(pending),
            self._clock.read_monotonic(),
        )
        records = self._build_drain_records(decision.drain, 0)
        records.extend(build_reopen_record(vm.vm_id) for vm in decision.reopen)
        records.extend(self._build_order_records(m.vm for m in decision.moves))
        _log_drain_requests(decision.drain, 0, fleet_state)
        if decision.reopen:
            LOG.emit(
                'Worker drains cancelled.',
                vms=[vm.vm_id for vm in decision.reopen],
                wanted=_collect_wanted_workers(fleet_state),
            )
        if not await self._store_records(records):
            return False
        for move in decision.moves:
            self._rebalancer.note_move_ordered(
                move.vm, self._clock.read_monotonic()
            )
            self._nursery.start_soon(self._move, move)
        return True

    def _build_drain_records(
        self, vms: tuple[Vm, ...], wave: int
    ) -> list[KeyedRecord]:
        records = []
        for vm in vms:
            self._drain_request_count += 1
            number = (
                self._owned.term * DRAIN_REQUESTS_PER_TERM
                + self._drain_request_count
            )
            request = DrainRequest(vm.vm_id, vm.worker_id, wave, number)
            records.append(build_drain_record(request))
        return records

    def _build_order_records(self, vms: Iterable[Vm]) -> list[KeyedRecord]:
        wall_ms = self._clock.read_wall() * MS_PER_SECOND
        order = VmOrder(self._owned.term, wall_ms)
        return [build_order_record(vm.vm_id, order) for vm in vms]

    def _list_recently_ordered(self) -> frozenset[str]:
        return self._view.fleet_state.list_recently_ordered(
            self._owned.term,
            self._clock.read_wall() * MS_PER_SECOND,
            self._settings.holder_lease_seconds * MS_PER_SECOND,
        )

    async def _store_records(self, records: list[KeyedRecord]) -> bool:
        if not records:
            return True
        result = await self._writer.append(tuple(records))
        if isinstance(result, Fenced):
            LOG.emit('Fleet term ended.', reason=result.reason)
            return False
        await self._fleet_state_feed.refresh()
        return True

    async def _maintain(self, coordinator: WaveCoordinator, vm: Vm) -> None:
        wave = coordinator.wave.number
        if not self._is_lease_valid():
            return
        result = await self._vms.maintain(
            vm, wave, self._settings.name, self._owned.term
        )
        FLEET_METER.count(VM_ORDERS, 'maintain', result.value)
        LOG.emit(
            'VM maintenance ordered.',
            vm=vm.vm_id,
            pool=vm.pool,
            worker=vm.worker_id,
            wave=wave,
            result=result.value,
        )
        if result is OrderResult.DONE:
            coordinator.note_begun(vm, self._clock.read_monotonic())
            await self._store_maintenance_begun(vm, wave)
        elif result is OrderResult.REFUSED:
            coordinator.note_refused(vm)

    async def _store_maintenance_begun(self, vm: Vm, wave: int) -> None:
        """Store that maintenance has begun, so that no owner repeats it."""
        record = build_maintenance_begun_record(vm.vm_id, wave, vm.worker_id)
        result = await self._store.append(FLEET_PARTITION, (record,), None)
        if not isinstance(result, Stored):
            LOG.emit(
                'Could not store that VM maintenance has begun.',
                vm=vm.vm_id,
                wave=wave,
                reason=result.reason,
            )

    async def _move(self, move: VmMove) -> None:
        vm = move.vm
        if not self._is_lease_valid():
            return
        result = await self._vms.move(
            vm, move.pool, self._settings.name, self._owned.term
        )
        FLEET_METER.count(VM_ORDERS, 'move', result.value)
        LOG.emit(
            'VM move ordered.',
            vm=vm.vm_id,
            worker=vm.worker_id,
            pool=vm.pool,
            target=move.pool,
            result=result.value,
        )

    async def _publish_wave_status(
        self, wave: int, *, is_complete: bool
    ) -> None:
        result = await self._store.publish_wave_status(
            wave, is_complete=is_complete
        )
        if not isinstance(result, Stored):
            return
        self._published_waves.add(wave)
        if is_complete:
            self._completed_waves.add(wave)
            LOG.emit('Maintenance wave completed.', wave=wave)


def _is_draining_for_wave(vm: Vm, fleet_state: FleetState) -> bool:
    request = fleet_state.find_drain_request(vm.vm_id, vm.worker_id)
    return request is not None and bool(request.wave)


def _log_drain_requests(
    vms: tuple[Vm, ...], wave: int, fleet_state: FleetState
) -> None:
    if vms:
        LOG.emit(
            'Draining workers.',
            vms=[(vm.vm_id, vm.pool) for vm in vms],
            wave=wave,
            wanted=_collect_wanted_workers(fleet_state),
        )


def _collect_wanted_workers(fleet_state: FleetState) -> dict[str, int]:
    return {
        pool: load.wanted_workers for pool, load in fleet_state.loads.items()
    }
