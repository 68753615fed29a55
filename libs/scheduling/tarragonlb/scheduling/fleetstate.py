"""The fold of the records about VMs: what every owner must know of them.

>>> board = FleetState()
>>> board.apply([KeyedRecord('through/1/m-1', b'\xf5', 0)])
>>> board.maintenance_done
{(1, 'm-1')}
"""

from collections.abc import Iterable
from typing import Any

import cbor2

from tarragonlb.scheduling.fleetrecords import DrainRequest, PoolLoad, VmOrder
from tarragonlb.scheduling.records import KeyedRecord, RecordError


class FleetState:
    """The fold of the records about VMs."""

    __slots__ = (
        '_offsets',
        'begun',
        'closing',
        'empty',
        'errors',
        'loads',
        'maintenance_done',
        'orders',
    )

    def __init__(self) -> None:
        """Begin without any record."""
        self._offsets: dict[str, int] = {}
        self.closing: dict[str, DrainRequest] = {}
        self.empty: dict[str, DrainRequest] = {}
        self.loads: dict[str, PoolLoad] = {}
        self.orders: dict[str, VmOrder] = {}
        # By wave and VM, the worker that the maintenance ended.
        self.begun: dict[tuple[int, str], str] = {}
        self.maintenance_done: set[tuple[int, str]] = set()
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
    def drain_requests_by_worker(self) -> dict[str, DrainRequest]:
        """Return the closings by worker."""
        return {closing.worker_id: closing for closing in self.closing.values()}

    def find_drain_request(
        self, vm_id: str, worker_id: str
    ) -> DrainRequest | None:
        """Return the closing of a VM's worker; those of former ones are over.

        None where the worker takes tasks.
        """
        closing = self.closing.get(vm_id)
        if closing is None or closing.worker_id != worker_id:
            return None
        return closing

    def is_empty(self, vm_id: str, worker_id: str) -> bool:
        """Return whether a closing worker was handed over empty."""
        closing = self.find_drain_request(vm_id, worker_id)
        return closing is not None and self.empty.get(vm_id) == closing

    def list_recently_ordered(
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
            case 'begun' | 'through':
                self._apply_wave(kind, name, record.value)
            case 'close':
                _replace(self.closing, name, record.value)
            case 'empty':
                _replace(self.empty, name, record.value)
            case 'order':
                term, wall_ms = cbor2.loads(record.value)
                self.orders[name] = VmOrder(int(term), float(wall_ms))
            case 'load':
                self.loads[name] = _read_load(record.value)
            case _:
                raise RecordError('unknown kind')

    def _apply_wave(self, kind: str, name: str, value: bytes) -> None:
        number, _, vm_id = name.partition('/')
        key = (int(number), vm_id)
        if kind == 'begun':
            self.begun[key] = str(cbor2.loads(value))
        else:
            self.maintenance_done.add(key)


def _read_load(value: bytes) -> PoolLoad:
    wanted, floor, idle, holding = cbor2.loads(value)
    return PoolLoad(int(wanted), int(floor), tuple(idle), tuple(holding))


def _replace(board: dict[str, DrainRequest], vm_id: str, value: bytes) -> None:
    if not value:
        board.pop(vm_id, None)
        return
    row: list[Any] = cbor2.loads(value)
    worker_id, wave, number = row
    board[vm_id] = DrainRequest(vm_id, str(worker_id), int(wave), int(number))
