"""Records of the expected waits in a pool, and the figures that they give.

The owner of a pool writes `wait/POOL` into the fleet partition while the pool
is full and somebody waits.  The record holds the owner's term and the waits;
one with the term alone says that nobody waits any more.

A record says nothing about its age: it may have been stored before an outage of
the store, or before this process started.  So a figure counts only if another
one was read in the second before it, which shows that the owner is writing now,
and for a second after it was read.
"""

from dataclasses import dataclass

import cbor2
import msgspec

from tarragonlb.model.decoding import (
    Amount,
    Count,
    Integer,
    convert,
    decode_cbor,
)
from tarragonlb.scheduling.job import Demand
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.waitforecast import PoolWaits

WAIT = 'wait'
MAX_FIGURE_AGE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StoredWaits:
    """The waits that an owner stored, None if nobody waits, and its term."""

    term: int
    waits: PoolWaits | None = None


@dataclass(frozen=True, slots=True)
class WaitFigure:
    """Waits that were read at ``read_at``, in monotonic seconds.

    ``is_current`` means that they were written shortly before.
    """

    stored: StoredWaits
    read_at: float
    is_current: bool


class WaitContent(msgspec.Struct, array_like=True, frozen=True):
    """The value of a record; the term alone says that nobody waits."""

    term: Count
    queues: dict[str, Amount] | None = None
    tenants: list[tuple[str, str, Amount]] = []
    # When all present work will be done, and the work done in a second.
    times: tuple[Amount, Amount] = (0, 0)
    # Of a worker that has shrunk, less than nothing may be free.
    free: tuple[Integer, Integer, Integer] = (0, 0, 0)


class WaitFigures:
    """The newest waits of each pool, with the time of reading."""

    __slots__ = ('_by_pool',)

    def __init__(self) -> None:
        """Start without figures."""
        self._by_pool: dict[str, WaitFigure] = {}

    def apply(self, pool: str, stored: StoredWaits, now: float) -> None:
        """Apply waits that were read at ``now`` seconds.

        Those of a former owner, with a lower term, are ignored.
        """
        known = self._by_pool.get(pool)
        is_current = False
        if known is not None:
            if known.stored.term > stored.term:
                return
            age = now - known.read_at
            is_current = known.stored.waits is not None
            is_current &= known.stored.term == stored.term
            # Records of one read may all be old.
            is_current &= (
                age <= MAX_FIGURE_AGE_SECONDS if age else known.is_current
            )
        self._by_pool[pool] = WaitFigure(stored, now, is_current)

    def find(self, pool: str, now: float) -> PoolWaits | None:
        """Return the waits of a pool that count at ``now`` seconds, or None."""
        figure = self._by_pool.get(pool)
        if figure is None or not figure.is_current:
            return None
        if now - figure.read_at > MAX_FIGURE_AGE_SECONDS:
            return None
        return figure.stored.waits

    def is_stored(self, pool: str) -> bool:
        """Return whether the newest record of a pool holds waits."""
        figure = self._by_pool.get(pool)
        return figure is not None and figure.stored.waits is not None


def build_wait_record(pool: str, stored: StoredWaits) -> KeyedRecord:
    """Return the record of a pool's waits."""
    content: list[object] = [stored.term]
    waits = stored.waits
    if waits is not None:
        free = waits.free
        content += [
            dict(waits.queues),
            [[*key, wait] for key, wait in waits.tenants.items()],
            [waits.clears_in, waits.rate],
            [free.cpu_millicores, free.memory_mb, free.gpus],
        ]
    return KeyedRecord(f'{WAIT}/{pool}', cbor2.dumps(content))


def decode_waits(encoded: bytes) -> StoredWaits:
    """Return the waits of a record; raise ``ValueError`` if it is invalid.

    >>> decode_waits(build_wait_record('p', StoredWaits(4)).value)
    StoredWaits(term=4, waits=None)
    """
    content = convert(decode_cbor(encoded), WaitContent)
    if content.queues is None:
        return StoredWaits(content.term)
    tenants = {(queue, tenant): wait for queue, tenant, wait in content.tenants}
    clears_in, rate = content.times
    return StoredWaits(
        content.term,
        PoolWaits(
            content.queues, tenants, clears_in, rate, Demand(*content.free)
        ),
    )
