"""Drains and maintains the VMs of a maintenance wave, a few at a time.

A wave may cover half of the fleet, at times whole racks.  Its time limit is
little more than the time that it takes if as many VMs as the cap allows are
down all the time.  So VMs are drained ahead of their maintenance, spread over
the pools.
"""

import enum
import math
from collections import Counter
from collections.abc import Iterable
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from tarragonlb.scheduling.fleetstate import FleetState

# Time from the drain request for a VM to the first report of its new worker:
# drain, maintenance, join.
TYPICAL_CYCLE_SECONDS = 6.0
# Number of VMs drained beyond the cap, so that one is ready for maintenance
# when another comes back.
DRAINS_AHEAD = 2
# Time that a maintenance order is given to take effect before it is repeated.
ORDER_RETRY_SECONDS = 2.5
# The worker of a VM whose row in the platform's list can't be read.
UNKNOWN_WORKER = '?'


class VmStatus(enum.Enum):
    """Status of a VM, as the platform lists it."""

    UP = 'up'
    MOVING = 'moving'
    IN_MAINTENANCE = 'in-maintenance'
    DOWN = 'down'


@dataclass(frozen=True, slots=True, kw_only=True)
class Vm:
    """A VM as the platform lists it, with the worker that it runs.

    Of a row that can't be read no more than the name is known, or nothing; the
    worker is ``UNKNOWN_WORKER`` then.
    """

    vm_id: str
    pool: str
    status: VmStatus
    worker_id: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Wave:
    """A request of the operators to maintain VMs within a time limit.

    At most ``cap`` of them may be down at a time.
    """

    number: int
    vm_ids: tuple[str, ...]
    within_seconds: float
    cap: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveDecision:
    """What a round decided for a wave.

    ``drain`` are VMs to request the draining of, ``maintain`` are VMs to order
    the maintenance of.  ``maintained`` are the ids of VMs whose maintenance has
    ended since the previous round.  ``is_complete`` means that no VM of the
    wave remains.
    """

    drain: tuple[Vm, ...] = ()
    maintain: tuple[Vm, ...] = ()
    maintained: tuple[str, ...] = ()
    is_complete: bool = False


class _MaintenanceOrder:
    """A maintenance order.

    ``sent_at`` is when it was last sent, ``begun_at`` when the platform
    confirmed it, or None, and ``worker_id`` the VM's worker before the
    maintenance.
    """

    __slots__ = ('begun_at', 'sent_at', 'worker_id')

    def __init__(self, worker_id: str) -> None:
        self.worker_id = worker_id
        self.sent_at = 0.0
        self.begun_at: float | None = None


