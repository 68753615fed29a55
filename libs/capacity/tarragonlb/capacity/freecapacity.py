"""Free capacity of each VM, updated one VM at a time."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from tarragonlb.capacity.view import FleetView, is_usable
from tarragonlb.capacity.vmfailures import VmFailures
from tarragonlb.model.job import JobSubmitted


@dataclass(frozen=True, slots=True)
class JobSize:
    """The resources that a job needs."""

    cores: int
    memory_gb: int

    def is_at_most(self, spec: JobSubmitted) -> bool:
        """Return whether a job needs at least this much."""
        return self.cores <= spec.cores and self.memory_gb <= spec.memory_gb


@dataclass(slots=True)
class FreeCapacity:
    """The free cores and gigabytes of memory of a VM."""

    vm_id: str
    cores: int
    memory_gb: int

    def fits(self, spec: JobSubmitted) -> bool:
        """Return whether a job can start on the VM now."""
        return self.cores >= spec.cores and self.memory_gb >= spec.memory_gb

    def allocate(self, spec: JobSubmitted) -> None:
        """Subtract the resources of a job."""
        self.cores -= spec.cores
        self.memory_gb -= spec.memory_gb

    def release(self, spec: JobSubmitted) -> None:
        """Add the resources of a job."""
        self.cores += spec.cores
        self.memory_gb += spec.memory_gb


class PoolCapacity:
    """Free capacity of a pool, less what one round has allocated.

    The index itself is not changed: allocations count only once their records
    have been read back.
    """

    __slots__ = ('_allocated', '_capacities', '_failures', '_now', '_view')

    def __init__(
        self,
        capacities: Mapping[str, FreeCapacity],
        view: FleetView,
        failures: VmFailures,
        now: float,
    ) -> None:
        """Start without allocations."""
        self._capacities = capacities
        self._view = view
        self._failures = failures
        self._now = now
        self._allocated: dict[str, FreeCapacity] = {}

    def allocate(self, spec: JobSubmitted) -> str | None:
        """Allocate a job on the first VM that it fits and return that VM."""
        for vm_id, listed_capacity in self._capacities.items():
            capacity = self._allocated.get(vm_id, listed_capacity)
            if capacity.fits(spec) and self._can_start(vm_id):
                capacity = replace(capacity)
                capacity.allocate(spec)
                self._allocated[vm_id] = capacity
                return vm_id
        return None

    def _can_start(self, vm_id: str) -> bool:
        busy = vm_id in self._allocated or self._view.jobs.is_busy(vm_id)
        return self._failures.can_start(vm_id, self._now, busy=busy)


class CapacityIndex:
    """Free capacity of the VMs that accept new work, by pool."""

    __slots__ = ('_capacities', '_pools_by_vm')

    def __init__(self) -> None:
        """Start without VMs."""
        self._pools_by_vm: dict[str, str] = {}
        self._capacities: dict[str, dict[str, FreeCapacity]] = {}

    def refresh(self, view: FleetView, vm_id: str) -> None:
        """Recompute the free capacity of a VM."""
        self._remove(vm_id)
        if not is_usable(view, vm_id):
            return
        reading = view.vm_readings[vm_id]
        capacity = FreeCapacity(vm_id, reading.cores, reading.memory_gb)
        for job in view.jobs.list_started(vm_id):
            capacity.allocate(job.spec)
        pool = view.vms[vm_id].pool
        self._pools_by_vm[vm_id] = pool
        self._capacities.setdefault(pool, {})[vm_id] = capacity

    def start_round(
        self, pool: str, view: FleetView, failures: VmFailures, now: float
    ) -> PoolCapacity:
        """Return the free capacity of a pool for one round."""
        return PoolCapacity(self._capacities.get(pool, {}), view, failures, now)

    def _remove(self, vm_id: str) -> None:
        pool = self._pools_by_vm.pop(vm_id, None)
        if pool is not None:
            self._capacities[pool].pop(vm_id)


def is_too_large(view: FleetView, pool: str, size: JobSize) -> bool:
    """Return whether a job is larger than every VM of its pool.

    The result is False if no VM of the pool has a reading, because the VM sizes
    are then unknown.
    """
    listed = [
        view.vm_readings[vm_id]
        for vm_id in view.vms.list_pool_vms(pool)
        if vm_id in view.vm_readings
    ]
    return bool(listed) and all(
        reading.cores < size.cores or reading.memory_gb < size.memory_gb
        for reading in listed
    )
