"""Takes the VMs of a maintenance wave away, a few at a time.

The pattern it answers: a wave covers half of the fleet, whole racks at times,
with little more time than it takes when every place under the cap is used.  So
VMs are emptied ahead of their turn, spread over the pools.
"""

import enum
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from tarragonlb.scheduling.fleetboard import FleetBoard

# From closing a VM to its new worker's first report: drain, upkeep, join.
TYPICAL_PASS_SECONDS = 6.0
# VMs that are emptied beyond the cap, so that one is ready when a place is.
CLOSING_AHEAD = 2
# A maintenance order without effect is repeated after the time it needs.
ORDER_REPEAT_SECONDS = 2.5


class VmPower(enum.Enum):
    """What a VM is doing, as the platform lists it."""

    UP = 'up'
    MOVING = 'moving'
    IN_MAINTENANCE = 'in-maintenance'
    DOWN = 'down'


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM as the platform lists it, with the worker it runs."""

    vm_id: str
    pool: str
    power: VmPower
    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """A request of the operators: maintain these VMs within some time."""

    number: int
    vm_ids: tuple[str, ...]
    within_seconds: float
    cap: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveRound:
    """What a round decided.

    ``close``, ``maintain`` and ``through`` are VMs; ``complete`` says that the
    wave is over.
    """

    close: tuple[Vm, ...] = ()
    maintain: tuple[Vm, ...] = ()
    through: tuple[str, ...] = ()
    complete: bool = False


class WaveCoordinator:
    """Decides for one wave, during one term of the fleet's owner."""

    __slots__ = ('_began_at', '_ordered', 'wave')

    def __init__(self, wave: Wave, now: float) -> None:
        """Begin at ``now`` seconds."""
        self.wave = wave
        self._began_at = now
        self._ordered: dict[str, tuple[float, str]] = {}

    @property
    def is_waiting(self) -> bool:
        """Return whether a VM is down for its maintenance."""
        return bool(self._ordered)

    def decide(
        self, vms: Iterable[Vm], read_at: float, board: FleetBoard, now: float
    ) -> WaveRound:
        """Decide on a listing that was asked for at ``read_at`` seconds."""
        wave = self.wave
        listed = {vm.vm_id: vm for vm in vms if vm.vm_id in wave.vm_ids}
        through = self._find_through(listed, read_at)
        for vm_id in through:
            self._ordered.pop(vm_id, None)
        ended = {
            vm_id for number, vm_id in board.through if number == wave.number
        }.union(through)
        left = [vm for vm in listed.values() if vm.vm_id not in ended]
        return WaveRound(
            close=self._choose_closing(left, board, now),
            maintain=self._choose_maintained(left, board, now),
            through=through,
            complete=not left,
        )

    def note_ordered(self, vm: Vm, now: float) -> None:
        """Count a VM as down, since its maintenance may begin."""
        self._ordered[vm.vm_id] = (now, vm.worker_id)

    def note_refused(self, vm: Vm) -> None:
        """Forget an order that the platform did not carry out."""
        self._ordered.pop(vm.vm_id, None)

    def _find_through(
        self, listed: Mapping[str, Vm], read_at: float
    ) -> tuple[str, ...]:
        found = []
        for vm_id, (ordered_at, worker_id) in self._ordered.items():
            vm = listed.get(vm_id)
            is_gone = vm is None
            is_back = (
                vm is not None
                and vm.power is VmPower.UP
                and vm.worker_id != worker_id
            )
            if read_at > ordered_at and (is_gone or is_back):
                found.append(vm_id)
        return tuple(found)

    def _choose_maintained(
        self, left: list[Vm], board: FleetBoard, now: float
    ) -> tuple[Vm, ...]:
        down = {
            vm.vm_id for vm in left if vm.power is VmPower.IN_MAINTENANCE
        }.union(self._ordered)
        free = self.wave.cap - len(down)
        chosen: list[Vm] = []
        for vm in left:
            ordered = self._ordered.get(vm.vm_id)
            if ordered is not None:
                if self._needs_repeat(vm, ordered[0], now):
                    chosen.append(vm)
                continue
            if len(chosen) < free and self._is_empty(vm, board):
                chosen.append(vm)
        return tuple(chosen)

    def _needs_repeat(self, vm: Vm, ordered_at: float, now: float) -> bool:
        is_due = now - ordered_at > ORDER_REPEAT_SECONDS
        return vm.power is VmPower.UP and is_due

    def _is_empty(self, vm: Vm, board: FleetBoard) -> bool:
        handed_over = board.empty.get(vm.vm_id)
        is_up = vm.power is VmPower.UP
        return is_up and handed_over == (self.wave.number, vm.worker_id)

    def _choose_closing(
        self, left: list[Vm], board: FleetBoard, now: float
    ) -> tuple[Vm, ...]:
        closing = self._list_closing(left, board)
        by_pool = Counter(vm.pool for vm in closing)
        waiting = [
            vm for vm in left if vm.power is VmPower.UP and vm not in closing
        ]
        limits = self._limit_pools(left, now)
        chosen: list[Vm] = []
        room = self.wave.cap + CLOSING_AHEAD - len(closing)
        for vm in sorted(waiting, key=_order_vm):
            if len(chosen) >= room:
                break
            if by_pool[vm.pool] < limits[vm.pool]:
                by_pool[vm.pool] += 1
                chosen.append(vm)
        return tuple(chosen)

    def _list_closing(self, left: list[Vm], board: FleetBoard) -> list[Vm]:
        return [
            vm
            for vm in left
            if board.closing.get(vm.vm_id) == (self.wave.number, vm.worker_id)
            or vm.vm_id in self._ordered
        ]

    def _limit_pools(self, left: list[Vm], now: float) -> dict[str, int]:
        time_left = self._began_at + self.wave.within_seconds - now
        passes = max(time_left / TYPICAL_PASS_SECONDS, 1)
        counts = Counter(vm.pool for vm in left)
        return {
            pool: math.ceil(count / passes) for pool, count in counts.items()
        }


def _order_vm(vm: Vm) -> str:
    return vm.vm_id
