"""Records about VM maintenance, folded into what every owner must know.

The fleet owner writes that a VM closes; the owner of its pool empties the
worker and writes that it is empty; the fleet owner has it maintained and
writes that it is through.  All of it lies in one partition.

    close/VM       wave, worker     the worker takes no new tasks
    empty/VM       wave, worker     nothing runs there any more
    through/WAVE/VM                 the VM had its maintenance
"""

from collections.abc import Iterable

import cbor2

from tarragonlb.scheduling.records import KeyedRecord, RecordError

CLOSE = 'close'
EMPTY = 'empty'
THROUGH = 'through'


def write_close(vm_id: str, wave: int, worker_id: str) -> KeyedRecord:
    """Return the record that closes a VM's worker for new tasks."""
    return KeyedRecord(f'{CLOSE}/{vm_id}', cbor2.dumps([wave, worker_id]))


def write_reopen(vm_id: str) -> KeyedRecord:
    """Return the record that ends a VM's closing."""
    return KeyedRecord(f'{CLOSE}/{vm_id}', b'')


def write_empty(vm_id: str, wave: int, worker_id: str) -> KeyedRecord:
    """Return the record by which a pool's owner hands an empty VM over."""
    return KeyedRecord(f'{EMPTY}/{vm_id}', cbor2.dumps([wave, worker_id]))


def write_through(vm_id: str, wave: int) -> KeyedRecord:
    """Return the record that a VM had its maintenance in a wave."""
    return KeyedRecord(f'{THROUGH}/{wave}/{vm_id}', cbor2.dumps(1))


class FleetBoard:
    """The fold of the maintenance records.

    ``closing`` and ``empty`` map a VM to wave and worker.
    """

    __slots__ = ('_offsets', 'closing', 'empty', 'errors', 'through')

    def __init__(self) -> None:
        """Begin without any record."""
        self._offsets: dict[str, int] = {}
        self.closing: dict[str, tuple[int, str]] = {}
        self.empty: dict[str, tuple[int, str]] = {}
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
    def closing_workers(self) -> dict[str, tuple[str, int]]:
        """Return closing workers, each with its VM and wave."""
        return {
            worker_id: (vm_id, wave)
            for vm_id, (wave, worker_id) in self.closing.items()
        }

    def _apply(self, record: KeyedRecord) -> None:
        kind, _, rest = record.key.partition('/')
        if kind == THROUGH:
            wave, _, vm_id = rest.partition('/')
            self.through.add((int(wave), vm_id))
            return
        boards = {CLOSE: self.closing, EMPTY: self.empty}
        if kind not in boards:
            raise RecordError('unknown kind')
        if not record.value:
            boards[kind].pop(rest, None)
            return
        number, worker_id = cbor2.loads(record.value)
        boards[kind][rest] = (int(number), str(worker_id))
