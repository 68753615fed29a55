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

from tarragonlb.scheduling.fleetstate import FleetState

# From closing a VM to its new worker's first report: drain, upkeep, join.
TYPICAL_PASS_SECONDS = 6.0
# VMs that are emptied beyond the cap, so that one is ready when a place is.
CLOSING_AHEAD = 2
# A maintenance order without effect is repeated after the time it needs.
ORDER_REPEAT_SECONDS = 2.5


class VmStatus(enum.Enum):
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
    status: VmStatus
    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """A request of the operators: maintain these VMs within some time."""

    number: int
    vm_ids: tuple[str, ...]
    within_seconds: float
    cap: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveDecision:
    """What a round decided.

    ``drain``, ``maintain`` and ``maintained`` are VMs; ``is_complete`` says
    that the wave is over.
    """

    drain: tuple[Vm, ...] = ()
    maintain: tuple[Vm, ...] = ()
    maintained: tuple[str, ...] = ()
    is_complete: bool = False


class _Order:
    """A maintenance order: when it was sent, and when it surely began."""

    __slots__ = ('begun_at', 'sent_at', 'worker_id')

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.sent_at = 0.0
        self.begun_at: float | None = None


class WaveCoordinator:
    """Decides for one wave, during one term of the fleet's owner."""

    __slots__ = ('_began_at', '_maintenance_seconds', '_ordered', 'wave')

    def __init__(
        self, wave: Wave, maintenance_seconds: float, now: float
    ) -> None:
        """Begin at ``now`` seconds."""
        self.wave = wave
        self._began_at = now
        self._maintenance_seconds = maintenance_seconds
        self._ordered: dict[str, _Order] = {}

    @property
    def in_maintenance(self) -> frozenset[str]:
        """Return the VMs that are down for their maintenance."""
        return frozenset(self._ordered)

    def decide(
        self,
        vms: Iterable[Vm],
        read_at: float,
        board: FleetState,
        standby: frozenset[str],
        now: float,
    ) -> WaveDecision:
        """Decide on a listing that was asked for at ``read_at`` seconds.

        Nothing runs on VMs of ``standby`` pools, so they are not emptied.
        """
        wave = self.wave
        self._take_over(board, now)
        vms = tuple(vms)
        listed = {vm.vm_id: vm for vm in vms if vm.vm_id in wave.vm_ids}
        through = self._find_through(listed, read_at)
        for vm_id in through:
            self._ordered.pop(vm_id, None)
        ended = {
            vm_id
            for number, vm_id in board.maintenance_done
            if number == wave.number
        }.union(through)
        left = [vm for vm in listed.values() if vm.vm_id not in ended]
        return WaveDecision(
            drain=self._choose_closing(left, _Urgency(vms, board), now),
            maintain=self._choose_maintained(left, board, standby, now),
            maintained=through,
            is_complete=not left,
        )

    def note_ordered(self, vm: Vm, now: float) -> None:
        """Count a VM as down, since its maintenance may begin."""
        known = self._ordered.get(vm.vm_id)
        if known is None:
            known = _Order(vm.worker_id)
            self._ordered[vm.vm_id] = known
        known.sent_at = now

    def note_begun(self, vm: Vm, now: float) -> None:
        """Note that the platform confirmed an order."""
        known = self._ordered.get(vm.vm_id)
        if known is not None and known.begun_at is None:
            known.begun_at = now

    def note_refused(self, vm: Vm) -> None:
        """Forget an order that the platform did not carry out."""
        self._ordered.pop(vm.vm_id, None)

    def _take_over(self, board: FleetState, now: float) -> None:
        """Go on with what a former owner has begun."""
        number = self.wave.number
        for (wave, vm_id), worker_id in board.begun.items():
            is_open = (
                wave == number and (wave, vm_id) not in board.maintenance_done
            )
            if is_open and vm_id not in self._ordered:
                order = _Order(worker_id)
                order.sent_at = now
                order.begun_at = now
                self._ordered[vm_id] = order

    def _find_through(
        self, listed: Mapping[str, Vm], read_at: float
    ) -> tuple[str, ...]:
        return tuple(
            vm_id
            for vm_id, order in self._ordered.items()
            if order.sent_at < read_at
            and self._is_through(order, listed.get(vm_id), read_at)
        )

    def _is_through(
        self, order: '_Order', vm: Vm | None, read_at: float
    ) -> bool:
        if vm is None:
            return True
        if vm.status is not VmStatus.UP:
            return False
        if order.begun_at is None:
            return False
        # In a standby pool no worker shows that the VM is back.
        has_new_worker = vm.worker_id != order.worker_id
        waited = read_at - order.begun_at
        return has_new_worker or waited > self._maintenance_seconds

    def _choose_maintained(
        self,
        left: list[Vm],
        board: FleetState,
        standby: frozenset[str],
        now: float,
    ) -> tuple[Vm, ...]:
        down = {
            vm.vm_id for vm in left if vm.status is VmStatus.IN_MAINTENANCE
        }.union(self._ordered)
        free = self.wave.cap - len(down)
        chosen: list[Vm] = []
        for vm in left:
            ordered = self._ordered.get(vm.vm_id)
            if ordered is not None:
                if self._needs_repeat(vm, ordered, now):
                    chosen.append(vm)
                continue
            is_empty = vm.pool in standby or board.is_empty(
                vm.vm_id, vm.worker_id
            )
            if len(chosen) < free and is_empty and vm.status is VmStatus.UP:
                chosen.append(vm)
        return tuple(chosen)

    def _needs_repeat(self, vm: Vm, order: '_Order', now: float) -> bool:
        is_due = now - order.sent_at > ORDER_REPEAT_SECONDS
        is_open = order.begun_at is None
        return vm.status is VmStatus.UP and is_due and is_open

    def _choose_closing(
        self,
        left: list[Vm],
        urgency: '_Urgency',
        now: float,
    ) -> tuple[Vm, ...]:
        closing = self._list_closing(left, urgency.board)
        by_pool = Counter(vm.pool for vm in closing)
        waiting = [
            vm for vm in left if vm.status is VmStatus.UP and vm not in closing
        ]
        limits = self._limit_pools(left, now)
        chosen: list[Vm] = []
        room = self.wave.cap + CLOSING_AHEAD - len(closing)
        for vm in sorted(waiting, key=urgency.rank):
            if len(chosen) >= room:
                break
            if by_pool[vm.pool] < limits[vm.pool]:
                by_pool[vm.pool] += 1
                chosen.append(vm)
        return tuple(chosen)

    def _list_closing(self, left: list[Vm], board: FleetState) -> list[Vm]:
        return [
            vm
            for vm in left
            if board.find_drain_request(vm.vm_id, vm.worker_id)
            or vm.vm_id in self._ordered
        ]

    def _limit_pools(self, left: list[Vm], now: float) -> dict[str, int]:
        time_left = self._began_at + self.wave.within_seconds - now
        passes = max(time_left / TYPICAL_PASS_SECONDS, 1)
        counts = Counter(vm.pool for vm in left)
        return {
            pool: math.ceil(count / passes) for pool, count in counts.items()
        }


class _Urgency:
    """Which VMs to empty first.

    Permanent tasks move one at a time, so VMs that hold some need longest.
    Among the others those of pools with VMs to spare are missed least.
    """

    __slots__ = ('_holding', '_spare', 'board')

    def __init__(self, vms: Iterable[Vm], board: FleetState) -> None:
        self.board = board
        self._spare = Counter(vm.pool for vm in vms)
        for pool, load in board.loads.items():
            self._spare[pool] -= load.wanted_workers
        self._holding = {
            worker_id
            for load in board.loads.values()
            for worker_id in load.holding
        }

    def rank(self, vm: Vm) -> tuple[bool, int, str]:
        return (
            vm.worker_id not in self._holding,
            -self._spare[vm.pool],
            vm.vm_id,
        )