class WaveCoordinator:
    """Coordinates one wave, during one term of the fleet's owner."""

    __slots__ = ('_maintenance_seconds', '_ordered', '_read_at', 'wave')

    def __init__(
        self, wave: Wave, maintenance_seconds: float, read_at: float
    ) -> None:
        """Coordinate ``wave``, first read by this process at ``read_at``."""
        self.wave = wave
        self._read_at = read_at
        self._maintenance_seconds = maintenance_seconds
        self._ordered: dict[str, _MaintenanceOrder] = {}

    @property
    def in_maintenance(self) -> frozenset[str]:
        """Return the ids of the VMs that count as down for maintenance."""
        return frozenset(self._ordered)

    def decide(
        self,
        vms: Iterable[Vm],
        read_at: float,
        fleet_state: FleetState,
        standby: frozenset[str],
        reserved: frozenset[str],
        now: float,
    ) -> WaveDecision:
        """Return what to drain and maintain, given the listed VMs.

        The list was requested at ``read_at`` seconds.  No tasks run on VMs of
        ``standby`` pools, so these VMs need no draining.  An order of another
        owner for VMs of ``reserved`` may be under way, so they count as down.
        """
        self._resume_orders(fleet_state, now)
        vms = tuple(vms)
        ended = {
            vm_id
            for number, vm_id in fleet_state.maintenance_done
            if number == self.wave.number
        }
        listing = _WaveListing(self.wave, vms, ended)
        finished = self._find_maintained(listing, read_at)
        for vm_id in finished:
            self._ordered.pop(vm_id, None)
        ended.update(finished)
        remaining = [
            vm for vm in listing.by_id.values() if vm.vm_id not in ended
        ]
        free = self.wave.cap - self._count_down(remaining, listing, reserved)
        return WaveDecision(
            drain=self._choose_vms_to_drain(
                remaining, _DrainPriority(vms, fleet_state), now
            ),
            maintain=self._choose_vms_to_maintain(
                [vm for vm in remaining if vm.vm_id not in reserved],
                fleet_state,
                standby,
                free,
                now,
            ),
            maintained=finished,
            is_complete=not (remaining or listing.hidden),
        )

    def note_ordered(self, vm: Vm, now: float) -> None:
        """Count a VM as down from now on, since its maintenance may begin."""
        known = self._ordered.get(vm.vm_id)
        if known is None:
            known = _MaintenanceOrder(vm.worker_id)
            self._ordered[vm.vm_id] = known
        known.sent_at = now

    def note_begun(self, vm: Vm, now: float) -> None:
        """Note that the platform confirmed a maintenance order."""
        known = self._ordered.get(vm.vm_id)
        if known is not None and known.begun_at is None:
            known.begun_at = now

    def note_refused(self, vm: Vm) -> None:
        """Forget a maintenance order that the platform refused."""
        self._ordered.pop(vm.vm_id, None)

    def _resume_orders(self, fleet_state: FleetState, now: float) -> None:
        """Adopt the maintenance that a former owner has begun."""
        number = self.wave.number
        for key, worker_id in fleet_state.maintenance_begun.items():
            wave, vm_id = key
            is_unfinished = (
                wave == number and key not in fleet_state.maintenance_done
            )
            if is_unfinished and vm_id not in self._ordered:
                order = _MaintenanceOrder(worker_id)
                order.sent_at = now
                order.begun_at = fleet_state.maintenance_begun_at[key]
                self._ordered[vm_id] = order

    def _find_maintained(
        self, listing: '_WaveListing', read_at: float
    ) -> tuple[str, ...]:
        return tuple(
            vm_id
            for vm_id, order in self._ordered.items()
            if order.sent_at < read_at
            and vm_id not in listing.hidden
            and self._is_maintained(order, listing.by_id.get(vm_id), read_at)
        )

    def _is_maintained(
        self, order: '_MaintenanceOrder', vm: Vm | None, read_at: float
    ) -> bool:
        if vm is None:
            return True
        if vm.status is not VmStatus.UP:
            return False
        if order.begun_at is None:
            return False
        # A VM of a standby pool runs no worker that could show that it is back,
        # so it counts as maintained after the duration of a maintenance.
        has_new_worker = vm.worker_id != order.worker_id
        waited = read_at - order.begun_at
        return has_new_worker or waited > self._maintenance_seconds

    def _choose_vms_to_maintain(
        self,
        unreserved: list[Vm],
        fleet_state: FleetState,
        standby: frozenset[str],
        free: int,
        now: float,
    ) -> tuple[Vm, ...]:
        chosen: list[Vm] = []
        for vm in unreserved:
            ordered = self._ordered.get(vm.vm_id)
            if ordered is not None:
                if self._needs_retry(vm, ordered, now):
                    chosen.append(vm)
                continue
            is_drained = vm.pool in standby or fleet_state.is_drained(
                vm.vm_id, vm.worker_id
            )
            if len(chosen) < free and is_drained and vm.status is VmStatus.UP:
                chosen.append(vm)
        return tuple(chosen)

    def _count_down(
        self,
        remaining: list[Vm],
        listing: '_WaveListing',
        reserved: frozenset[str],
    ) -> int:
        down = {
            vm.vm_id
            for vm in remaining
            if vm.status is VmStatus.IN_MAINTENANCE or vm.vm_id in reserved
        }
        down.update(self._ordered)
        return len(down) + listing.count_hidden(down)

    def _needs_retry(
        self, vm: Vm, order: '_MaintenanceOrder', now: float
    ) -> bool:
        is_overdue = now - order.sent_at > ORDER_RETRY_SECONDS
        is_unconfirmed = order.begun_at is None
        return vm.status is VmStatus.UP and is_overdue and is_unconfirmed

    def _choose_vms_to_drain(
        self,
        remaining: list[Vm],
        priority: '_DrainPriority',
        now: float,
    ) -> tuple[Vm, ...]:
        draining = self._list_draining(remaining, priority.fleet_state)
        by_pool = Counter(vm.pool for vm in draining)
        waiting = [
            vm
            for vm in remaining
            if vm.status is VmStatus.UP and vm not in draining
        ]
        limits = self._limit_drains(remaining, now)
        chosen: list[Vm] = []
        free_slots = self.wave.cap + DRAINS_AHEAD - len(draining)
        for vm in sorted(waiting, key=priority.rank):
            if len(chosen) >= free_slots:
                break
            if by_pool[vm.pool] < limits[vm.pool]:
                by_pool[vm.pool] += 1
                chosen.append(vm)
        return tuple(chosen)

    def _list_draining(
        self, remaining: list[Vm], fleet_state: FleetState
    ) -> list[Vm]:
        return [
            vm
            for vm in remaining
            if fleet_state.find_drain_request(vm.vm_id, vm.worker_id)
            or vm.vm_id in self._ordered
        ]

    def _limit_drains(self, remaining: list[Vm], now: float) -> dict[str, int]:
        time_left = self._read_at + self.wave.within_seconds - now
        cycles = max(time_left / TYPICAL_CYCLE_SECONDS, 1)
        counts = Counter(vm.pool for vm in remaining)
        return {
            pool: math.ceil(count / cycles) for pool, count in counts.items()
        }


