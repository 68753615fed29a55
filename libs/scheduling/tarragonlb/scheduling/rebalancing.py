"""Moves VMs to the pools that need them, and idle ones out of the way.

The pattern it answers: pools peak by turns, each for several seconds, and
all of them together never need all VMs.  A VM in the standby pool costs
nothing and is in service within one move; one that idles elsewhere has to be
closed and emptied first.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from tarragonlb.scheduling.fleetrecords import PoolLoad
from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.wave import Vm, VmStatus

# A pool gives workers away once it did not need them for so long: less than the
# 1.5 s of a move back, since a closing can be taken back until the move.
CALM_SECONDS = 1.0
# A load that has grown over the last second is taken to grow on for so long: a
# move takes 1.5 s, and the new worker is seen some tenths later.
LEAD_SECONDS = 1.5
# A move without effect is asked for again after the time it needs.
MOVE_REPEAT_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class VmMove:
    """A VM and the pool it goes to."""

    vm: Vm
    pool: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RebalancingDecision:
    """VMs to close, closings to take back, and VMs to move now."""

    drain: tuple[Vm, ...] = ()
    reopen: tuple[Vm, ...] = ()
    moves: tuple[VmMove, ...] = ()


class PoolRebalancer:
    """Decides on moves, during one term of the fleet's owner."""

    __slots__ = ('_asked', '_history')

    def __init__(self) -> None:
        """Begin without history."""
        self._history: dict[str, deque[tuple[float, int]]] = {}
        self._asked: dict[str, float] = {}

    def decide(
        self,
        vms: Iterable[Vm],
        board: FleetState,
        standby: frozenset[str],
        busy: frozenset[str],
        pending: frozenset[str],
        now: float,
    ) -> RebalancingDecision:
        """Decide on a listing.

        ``busy`` are VMs that a wave has taken; ``pending`` are those that wait
        for their maintenance, and are lent last: it costs least in standby.
        """
        fleet = _Fleet(tuple(vms), board, standby, busy, pending)
        kept = {
            pool: self._keep(pool, load, now)
            for pool, load in board.loads.items()
            if pool not in standby
        }
        lacks = fleet.count_lacks(kept)
        reopened = fleet.choose_reopened(lacks)
        moves = [
            move
            for move in fleet.choose_moves(kept, lacks)
            if self._may_ask(move.vm, now)
        ]
        return RebalancingDecision(
            drain=tuple(fleet.choose_closed(kept, lacks)),
            reopen=tuple(reopened),
            moves=tuple(moves),
        )

    def note_move_ordered(self, vm: Vm, now: float) -> None:
        """Remember that a move of a VM was asked for."""
        self._asked[vm.vm_id] = now

    def _may_ask(self, vm: Vm, now: float) -> bool:
        asked_at = self._asked.get(vm.vm_id)
        return asked_at is None or now - asked_at > MOVE_REPEAT_SECONDS

    def _keep(self, pool: str, load: PoolLoad, now: float) -> 'PoolNeed':
        history = self._history.setdefault(pool, deque())
        history.append((now, load.wanted_workers))
        while history[0][0] < now - CALM_SECONDS:
            history.popleft()
        seen = [wanted for _, wanted in history]
        growth = (load.wanted_workers - min(seen)) / CALM_SECONDS
        expected = load.wanted_workers + math.ceil(growth * LEAD_SECONDS)
        return PoolNeed(
            floor=load.floor,
            now=expected,
            lately=max(*seen, expected),
            idle=load.idle,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolNeed:
    """Workers a pool needs: always, now, at most lately; and idle ones."""

    floor: int
    now: int
    lately: int
    idle: tuple[str, ...]


class _Fleet:
    """A listing of VMs beside the board."""

    __slots__ = (
        '_board',
        '_busy',
        '_counts',
        '_pending',
        '_standby',
        '_vms',
    )

    def __init__(
        self,
        vms: tuple[Vm, ...],
        board: FleetState,
        standby: frozenset[str],
        busy: frozenset[str],
        pending: frozenset[str],
    ) -> None:
        self._pending = pending
        self._vms = vms
        self._board = board
        self._standby = standby
        self._busy = busy
        self._counts = Counter(
            vm.pool
            for vm in vms
            if vm.status is not VmStatus.DOWN and not self._is_closing(vm)
        )

    def count_lacks(self, needs: Mapping[str, PoolNeed]) -> Counter[str]:
        """Return by pool how many workers are missing."""
        return Counter(
            {
                pool: need.now - self._counts[pool]
                for pool, need in needs.items()
                if need.now > self._counts[pool]
            }
        )

    def choose_reopened(self, lacks: Counter[str]) -> list[Vm]:
        """Take closings back in pools that lack workers."""
        chosen = []
        for vm in self._vms:
            if lacks[vm.pool] > 0 and self._is_lent(vm):
                lacks[vm.pool] -= 1
                chosen.append(vm)
        return chosen

    def choose_moves(
        self, needs: Mapping[str, PoolNeed], lacks: Counter[str]
    ) -> list[VmMove]:
        """Send free VMs to pools that lack workers, others to standby."""
        moves = []
        for vm in self._list_free():
            pool = self._choose_target(vm, needs, lacks)
            if pool and pool != vm.pool:
                moves.append(VmMove(vm, pool))
                lacks[pool] -= 1
                self._counts[pool] += 1
        return moves

    def choose_closed(
        self, needs: Mapping[str, PoolNeed], lacks: Counter[str]
    ) -> list[Vm]:
        """Close idle VMs of pools that have more than they needed lately."""
        lacking = sum(count for count in lacks.values() if count > 0)
        if not (self._standby or lacking):
            return []
        chosen: list[Vm] = []
        for pool, need in needs.items():
            wanted = need.now if lacking > len(chosen) else need.lately
            surplus = max(self._counts[pool] - wanted, 0)
            chosen.extend(self._list_closable(need.idle[:surplus]))
        return chosen

    def _list_closable(self, worker_ids: tuple[str, ...]) -> list[Vm]:
        by_worker = {vm.worker_id: vm for vm in self._vms if vm.worker_id}
        found = [by_worker.get(worker_id) for worker_id in worker_ids]
        return [vm for vm in found if vm is not None and self._may_close(vm)]

    def _choose_target(
        self, vm: Vm, needs: Mapping[str, PoolNeed], lacks: Counter[str]
    ) -> str:
        wanting = [pool for pool, count in lacks.items() if count > 0]
        if wanting:
            # Permanent tasks go first; then the pool that is shortest in
            # proportion.
            return max(
                wanting,
                key=lambda pool: (
                    needs[pool].floor > self._counts[pool],
                    lacks[pool] / needs[pool].now,
                ),
            )
        if vm.pool in self._standby:
            return ''
        return min(self._standby, default='')

    def _list_free(self) -> list[Vm]:
        ready = [
            vm
            for vm in self._vms
            if vm.status is VmStatus.UP
            and vm.vm_id not in self._busy
            and (vm.pool in self._standby or self._is_handed_over(vm))
        ]
        # Emptied VMs cost money where they are; those in standby don't.
        ready.sort(
            key=lambda vm: (
                vm.pool in self._standby,
                vm.vm_id in self._pending,
                vm.vm_id,
            )
        )
        return ready

    def _is_handed_over(self, vm: Vm) -> bool:
        return self._is_lent(vm) and self._board.is_empty(
            vm.vm_id, vm.worker_id
        )

    def _is_lent(self, vm: Vm) -> bool:
        closing = self._board.find_drain_request(vm.vm_id, vm.worker_id)
        if closing is None or vm.status is not VmStatus.UP:
            return False
        return not closing.wave

    def _is_closing(self, vm: Vm) -> bool:
        return (
            self._board.find_drain_request(vm.vm_id, vm.worker_id) is not None
        )

    def _may_close(self, vm: Vm) -> bool:
        is_up = vm.status is VmStatus.UP
        is_free = vm.vm_id not in self._busy and not self._is_closing(vm)
        return is_up and is_free
