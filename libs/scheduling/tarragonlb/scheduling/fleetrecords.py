"""The records about VMs that owners write for one another.

The owner of a pool writes how much its jobs ask for.  The fleet owner writes
that a VM closes; the pool's owner empties the worker and writes that it is
empty; the fleet owner then moves the VM or has it maintained.  All of it lies
in one partition.

    load/POOL           what the pool's jobs ask for
    close/VM            the VM's worker takes no new tasks
    empty/VM            nothing runs there any more, for one closing
    order/VM            an order for the VM is about to be sent
    begun/WAVE/VM       the platform said that the VM's maintenance begins
    through/WAVE/VM     the VM had its maintenance
"""

from dataclasses import dataclass

import cbor2

from tarragonlb.scheduling.records import KeyedRecord

LOAD = 'load'
CLOSE = 'close'
EMPTY = 'empty'
ORDER = 'order'
BEGUN = 'begun'
THROUGH = 'through'


@dataclass(frozen=True, slots=True)
class DrainRequest:
    """A worker that is being emptied.

    ``wave`` is 0 where the VM is to be moved.  ``number`` tells closings of
    one worker apart, so that an old answer is not taken for a new one.
    """

    vm_id: str
    worker_id: str
    wave: int
    number: int


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """What the jobs of a pool ask for.

    ``wanted_workers`` is how many workers they could use now, ``floor`` how
    many its permanent tasks need; ``idle`` are workers that are quickly
    emptied, the emptiest first; ``holding`` are those with permanent tasks,
    which move one after the other.
    """

    wanted_workers: int
    min_workers: int
    drain_candidates: tuple[str, ...] = ()
    with_permanent_tasks: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class VmOrder:
    """The latest order for a VM: whose, and at what time of day."""

    term: int
    wall_ms: float


def build_load_record(pool: str, load: PoolLoad) -> KeyedRecord:
    """Return the record of a pool's load."""
    content = [
        load.wanted_workers,
        load.min_workers,
        list(load.drain_candidates),
        list(load.with_permanent_tasks),
    ]
    return KeyedRecord(f'{LOAD}/{pool}', cbor2.dumps(content))


def build_drain_record(request: DrainRequest) -> KeyedRecord:
    """Return the record that closes a VM's worker for new tasks."""
    return KeyedRecord(f'{CLOSE}/{request.vm_id}', _encode_drain(request))


def build_reopen_record(vm_id: str) -> KeyedRecord:
    """Return the record that ends a VM's closing."""
    return KeyedRecord(f'{CLOSE}/{vm_id}', b'')


def build_drained_record(request: DrainRequest) -> KeyedRecord:
    """Return the record by which a pool's owner hands an empty VM over."""
    return KeyedRecord(f'{EMPTY}/{request.vm_id}', _encode_drain(request))


def build_order_record(vm_id: str, order: VmOrder) -> KeyedRecord:
    """Return the record that precedes an order for a VM."""
    return KeyedRecord(
        f'{ORDER}/{vm_id}', cbor2.dumps([order.term, order.wall_ms])
    )


def build_maintenance_begun_record(
    vm_id: str, wave: int, worker_id: str
) -> KeyedRecord:
    """Return the record that the maintenance of a VM begins.

    ``worker_id`` is the worker that it ends.
    """
    return KeyedRecord(f'{BEGUN}/{wave}/{vm_id}', cbor2.dumps(worker_id))


def build_maintenance_done_record(vm_id: str, wave: int) -> KeyedRecord:
    """Return the record that a VM had its maintenance in a wave."""
    return KeyedRecord(f'{THROUGH}/{wave}/{vm_id}', cbor2.dumps(1))


def _encode_drain(request: DrainRequest) -> bytes:
    return cbor2.dumps([request.worker_id, request.wave, request.number])
