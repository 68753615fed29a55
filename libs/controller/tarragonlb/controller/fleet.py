"""The owner of VM maintenance, on the daemon that holds its partition."""

from collections.abc import Callable, Iterable

import trio

from tarragonlb.controller.dependency import Dependency
from tarragonlb.controller.feeds import BoardFeed
from tarragonlb.controller.membership import Holding
from tarragonlb.controller.ports import Clock, Store, Vms
from tarragonlb.controller.results import Deposed, NotDone, Stored
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.controller.termwriter import TermWriter
from tarragonlb.controller.view import View
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
from tarragonlb.scheduling.rebalancing import PoolRebalancer, VmMove
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.wave import Vm, Wave, WaveCoordinator
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, VM_ORDERS
from tarragonlb.telemetry.log import Log

LOG = Log('fleet')
# Numbers closings of all terms apart.
CLOSINGS_A_TERM = 1_000_000


class FleetOwner:
    """Has the VMs of all waves maintained, during one term."""

    __slots__ = (
        '_board',
        '_clock',
        '_closings',
        '_coordinators',
        '_dependency',
        '_done',
        '_holding',
        '_lender',
        '_may_act',
        '_nursery',
        '_settings',
        '_shown',
        '_store',
        '_view',
        '_vms',
        '_writer',
    )

    def __init__(
        self,
        holding: Holding,
        board: BoardFeed,
        store: Store,
        vms: Vms,
        view: View,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Own maintenance in the term of ``holding``."""
        self._holding = holding
        self._board = board
        self._store = store
        self._vms = vms
        self._view = view
        self._settings = settings
        self._clock = clock
        self._coordinators: dict[int, WaveCoordinator] = {}
        self._done: set[int] = set()
        self._shown: set[int] = set()
        self._writer = TermWriter(holding, store, settings)
        self._closings = 0
        self._lender = PoolRebalancer()
        self._dependency = Dependency('list of VMs')

    async def run(self, may_act: Callable[[], bool]) -> None:
        """Own maintenance until the term ends."""
        self._may_act = may_act
        reason = await self._writer.fence(self._board.refresh)
        if reason:
            LOG.say('A term did not begin.', reason=reason)
            return
        LOG.say('A term of the fleet began.', term=self._holding.term)
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            is_held = True
            while is_held:
                is_held = await self._step()
                await trio.sleep(self._settings.vm_list_seconds)

    async def _step(self) -> bool:
        configuration = self._view.configuration
        if configuration is None or not self._may_act():
            return True
        read_at = self._clock.read_steady()
        vms = await self._vms.list_vms()
        if isinstance(vms, NotDone):
            self._dependency.note_failure(vms.reason, read_at)
            return True
        self._dependency.note_answer(read_at)
        if not await self._board.refresh():
            return True
        standby = configuration.standby_pools
        for wave in tuple(self._view.waves.values()):
            if wave.number in self._done:
                continue
            coordinator = self._find_coordinator(wave)
            if not await self._advance(coordinator, vms, read_at, standby):
                return False
        return await self._lend(vms, standby)

    def _find_coordinator(self, wave: Wave) -> WaveCoordinator:
        known = self._coordinators.get(wave.number)
        if known is None:
            known = WaveCoordinator(
                wave,
                self._settings.scheduling.maintenance_seconds,
                self._clock.read_steady(),
            )
            self._coordinators[wave.number] = known
        return known

    async def _advance(
        self,
        coordinator: WaveCoordinator,
        vms: tuple[Vm, ...],
        read_at: float,
        standby: frozenset[str],
    ) -> bool:
        number = coordinator.wave.number
        if number not in self._shown:
            await self._show(number, is_complete=False)
        decided = coordinator.decide(
            vms,
            read_at,
            self._view.board,
            standby,
            self._clock.read_steady(),
        )
        taken = self._list_taken()
        maintained = [vm for vm in decided.maintain if vm.vm_id not in taken]
        records = self._write_closings(decided.drain, number)
        records.extend(self._write_orders(maintained))
        for vm_id in decided.maintained:
            records.append(build_maintenance_done_record(vm_id, number))
            records.append(build_reopen_record(vm_id))
        _log_closings(decided.drain, number, self._view.board)
        if not await self._write(records):
            return False
        for vm in maintained:
            coordinator.note_ordered(vm, self._clock.read_steady())
            self._nursery.start_soon(self._maintain, coordinator, vm)
        if decided.is_complete:
            await self._show(number, is_complete=True)
        return True

    async def _lend(self, vms: tuple[Vm, ...], standby: frozenset[str]) -> bool:
        board = self._view.board
        busy = set(self._list_taken())
        busy.update(vm.vm_id for vm in vms if _is_taken_by_wave(vm, board))
        pending: set[str] = set()
        for number, coordinator in self._coordinators.items():
            busy.update(coordinator.in_maintenance)
            pending.update(
                vm_id
                for vm_id in coordinator.wave.vm_ids
                if (number, vm_id) not in board.maintenance_done
            )
        decided = self._lender.decide(
            vms,
            board,
            standby,
            frozenset(busy),
            frozenset(pending),
            self._clock.read_steady(),
        )
        records = self._write_closings(decided.drain, 0)
        records.extend(build_reopen_record(vm.vm_id) for vm in decided.reopen)
        records.extend(self._write_orders(m.vm for m in decided.moves))
        _log_closings(decided.drain, 0, board)
        if decided.reopen:
            LOG.say(
                'Workers stay after all.',
                vms=[vm.vm_id for vm in decided.reopen],
                wanted=_list_wanted(board),
            )
        if not await self._write(records):
            return False
        for move in decided.moves:
            self._lender.note_move_ordered(move.vm, self._clock.read_steady())
            self._nursery.start_soon(self._move, move)
        return True

    def _write_closings(
        self, vms: tuple[Vm, ...], wave: int
    ) -> list[KeyedRecord]:
        records = []
        for vm in vms:
            self._closings += 1
            number = self._holding.term * CLOSINGS_A_TERM + self._closings
            closing = DrainRequest(vm.vm_id, vm.worker_id, wave, number)
            records.append(build_drain_record(closing))
        return records

    def _write_orders(self, vms: Iterable[Vm]) -> list[KeyedRecord]:
        wall_ms = self._clock.read_wall() * MS_PER_SECOND
        order = VmOrder(self._holding.term, wall_ms)
        return [build_order_record(vm.vm_id, order) for vm in vms]

    def _list_taken(self) -> frozenset[str]:
        return self._view.board.list_recently_ordered(
            self._holding.term,
            self._clock.read_wall() * MS_PER_SECOND,
            self._settings.holder_turn_seconds * MS_PER_SECOND,
        )

    async def _write(self, records: list[KeyedRecord]) -> bool:
        if not records:
            return True
        result = await self._writer.append(tuple(records))
        if isinstance(result, Deposed):
            LOG.say('A term of the fleet ended.', reason=result.reason)
            return False
        await self._board.refresh()
        return True

    async def _maintain(self, coordinator: WaveCoordinator, vm: Vm) -> None:
        wave = coordinator.wave.number
        if not self._may_act():
            return
        result = await self._vms.maintain(
            vm, wave, self._settings.name, self._holding.term
        )
        FLEET_METER.count(VM_ORDERS, 'maintain', result.value)
        LOG.say(
            'Maintenance of a VM was ordered.',
            vm=vm.vm_id,
            pool=vm.pool,
            worker=vm.worker_id,
            wave=wave,
            result=result.value,
        )
        if result is OrderResult.DONE:
            coordinator.note_begun(vm, self._clock.read_steady())
            await self._note_begun(vm, wave)
        elif result is OrderResult.REFUSED:
            coordinator.note_refused(vm)

    async def _note_begun(self, vm: Vm, wave: int) -> None:
        """Tell later owners, so that the VM is not maintained again."""
        record = build_maintenance_begun_record(vm.vm_id, wave, vm.worker_id)
        result = await self._store.append(FLEET_PARTITION, (record,), None)
        if not isinstance(result, Stored):
            LOG.say(
                'The begin of maintenance was not stored.',
                vm=vm.vm_id,
                wave=wave,
                reason=result.reason,
            )

    async def _move(self, move: VmMove) -> None:
        vm = move.vm
        if not self._may_act():
            return
        result = await self._vms.move(
            vm, move.pool, self._settings.name, self._holding.term
        )
        FLEET_METER.count(VM_ORDERS, 'move', result.value)
        LOG.say(
            'A move of a VM was ordered.',
            vm=vm.vm_id,
            worker=vm.worker_id,
            pool=vm.pool,
            target=move.pool,
            result=result.value,
        )

    async def _show(self, wave: int, *, is_complete: bool) -> None:
        result = await self._store.show_wave(wave, is_complete=is_complete)
        if not isinstance(result, Stored):
            return
        self._shown.add(wave)
        if is_complete:
            self._done.add(wave)
            LOG.say('A maintenance wave is complete.', wave=wave)


def _is_taken_by_wave(vm: Vm, board: FleetState) -> bool:
    closing = board.find_drain_request(vm.vm_id, vm.worker_id)
    return closing is not None and bool(closing.wave)


def _log_closings(vms: tuple[Vm, ...], wave: int, board: FleetState) -> None:
    if vms:
        LOG.say(
            'Workers are to be emptied.',
            vms=[(vm.vm_id, vm.pool) for vm in vms],
            wave=wave,
            wanted=_list_wanted(board),
        )


def _list_wanted(board: FleetState) -> dict[str, int]:
    return {pool: load.wanted_workers for pool, load in board.loads.items()}
