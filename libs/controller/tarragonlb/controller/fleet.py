"""The owner of VM maintenance, on the daemon that holds its partition."""

from collections.abc import Callable

import trio

from tarragonlb.controller.feeds import BoardFeed
from tarragonlb.controller.membership import Holding
from tarragonlb.controller.ports import Clock, Store, Vms, Writer
from tarragonlb.controller.results import Deposed, NotDone, Stored
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.controller.view import View
from tarragonlb.scheduling.fleetboard import (
    write_close,
    write_reopen,
    write_through,
)
from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.wave import Vm, WaveCoordinator, WaveRound
from tarragonlb.telemetry.log import Log

LOG = Log('fleet')


class FleetOwner:
    """Has the VMs of all waves maintained, during one term."""

    __slots__ = (
        '_board',
        '_clock',
        '_coordinators',
        '_done',
        '_holding',
        '_may_act',
        '_number',
        '_settings',
        '_shown',
        '_store',
        '_view',
        '_vms',
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
        self._number = 0

    async def run(self, may_act: Callable[[], bool]) -> None:
        """Own maintenance until the term ends."""
        self._may_act = may_act
        while True:
            fenced = await self._store.fence(
                FLEET_PARTITION, self._holding.term
            )
            if isinstance(fenced, Deposed):
                LOG.say('A term did not begin.', reason=fenced.reason)
                return
            if isinstance(fenced, Stored) and await self._board.refresh():
                break
            await trio.sleep(self._settings.store_retry_seconds)
        # Orders of a former owner may be under way for one turn.
        await trio.sleep(self._settings.holder_turn_seconds)
        LOG.say('A term of the fleet began.', term=self._holding.term)
        is_held = True
        while is_held:
            is_held = await self._step()
            await trio.sleep(self._settings.vm_list_seconds)

    async def _step(self) -> bool:
        waves = [
            wave
            for number, wave in self._view.waves.items()
            if number not in self._done
        ]
        if not (waves and self._may_act()):
            return True
        read_at = self._clock.read_steady()
        vms = await self._vms.list_vms()
        if isinstance(vms, NotDone):
            LOG.say('Listing VMs failed.', reason=vms.reason)
            return True
        await self._board.refresh()
        for wave in waves:
            coordinator = self._coordinators.setdefault(
                wave.number,
                WaveCoordinator(wave, self._clock.read_steady()),
            )
            if not await self._advance(coordinator, vms, read_at):
                return False
        return True

    async def _advance(
        self, coordinator: WaveCoordinator, vms: tuple[Vm, ...], read_at: float
    ) -> bool:
        number = coordinator.wave.number
        if number not in self._shown:
            await self._show(number, is_complete=False)
        decided = coordinator.decide(
            vms, read_at, self._view.board, self._clock.read_steady()
        )
        if not await self._write(number, decided):
            return False
        for vm in decided.maintain:
            await self._maintain(coordinator, vm)
        if decided.complete:
            await self._show(number, is_complete=True)
        return True

    async def _write(self, wave: int, decided: WaveRound) -> bool:
        records: list[KeyedRecord] = []
        for vm_id in decided.through:
            records.append(write_through(vm_id, wave))
            records.append(write_reopen(vm_id))
        records.extend(
            write_close(vm.vm_id, wave, vm.worker_id) for vm in decided.close
        )
        if not records:
            return True
        writer = Writer(self._holding.term, self._number)
        self._number += 1
        while True:
            result = await self._store.append(
                FLEET_PARTITION, tuple(records), writer
            )
            if isinstance(result, Deposed):
                LOG.say('A term of the fleet ended.', reason=result.reason)
                return False
            if isinstance(result, Stored):
                return await self._board.refresh()
            await trio.sleep(self._settings.store_retry_seconds)

    async def _maintain(self, coordinator: WaveCoordinator, vm: Vm) -> None:
        wave = coordinator.wave.number
        if not self._may_act():
            return
        coordinator.note_ordered(vm, self._clock.read_steady())
        result = await self._vms.maintain(
            vm, wave, self._settings.name, self._holding.term
        )
        LOG.say(
            'Maintenance of a VM was ordered.',
            vm=vm.vm_id,
            worker=vm.worker_id,
            wave=wave,
            result=result.value,
        )
        if result is OrderResult.REFUSED:
            coordinator.note_refused(vm)

    async def _show(self, wave: int, *, is_complete: bool) -> None:
        result = await self._store.show_wave(wave, is_complete=is_complete)
        if not isinstance(result, Stored):
            return
        self._shown.add(wave)
        if is_complete:
            self._done.add(wave)
            LOG.say('A maintenance wave is complete.', wave=wave)
