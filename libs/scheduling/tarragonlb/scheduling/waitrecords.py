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
from typing import Any

import cbor2

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
    """Return the waits of a record; raise ValueError or TypeError if invalid.

    >>> decode_waits(build_wait_record('p', StoredWaits(4)).value)
    StoredWaits(term=4, waits=None)
    """
    row: list[Any] = cbor2.loads(encoded)
    term, *fields = row
    if not fields:
        return StoredWaits(int(term))
    return StoredWaits(int(term), _decode_fields(*fields))


def _decode_fields(
    queues: Any, tenants: Any, times: Any, free: Any
) -> PoolWaits:
    by_tenant = {
        (str(queue), str(tenant)): float(wait)
        for queue, tenant, wait in tenants
    }
    by_queue = {str(name): float(wait) for name, wait in queues.items()}
    clears_in, rate = map(float, times)
    return PoolWaits(by_queue, by_tenant, clears_in, rate, Demand(*free))
