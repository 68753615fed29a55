"""Records on queues that have moved to another pool.

A job's records lie in the partition of the pool that its queue had when the job
was accepted.  When the queue moves to a pool of another partition, both have to
agree where a job is that arrives at that time, at daemons that know of the move
and at others that don't.  The order of records in the former partition decides:

    VERSION-TOKEN + m   from here on, jobs of the queue belong elsewhere

Of several records of one version the first one counts, so each has a token of
its own, and none replaces another.

A daemon that knows of the move stores this record there, and reads up to it,
before it accepts a job into the new partition: it then knows all jobs that the
former one keeps.  A submission that comes behind the record is *late*.  Nobody
runs it there; the owner of the partition forwards it to the new one, where it
is the same job, by its id.

A queue may come back.  A record of a later configuration without a target says
that jobs belong here again.  Records of an earlier configuration than the last
one that counts have no effect, as their writers were behind.

>>> move = QueueMove(version=2, queue='q', pool='a', host='h', path_prefix='/',
...                  target_queue='q', target_pool='b', stored_ms=0)
>>> moves = QueueMoves()
>>> record = build_move_record(move, 'a1')
>>> moves.apply([KeyedRecord(record.key, record.value, offset=5)])
[]
>>> moves.find_late_target('q', 'a', 6) == move
True
>>> moves.find_late_target('q', 'a', 4) is None
True
"""

from bisect import bisect_left
from collections.abc import Iterable, Iterator

import cbor2
import msgspec

from tarragonlb.model.decoding import Amount, Count
from tarragonlb.scheduling.records import (
    KeyedRecord,
    RecordError,
    decode_content,
)

MOVE = 'm'
# By then all daemons know of a move, and no call is under way any more.
RETENTION_MS = 3_600_000


class QueueMove(msgspec.Struct, array_like=True, frozen=True, kw_only=True):
    """Where jobs of a queue belong from the configuration ``version`` on.

    The queue was ``queue``, of the pool ``pool``, and is ``target_queue`` of
    ``target_pool`` now; without a target, it is back.  Requests reach it by
    ``host`` and ``path_prefix``.  ``stored_ms`` is when the record was written,
    in Unix milliseconds.
    """

    version: Count
    queue: str
    pool: str
    host: str
    path_prefix: str
    target_queue: str = ''
    target_pool: str = ''
    stored_ms: Amount = 0

    @property
    def is_away(self) -> bool:
        """Return whether jobs belong to another pool."""
        return bool(self.target_pool)

    @property
    def route(self) -> tuple[str, str]:
        """Return how requests reach the queue."""
        return (self.host, self.path_prefix)


def build_move_record(move: QueueMove, token: str) -> KeyedRecord:
    """Return the record of a move; ``token`` is unique to each append."""
    return KeyedRecord(
        f'{move.version}-{token}{MOVE}',
        cbor2.dumps(msgspec.to_builtins(move)),
    )


class QueueMoves:
    """The moves that are recorded in one partition.

    Records may be applied in any order and more than once.  ``errors``
    describes those that could not be applied, for the caller to log.
    """

    __slots__ = ('_by_queue', '_moves', 'errors')

    def __init__(self) -> None:
        """Start without moves."""
        self._moves: dict[str, tuple[int, QueueMove | None]] = {}
        # Those that count of each queue and pool, oldest first, by offset.
        self._by_queue: dict[tuple[str, str], list[tuple[int, QueueMove]]] = {}
        self.errors: list[RecordError] = []

    @property
    def last_offset(self) -> int:
        """Return the offset of the newest record, -1 without any."""
        return max((offset for offset, _ in self._moves.values()), default=-1)

    @property
    def is_empty(self) -> bool:
        """Return whether no queue has moved."""
        return not self._by_queue

    def apply(self, records: Iterable[KeyedRecord]) -> list[KeyedRecord]:
        """Apply the records on moves; return the others."""
        others = []
        for record in records:
            if record.key.endswith(MOVE):
                self._apply_record(record)
            else:
                others.append(record)
        return others

    def apply_snapshot(
        self, records: Iterable[KeyedRecord], end: int
    ) -> list[KeyedRecord]:
        """Apply the newest record of each key, complete up to offset ``end``.

        Moves that are not listed were removed while nobody read.
        """
        found = tuple(records)
        listed = {record.key for record in found}
        for key, (offset, _) in tuple(self._moves.items()):
            if offset < end and key not in listed:
                self._replace(key, offset, None)
        return self.apply(found)

    def find(self, queue: str, pool: str) -> QueueMove | None:
        """Return the last move of a queue of a pool, None if there is none."""
        moves = self._by_queue.get((queue, pool))
        return moves[-1][1] if moves else None

    def find_late_target(
        self, queue: str, pool: str, offset: int
    ) -> QueueMove | None:
        """Return where a job at an offset belongs, None if it belongs here."""
        moves = self._by_queue.get((queue, pool))
        if not moves:
            return None
        place = bisect_left(moves, offset, key=_get_offset)
        if not place:
            return None
        move = moves[place - 1][1]
        return move if move.is_away else None

    def list_moves(self) -> Iterator[QueueMove]:
        """Yield the last move of each queue of a pool."""
        for moves in self._by_queue.values():
            yield moves[-1][1]

    def list_removals(self, wall_ms: float) -> list[KeyedRecord]:
        """Return the records that remove those of no use any more."""
        return [
            KeyedRecord(key, b'')
            for key, (_, move) in self._moves.items()
            if move is not None and wall_ms - move.stored_ms > RETENTION_MS
        ]

    def _apply_record(self, record: KeyedRecord) -> None:
        known = self._moves.get(record.key)
        if known is not None and known[0] >= record.offset:
            return
        move: QueueMove | None = None
        if record.value:
            try:
                move = decode_content(
                    record.value, QueueMove, 'move of a queue'
                )
            except RecordError as error:
                self.errors.append(error)
                return
        self._replace(record.key, record.offset, move)

    def _replace(self, key: str, offset: int, move: QueueMove | None) -> None:
        _, former = self._moves.get(key, (-1, None))
        self._moves[key] = (offset, move)
        for changed in (former, move):
            if changed is not None:
                self._rebuild(changed.queue, changed.pool)

    def _rebuild(self, queue: str, pool: str) -> None:
        """List the moves that count: each of a later version than before."""
        found = sorted(
            (
                (offset, move)
                for offset, move in self._moves.values()
                if move is not None and (move.queue, move.pool) == (queue, pool)
            ),
            key=_get_offset,
        )
        counting: list[tuple[int, QueueMove]] = []
        for row in found:
            if not counting or row[1].version > counting[-1][1].version:
                counting.append(row)
        if counting:
            self._by_queue[queue, pool] = counting
        else:
            self._by_queue.pop((queue, pool), None)


def _get_offset(row: tuple[int, QueueMove]) -> int:
    return row[0]
