"""What is free on each VM, kept up to date one VM at a time."""

from dataclasses import dataclass, replace

from tarragonlb.capacity.view import FleetView, is_usable
from tarragonlb.model.job import JobSubmitted


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

    def list_rooms(self, pool: str) -> list[Room]:
        """Return copies of the rooms of a pool that have any core free."""
        rooms = self._rooms.get(pool, {}).values()
        return [replace(room) for room in rooms if room.cores > 0]

    def _drop(self, vm_id: str) -> None:
        pool = self._pool_of.pop(vm_id, None)
        if pool is not None:
            self._rooms[pool].pop(vm_id)


def never_fits(view: FleetView, spec: JobSubmitted) -> bool:
    """Return whether a job is larger than every VM of its pool.

    A pool of which nothing is listed says nothing about sizes.
    """
    listed = [
        view.vm_readings[vm_id]
        for vm_id in view.vms.list_pool(spec.pool)
        if vm_id in view.vm_readings
    ]
    return bool(listed) and all(
        reading.cores < spec.cores or reading.memory_gb < spec.memory_gb
        for reading in listed
    )
