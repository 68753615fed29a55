"""Records about VMs, folded into what every owner must know.

The owner of a pool writes how much its jobs ask for.  The fleet owner writes
that a VM closes; the pool's owner empties the worker and writes that it is
empty; the fleet owner then moves the VM or has it maintained.  All of it lies
in one partition.

    load/POOL           what the pool's jobs ask for
    close/VM            the VM's worker takes no new tasks
    empty/VM            nothing runs there any more, for one closing
    order/VM            an order for the VM is about to be sent
    through/WAVE/VM     the VM had its maintenance
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import cbor2

from tarragonlb.scheduling.records import KeyedRecord, RecordError

LOAD = 'load'
CLOSE = 'close'
EMPTY = 'empty'
ORDER = 'order'
THROUGH = 'through'


@dataclass(frozen=True, slots=True)
class Closing:
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
    emptied, the emptiest first.
    """

    wanted_workers: int
    floor: int
    idle: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class VmOrder:
    """The latest order for a VM: whose, and at what time of day."""

    term: int
    wall_ms: float


def write_load(pool: str, load: PoolLoad) -> KeyedRecord:
    """Return the record of a pool's load."""
    content = [load.wanted_workers, load.floor, list(load.idle)]
    return KeyedRecord(f'{LOAD}/{pool}', cbor2.dumps(content))


def write_close(closing: Closing) -> KeyedRecord:
    """Return the record that closes a VM's worker for new tasks."""
    return KeyedRecord(f'{CLOSE}/{closing.vm_id}', _write_closing(closing))


def write_reopen(vm_id: str) -> KeyedRecord:
    """Return the record that ends a VM's closing."""
    return KeyedRecord(f'{CLOSE}/{vm_id}', b'')


def write_empty(closing: Closing) -> KeyedRecord:
    """Return the record by which a pool's owner hands an empty VM over."""
    return KeyedRecord(f'{EMPTY}/{closing.vm_id}', _write_closing(closing))


def write_order(vm_id: str, order: VmOrder) -> KeyedRecord:
    """Return the record that precedes an order for a VM."""
    return KeyedRecord(
        f'{ORDER}/{vm_id}', cbor2.dumps([order.term, order.wall_ms])
    )


def write_through(vm_id: str, wave: int) -> KeyedRecord:
    """Return the record that a VM had its maintenance in a wave."""
    return KeyedRecord(f'{THROUGH}/{wave}/{vm_id}', cbor2.dumps(1))


class FleetBoard:
    """The fold of the records about VMs."""

    __slots__ = (
        '_offsets',
        'closing',
        'empty',
        'errors',
        'loads',
        'orders',
        'through',
    )

    def __init__(self) -> None:
        """Begin without any record."""
        self._offsets: dict[str, int] = {}
        self.closing: dict[str, Closing] = {}
        self.empty: dict[str, Closing] = {}
        self.loads: dict[str, PoolLoad] = {}
        self.orders: dict[str, VmOrder] = {}
        self.through: set[tuple[int, str]] = set()
        self.errors: list[RecordError] = []

    def apply(self, records: Iterable[KeyedRecord]) -> None:
        """Apply records; the one with the highest offset counts a key."""
        for record in records:
            if self._offsets.get(record.key, -1) >= record.offset:
                continue
            self._offsets[record.key] = record.offset
            try:
                self._apply(record)
            except (ValueError, TypeError) as error:
                self.errors.append(RecordError(f'{record.key}: {error}'))

    @property
    def closing_workers(self) -> dict[str, Closing]:
        """Return the closings by worker."""
        return {closing.worker_id: closing for closing in self.closing.values()}

    def is_empty(self, vm_id: str, worker_id: str) -> bool:
        """Return whether a closing worker was handed over empty."""
        closing = self.closing.get(vm_id)
        if closing is None or closing.worker_id != worker_id:
            return False
        return self.empty.get(vm_id) == closing

    def list_taken(
        self, term: int, wall_ms: float, turn_ms: float
    ) -> frozenset[str]:
        """Return the VMs that another owner has ordered something for lately.

        Orders of two owners for one VM must be ``turn_ms`` apart.  Times of
        day differ between owners and may jump, so twice as much is kept.
        """
        return frozenset(
            vm_id
            for vm_id, order in self.orders.items()
            if order.term != term and abs(wall_ms - order.wall_ms) < 2 * turn_ms
        )

    def _apply(self, record: KeyedRecord) -> None:
        kind, _, name = record.key.partition('/')
        match kind:
            case 'through':
                wave, _, vm_id = name.partition('/')
                self.through.add((int(wave), vm_id))
            case 'close':
                _replace(self.closing, name, record.value)
            case 'empty':
                _replace(self.empty, name, record.value)
            case 'order':
                term, wall_ms = cbor2.loads(record.value)
                self.orders[name] = VmOrder(int(term), float(wall_ms))
            case 'load':
                wanted, floor, idle = cbor2.loads(record.value)
                self.loads[name] = PoolLoad(
                    int(wanted), int(floor), tuple(idle)
                )
            case _:
                raise RecordError('unknown kind')


def _write_closing(closing: Closing) -> bytes:
    return cbor2.dumps([closing.worker_id, closing.wave, closing.number])


def _replace(board: dict[str, Closing], vm_id: str, value: bytes) -> None:
    if not value:
        board.pop(vm_id, None)
        return
    row: list[Any] = cbor2.loads(value)
    worker_id, wave, number = row
    board[vm_id] = Closing(vm_id, str(worker_id), int(wave), int(number))