class _WaveListing:
    """What the platform lists of a wave.

    ``by_id`` are its listed VMs.  VMs whose names can't be read may be any of
    the others, so these are ``hidden``: they are not over, and may be down.
    """

    __slots__ = ('_nameless', 'by_id', 'hidden')

    def __init__(
        self, wave: Wave, vms: Iterable[Vm], ended: AbstractSet[str]
    ) -> None:
        """Find the VMs of a wave in a list, less those that have ended."""
        hidden = set(wave.vm_ids)
        self.by_id: dict[str, Vm] = {}
        self._nameless = 0
        for vm in vms:
            if vm.vm_id in hidden:
                self.by_id[vm.vm_id] = vm
            elif not vm.vm_id:
                self._nameless += 1
        hidden.difference_update(self.by_id, ended)
        self.hidden = frozenset(hidden if self._nameless else ())

    def count_hidden(self, counted: AbstractSet[str]) -> int:
        """Return how many hidden VMs other than ``counted`` may be down."""
        return min(self._nameless, len(self.hidden - counted))


class _DrainPriority:
    """The order in which VMs are drained.

    VMs with permanent tasks come first: these tasks move one at a time, so such
    VMs take longest to drain.  Then come VMs of the pools with the largest
    surplus, which need them least.
    """

    __slots__ = ('_surplus', '_with_permanent_tasks', 'fleet_state')

    def __init__(self, vms: Iterable[Vm], fleet_state: FleetState) -> None:
        self.fleet_state = fleet_state
        self._surplus = Counter(vm.pool for vm in vms)
        for pool, load in fleet_state.loads.items():
            self._surplus[pool] -= load.wanted_workers
        self._with_permanent_tasks = {
            worker_id
            for load in fleet_state.loads.values()
            for worker_id in load.with_permanent_tasks
        }

    def rank(self, vm: Vm) -> tuple[bool, int, str]:
        return (
            vm.worker_id not in self._with_permanent_tasks,
            -self._surplus[vm.pool],
            vm.vm_id,
        )
