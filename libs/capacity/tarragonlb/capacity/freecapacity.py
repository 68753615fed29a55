"""What is free on each VM, kept up to date one VM at a time."""

from collections.abc import Mapping
from dataclasses import dataclass, replace

from tarragonlb.capacity.view import FleetView, is_usable
from tarragonlb.capacity.vmfailures import WorkerBook
from tarragonlb.model.job import JobSubmitted


@dataclass(frozen=True, slots=True)
class Size:
    """What a job needs."""

    cores: int
    memory_gb: int

    def is_within(self, spec: JobSubmitted) -> bool:
        """Return whether a job needs at least this much."""
        return self.cores <= spec.cores and self.memory_gb <= spec.memory_gb


@dataclass(slots=True)
class Room:
    """What is free on a VM: cores and gigabytes."""

    vm_id: str
    cores: int
    memory_gb: int

    def fits(self, spec: JobSubmitted) -> bool:
        """Return whether a job can start here now."""
        return self.cores >= spec.cores and self.memory_gb >= spec.memory_gb

    def take(self, spec: JobSubmitted) -> None:
        """Give a job its share."""
        self.cores -= spec.cores
        self.memory_gb -= spec.memory_gb

    def give_back(self, spec: JobSubmitted) -> None:
        """Take a job's share back."""
        self.cores += spec.cores
        self.memory_gb += spec.memory_gb


class PoolRooms:
    """Rooms of a pool with what one round has given away.

    The book's own rooms stay as they are: what a round gives away counts only
    once its records were read back.
    """

    __slots__ = ('_now', '_rooms', '_taken', '_view', '_workers')

    def __init__(
        self,
        rooms: Mapping[str, Room],
        view: FleetView,
        workers: WorkerBook,
        now: float,
    ) -> None:
        """Start with nothing given away."""
        self._rooms = rooms
        self._view = view
        self._workers = workers
        self._now = now
        self._taken: dict[str, Room] = {}

    def take(self, spec: JobSubmitted) -> str | None:
        """Give a job its share of the first VM that has room for it."""
        for vm_id, free in self._rooms.items():
            room = self._taken.get(vm_id, free)
            if room.fits(spec) and self._is_trusted(vm_id):
                room = replace(room)
                room.take(spec)
                self._taken[vm_id] = room
                return vm_id
        return None

    def _is_trusted(self, vm_id: str) -> bool:
        busy = vm_id in self._taken or self._view.jobs.is_busy(vm_id)
        return self._workers.allows(vm_id, self._now, busy=busy)


class RoomBook:
    """Rooms of the VMs that may take new work, by pool."""

    __slots__ = ('_pool_of', '_rooms')

    def __init__(self) -> None:
        """Start without any VM."""
        self._pool_of: dict[str, str] = {}
        self._rooms: dict[str, dict[str, Room]] = {}

    def refresh(self, view: FleetView, vm_id: str) -> None:
        """Work a VM's room out again."""
        self._drop(vm_id)
        if not is_usable(view, vm_id):
            return
        reading = view.vm_readings[vm_id]
        room = Room(vm_id, reading.cores, reading.memory_gb)
        for job in view.jobs.list_started(vm_id):
            room.take(job.spec)
        pool = view.vms[vm_id].pool
        self._pool_of[vm_id] = pool
        self._rooms.setdefault(pool, {})[vm_id] = room

    def open_pool(
        self, pool: str, view: FleetView, workers: WorkerBook, now: float
    ) -> PoolRooms:
        """Return the rooms of a pool for one round."""
        return PoolRooms(self._rooms.get(pool, {}), view, workers, now)

    def _drop(self, vm_id: str) -> None:
        pool = self._pool_of.pop(vm_id, None)
        if pool is not None:
            self._rooms[pool].pop(vm_id)


def never_fits(view: FleetView, pool: str, size: Size) -> bool:
    """Return whether a job is larger than every VM of its pool.

    A pool of which nothing is listed says nothing about sizes.
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
