"""Moves VMs to the pools that need them, and surplus VMs to a standby pool.

Designed for pools whose peaks last several seconds each, come at different
times, and together never need all VMs.  A VM in a standby pool costs nothing
and is in service after one move; a surplus VM of another pool has to be
drained first.
"""

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from tarragonlb.scheduling.fleetrecords import PoolLoad
from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.wave import Vm, VmStatus

# A worker that its pool has not needed for this time is drained.  The time can
# be shorter than the 1.5 s that it takes to move a VM back, since a drain can
# be cancelled until the VM is moved.
DEMAND_WINDOW_SECONDS = 1.0
# How far ahead the growth of the load over the last second is extrapolated.  A
# move takes 1.5 s, and the new worker appears some tenths of a second later.
FORECAST_SECONDS = 1.5
# Time that a move is given to take effect before it is ordered again.
MOVE_RETRY_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class VmMove:
    """A VM and the pool it goes to."""

    vm: Vm
    pool: str


@dataclass(frozen=True, slots=True, kw_only=True)
class RebalancingDecision:
    """VMs to drain, drains to cancel, and VMs to move now."""

    drain: tuple[Vm, ...] = ()
    reopen: tuple[Vm, ...] = ()
    moves: tuple[VmMove, ...] = ()


class PoolRebalancer:
    """Decides which VMs to drain and move in one term of the fleet's owner."""

    __slots__ = ('_drained_at', '_history', '_ordered_at', '_standby_delay')

    def __init__(self, standby_delay_seconds: float = 0) -> None:
        """Start without a history of loads and without ordered moves.

        A drained VM goes to a standby pool only after
        ``standby_delay_seconds`` without another pool that lacks workers.
        """
        self._standby_delay = standby_delay_seconds
        self._drained_at: dict[str, float] = {}
        self._history: dict[str, deque[tuple[float, int]]] = {}
        self._ordered_at: dict[str, float] = {}

    def decide(
        self,
        vms: Iterable[Vm],
        fleet_state: FleetState,
        standby: frozenset[str],
        busy: frozenset[str],
        pending: frozenset[str],
        now: float,
    ) -> RebalancingDecision:
        """Return what to drain, reopen and move, given the listed VMs.

        ``busy`` are VMs that a wave is draining or maintaining.  ``pending``
        are VMs that still wait for maintenance; they are moved last, since
        maintenance costs least in a standby pool.
        """
        fleet = _Fleet(tuple(vms), fleet_state, standby, busy, pending)
        needs = {
            pool: self._update_need(pool, load, now)
            for pool, load in fleet_state.loads.items()
            if pool not in standby
        }
        shortages = fleet.count_shortages(needs)
        reopened = fleet.choose_reopened(needs, shortages)
        moves = [
            move
            for move in fleet.choose_moves(needs, shortages)
            if self._can_order_move(move.vm, now)
            and self._may_leave(move, standby, now)
        ]
        self._note_drained(fleet.list_drained(), now)
        return RebalancingDecision(
            drain=tuple(fleet.choose_vms_to_drain(needs, shortages)),
            reopen=tuple(reopened),
            moves=tuple(moves),
        )

    def note_move_ordered(self, vm: Vm, now: float) -> None:
        """Record that a move of a VM was ordered at ``now`` seconds."""
        self._ordered_at[vm.vm_id] = now

    def _note_drained(self, worker_ids: Iterable[str], now: float) -> None:
        self._drained_at = {
            worker_id: self._drained_at.get(worker_id, now)
            for worker_id in worker_ids
        }

    def _may_leave(
        self, move: VmMove, standby: frozenset[str], now: float
    ) -> bool:
        """Return whether a drained VM has waited long enough for a pool."""
        if move.pool not in standby:
            return True
        drained_at = self._drained_at.get(move.vm.worker_id, now)
        return now - drained_at >= self._standby_delay

    def _can_order_move(self, vm: Vm, now: float) -> bool:
        ordered_at = self._ordered_at.get(vm.vm_id)
        return ordered_at is None or now - ordered_at > MOVE_RETRY_SECONDS

    def _update_need(self, pool: str, load: PoolLoad, now: float) -> 'PoolNeed':
        history = self._history.setdefault(pool, deque())
        history.append((now, load.wanted_workers))
        while history[0][0] < now - DEMAND_WINDOW_SECONDS:
            history.popleft()
        seen = [wanted for _, wanted in history]
        growth = (load.wanted_workers - min(seen)) / DEMAND_WINDOW_SECONDS
        expected = load.wanted_workers + math.ceil(growth * FORECAST_SECONDS)
        return PoolNeed(
            min_workers=load.min_workers,
            needed_workers=max(load.needed_workers, load.min_workers),
            expected_workers=expected,
            recent_peak=max(*seen, expected),
            drain_candidates=load.drain_candidates,
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolNeed:
    """How many workers a pool needs.

    It needs ``min_workers`` at all times, ``needed_workers`` for the tasks that
    run or wait, and ``expected_workers`` by the time that a move ordered now
    has ended.  ``recent_peak`` is the largest number
    that it needed in the last ``DEMAND_WINDOW_SECONDS``, and not less than
    ``expected_workers``.
    """

    min_workers: int
    needed_workers: int
    expected_workers: int
    recent_peak: int
    drain_candidates: tuple[str, ...]


class _Fleet:
    """The platform's list of VMs combined with the fleet state."""

    __slots__ = (
        '_busy',
        '_counts',
        '_fleet_state',
        '_pending',
        '_standby',
        '_vms',
    )

    def __init__(
        self,
        vms: tuple[Vm, ...],
        fleet_state: FleetState,
        standby: frozenset[str],
        busy: frozenset[str],
        pending: frozenset[str],
    ) -> None:
        self._pending = pending
        self._vms = vms
        self._fleet_state = fleet_state
        self._standby = standby
        self._busy = busy
        self._counts = Counter(
            vm.pool
            for vm in vms
            if vm.status is not VmStatus.DOWN and not self._is_draining(vm)
        )

    def count_shortages(self, needs: Mapping[str, PoolNeed]) -> Counter[str]:
        """Return by pool how many workers are missing."""
        return Counter(
            {
                pool: need.expected_workers - self._counts[pool]
                for pool, need in needs.items()
                if need.expected_workers > self._counts[pool]
            }
        )

    def choose_reopened(
        self, needs: Mapping[str, PoolNeed], shortages: Counter[str]
    ) -> list[Vm]:
        """Return VMs whose drain to cancel, in pools that lack workers.

        While tasks wait in any pool, only pools with waiting tasks do so.
        """
        chosen = []
        is_any_urgent = bool(self._count_urgent(needs))
        for vm in self._vms:
            if shortages[vm.pool] <= 0 or not self._is_draining_for_move(vm):
                continue
            is_urgent = self._counts[vm.pool] < needs[vm.pool].needed_workers
            if is_urgent or not is_any_urgent:
                shortages[vm.pool] -= 1
                self._counts[vm.pool] += 1
                chosen.append(vm)
        return chosen

    def choose_moves(
        self, needs: Mapping[str, PoolNeed], shortages: Counter[str]
    ) -> list[VmMove]:
        """Move free VMs to pools that lack workers, the rest to standby."""
        moves = []
        for vm in self._list_free():
            pool = self._choose_target(vm, needs, shortages)
            if pool and pool != vm.pool:
                moves.append(VmMove(vm, pool))
                shortages[pool] -= 1
                self._counts[pool] += 1
        return moves

    def choose_vms_to_drain(
        self, needs: Mapping[str, PoolNeed], shortages: Counter[str]
    ) -> list[Vm]:
        """Return VMs to drain in pools that have surplus workers.

        A pool keeps its recent peak of workers, but only the expected number
        while other pools lack workers, and while tasks wait there, only as many
        as it has tasks for.
        """
        missing = sum(count for count in shortages.values() if count > 0)
        if not (self._standby or missing):
            return []
        chosen: list[Vm] = []
        for need, pool in self._sort_by_surplus(needs):
            wanted = (
                need.expected_workers
                if missing > len(chosen)
                else need.recent_peak
            )
            chosen.extend(self._drain_surplus(pool, need, wanted))
        being_drained = sum(map(self._is_draining_for_move, self._vms))
        urgent = self._count_urgent(needs) - being_drained
        for need, pool in self._sort_by_surplus(needs):
            if urgent <= len(chosen):
                break
            surplus = self._drain_surplus(pool, need, need.needed_workers)
            more = [vm for vm in surplus if vm not in chosen]
            chosen.extend(more[: urgent - len(chosen)])
        return chosen

    def list_drained(self) -> list[str]:
        """Return the workers that were drained for a move."""
        return [vm.worker_id for vm in self._vms if self._is_drained(vm)]

    def _count_urgent(self, needs: Mapping[str, PoolNeed]) -> int:
        """Return how many workers are missing for tasks that wait."""
        return sum(
            max(need.needed_workers - self._counts[pool], 0)
            for pool, need in needs.items()
        )

    def _sort_by_surplus(
        self, needs: Mapping[str, PoolNeed]
    ) -> list[tuple[PoolNeed, str]]:
        return sorted(
            ((need, pool) for pool, need in needs.items()),
            key=lambda pair: pair[0].needed_workers - self._counts[pair[1]],
        )

    def _drain_surplus(
        self, pool: str, need: PoolNeed, wanted: int
    ) -> list[Vm]:
        surplus = max(self._counts[pool] - wanted, 0)
        # Older loads still list workers that are being drained.
        drainable = self._list_drainable(need.drain_candidates)
        return drainable[:surplus]

    def _list_drainable(self, worker_ids: tuple[str, ...]) -> list[Vm]:
        by_worker = {vm.worker_id: vm for vm in self._vms if vm.worker_id}
        found = [by_worker.get(worker_id) for worker_id in worker_ids]
        return [vm for vm in found if vm is not None and self._can_drain(vm)]

    def _choose_target(
        self, vm: Vm, needs: Mapping[str, PoolNeed], shortages: Counter[str]
    ) -> str:
        short_pools = [pool for pool, count in shortages.items() if count > 0]
        if short_pools:
            # Pools below their minimum come first, for their permanent tasks,
            # then those with waiting tasks, then the pool that lacks the
            # largest share of the workers that it is expected to need.
            return max(
                short_pools,
                key=lambda pool: (
                    needs[pool].min_workers > self._counts[pool],
                    needs[pool].needed_workers > self._counts[pool],
                    shortages[pool] / needs[pool].expected_workers,
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
            and (vm.pool in self._standby or self._is_drained(vm))
        ]
        # Drained VMs are moved first: they cost money in their pool, those in
        # standby do not.
        ready.sort(
            key=lambda vm: (
                vm.pool in self._standby,
                vm.vm_id in self._pending,
                vm.vm_id,
            )
        )
        return ready

    def _is_drained(self, vm: Vm) -> bool:
        return self._is_draining_for_move(vm) and self._fleet_state.is_drained(
            vm.vm_id, vm.worker_id
        )

    def _is_draining_for_move(self, vm: Vm) -> bool:
        request = self._fleet_state.find_drain_request(vm.vm_id, vm.worker_id)
        if request is None or vm.status is not VmStatus.UP:
            return False
        return not request.wave

    def _is_draining(self, vm: Vm) -> bool:
        return (
            self._fleet_state.find_drain_request(vm.vm_id, vm.worker_id)
            is not None
        )

    def _can_drain(self, vm: Vm) -> bool:
        is_up = vm.status is VmStatus.UP
        is_free = vm.vm_id not in self._busy and not self._is_draining(vm)
        return is_up and is_free
