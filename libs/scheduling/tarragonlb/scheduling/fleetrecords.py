"""Records about VMs, which partition owners exchange through the store.

The owner of a pool's partition records the pool's load.  The owner of the fleet
partition requests that a VM is drained; the pool's owner drains the VM's worker
and records that it is empty; the fleet owner then moves the VM or has it
maintained.  All of these records are in the fleet partition.

    load/POOL           the load of the pool's jobs
    close/VM            the VM's worker is to be drained: it takes no new tasks
    empty/VM            the worker has been drained, for one drain request
    order/VM            an order for the VM is about to be sent
    begun/WAVE/VM       the platform confirmed that the maintenance begins
    through/WAVE/VM     the VM's maintenance is done
    wait/POOL           how long new jobs of the pool wait, see waitrecords.py
    route/DIGEST        the pools that served a route, see routerecords.py
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
    """A request to drain the worker of a VM.

    ``wave`` is the wave that maintains the VM, 0 if the VM is to be moved.
    ``number`` distinguishes the requests for one worker, so that the answer to
    an old request is not taken for that to a new one.
    """

    vm_id: str
    worker_id: str
    wave: int
    number: int


@dataclass(frozen=True, slots=True)
class PoolLoad:
    """The load of a pool, in workers.

    ``needed_workers`` is how many workers the tasks need that run or could run
    now, ``wanted_workers`` includes tasks that are expected soon, and
    ``min_workers`` is how many the permanent tasks need.  ``drain_candidates``
    are workers that can be drained quickly, the least loaded first.
    ``with_permanent_tasks`` are workers that drain slowly, since permanent
    tasks move one after the other.
    """

    wanted_workers: int
    min_workers: int
    needed_workers: int = 0
    drain_candidates: tuple[str, ...] = ()
    with_permanent_tasks: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class VmOrder:
    """The latest order for a VM: the term of its sender and the wall clock."""

    term: int
    wall_ms: float


def build_load_record(pool: str, load: PoolLoad) -> KeyedRecord:
    """Return the record of a pool's load."""
    content = [
        load.wanted_workers,
        load.min_workers,
        load.needed_workers,
        list(load.drain_candidates),
        list(load.with_permanent_tasks),
    ]
    return KeyedRecord(f'{LOAD}/{pool}', cbor2.dumps(content))


def build_drain_record(request: DrainRequest) -> KeyedRecord:
    """Return the record that requests to drain a VM's worker."""
    return KeyedRecord(f'{CLOSE}/{request.vm_id}', _encode_drain(request))


def build_reopen_record(vm_id: str) -> KeyedRecord:
    """Return the record that cancels the drain request for a VM."""
    return KeyedRecord(f'{CLOSE}/{vm_id}', b'')


def build_drained_record(request: DrainRequest) -> KeyedRecord:
    """Return the record that a VM's worker has been drained."""
    return KeyedRecord(f'{EMPTY}/{request.vm_id}', _encode_drain(request))


def build_order_record(vm_id: str, order: VmOrder) -> KeyedRecord:
    """Return the record that is stored before an order for a VM is sent."""
    return KeyedRecord(
        f'{ORDER}/{vm_id}', cbor2.dumps([order.term, order.wall_ms])
    )


def build_maintenance_begun_record(
    vm_id: str, wave: int, worker_id: str
) -> KeyedRecord:
    """Return the record that the maintenance of a VM begins.

    ``worker_id`` is the worker that the maintenance ends.
    """
    return KeyedRecord(f'{BEGUN}/{wave}/{vm_id}', cbor2.dumps(worker_id))


def build_maintenance_done_record(vm_id: str, wave: int) -> KeyedRecord:
    """Return the record that a wave has maintained a VM."""
    return KeyedRecord(f'{THROUGH}/{wave}/{vm_id}', cbor2.dumps(1))


def _encode_drain(request: DrainRequest) -> bytes:
    return cbor2.dumps([request.worker_id, request.wave, request.number])
