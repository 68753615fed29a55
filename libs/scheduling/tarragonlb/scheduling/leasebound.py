"""Bounds on the leases of unreachable workers, which outlive their owner.

An attempt on a worker that does not answer may run until its lease has run
out.  An owner that has just taken over knows only that no former owner has
granted more than the longest lease.  If owners change faster than that, the
attempt's task would never start elsewhere.  So an owner stores for how long
leases on an unreachable worker may still last, and the next owner waits only
for the rest.

A bound is a duration.  Whoever reads it counts it from the reading, on the own
monotonic clock: the time between writing and reading makes the wait longer,
never too short.

While a worker has a stored bound, no owner extends a lease there.  The bound
is removed first, under the owner's term, so an owner that has been fenced off
can't extend a lease behind a bound that the next owner has read.
"""

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass

import cbor2
import msgspec

from tarragonlb.model.decoding import Count
from tarragonlb.scheduling.job import MS_PER_SECOND
from tarragonlb.scheduling.partitionstate import InheritedBound, PartitionState
from tarragonlb.scheduling.records import (
    KeyedRecord,
    RecordError,
    decode_content,
)
from tarragonlb.scheduling.worker import WorkerState

LEASE_BOUND = 'l'
# Silent workers are searched this often, since most rounds find none.
SCAN_INTERVAL_SECONDS = 0.1


class BoundContent(msgspec.Struct, array_like=True, frozen=True):
    """The content of a record: the term of its writer, and the bound."""

    term: Count
    remaining_ms: Count


@dataclass(frozen=True, slots=True)
class BoundChanges:
    """Bounds to store, in seconds by worker id, and bounds to remove."""

    stored: Mapping[str, float]
    removed: tuple[str, ...]

    @property
    def is_empty(self) -> bool:
        """Return whether there is nothing to store."""
        return not (self.stored or self.removed)


NO_BOUND_CHANGES = BoundChanges({}, ())


def build_bound_records(changes: BoundChanges, term: int) -> list[KeyedRecord]:
    """Return the records that store and remove bounds."""
    records = [
        KeyedRecord(worker_id + LEASE_BOUND, _encode(term, seconds))
        for worker_id, seconds in changes.stored.items()
    ]
    records.extend(
        KeyedRecord(worker_id + LEASE_BOUND, b'')
        for worker_id in changes.removed
    )
    return records


class LeaseBoundIndex:
    """The stored bounds of one partition, and when they were first read.

    Of the records of one worker only the one with the highest offset counts,
    so records may be applied in any order and more than once.  ``errors``
    describes records that could not be applied, for the caller to log.
    """

    __slots__ = ('_offsets', 'bounds', 'errors')

    def __init__(self) -> None:
        """Start without bounds."""
        self._offsets: dict[str, int] = {}
        self.bounds: dict[str, InheritedBound] = {}
        self.errors: list[RecordError] = []

    def apply(
        self, records: Iterable[KeyedRecord], now: float
    ) -> list[KeyedRecord]:
        """Apply the records on bounds, read at ``now``; return the others."""
        others = []
        for record in records:
            if record.key.endswith(LEASE_BOUND):
                self._apply_record(record, now)
            else:
                others.append(record)
        return others

    def apply_snapshot(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> list[KeyedRecord]:
        """Apply the newest record of each key, complete up to offset ``end``.

        Bounds that are not listed were removed while nobody read.
        """
        found = tuple(records)
        listed = {record.key for record in found}
        for worker_id in tuple(self.bounds):
            is_listed = worker_id + LEASE_BOUND in listed
            if not is_listed and self._offsets[worker_id] < end:
                self.bounds.pop(worker_id)
        return self.apply(found, now)

    def _apply_record(self, record: KeyedRecord, now: float) -> None:
        worker_id = record.key.removesuffix(LEASE_BOUND)
        if record.offset <= self._offsets.get(worker_id, -1):
            return
        self._offsets[worker_id] = record.offset
        self.bounds.pop(worker_id, None)
        if not record.value:
            return
        try:
            content = decode_content(record.value, BoundContent, 'lease bound')
        except RecordError as error:
            self.errors.append(error)
            return
        remaining = content.remaining_ms / MS_PER_SECOND
        self.bounds[worker_id] = InheritedBound(remaining, now)


class LeaseBoundKeeper:
    """Decides which bounds an owner stores and removes."""

    __slots__ = ('_next_scan_at', '_partition')

    def __init__(self, partition: PartitionState) -> None:
        """Keep the bounds of the workers of ``partition``."""
        self._partition = partition
        self._next_scan_at = -math.inf

    def decide(self, now: float, *, is_store_suspect: bool) -> BoundChanges:
        """Return the changes to store; the caller then calls ``note_stored``.

        From now on no lease may be extended on a worker whose bound is stored.
        While the store may be unavailable none is stored, since a bound could
        not be removed again when its worker answers.
        """
        partition = self._partition
        removed = tuple(
            worker_id
            for worker_id in partition.stored_bounds
            if _is_obsolete(partition.workers.get(worker_id))
        )
        interval = partition.settings.bound_interval_seconds
        if is_store_suspect or now < self._next_scan_at:
            return BoundChanges({}, removed)
        self._next_scan_at = now + SCAN_INTERVAL_SECONDS
        stored = {
            worker_id: seconds
            for worker_id, seconds in self._list_lower_bounds(now)
            if self._is_long_silent(partition.workers[worker_id], now)
        }
        if stored:
            self._next_scan_at = now + interval
            partition.stored_bounds.update(stored)
        return BoundChanges(stored, removed)

    def decide_last(self, now: float) -> BoundChanges:
        """Return the bounds to store at the end of the term.

        No lease may be extended any more.
        """
        return BoundChanges(dict(self._list_lower_bounds(now)), ())

    def note_stored(self, changes: BoundChanges) -> None:
        """Allow leases again on workers whose bounds were removed."""
        for worker_id in changes.removed:
            self._partition.stored_bounds.pop(worker_id, None)

    def _list_lower_bounds(self, now: float) -> Iterator[tuple[str, float]]:
        """Yield the bounds that are lower than the stored ones, by worker."""
        partition = self._partition
        settings = partition.settings
        for worker_id, worker in partition.workers.items():
            is_unreachable = worker.is_silent or not worker.entry.address
            if not (worker.attached and is_unreachable):
                continue
            tasks = (one.task for one in worker.attached.values())
            last_end = worker.lease_ends.find_last(
                tasks, settings.compute_longest_lease()
            )
            remaining = max(last_end - now, 0)
            known = partition.stored_bounds.get(
                worker_id, settings.compute_longest_lease()
            )
            if remaining <= known - settings.min_bound_gain_seconds:
                yield worker_id, remaining

    def _is_long_silent(self, worker: WorkerState, now: float) -> bool:
        settings = self._partition.settings
        if worker.last_report_at is None:
            began_at = self._partition.taken_over_at
            return now >= began_at + settings.min_takeover_silence_seconds
        return now >= worker.last_report_at + settings.min_silence_seconds


def _is_obsolete(worker: WorkerState | None) -> bool:
    if worker is None or not worker.attached:
        return True
    return worker.last_report_at is not None and not worker.is_silent


def _encode(term: int, seconds: float) -> bytes:
    content = BoundContent(term, math.ceil(seconds * MS_PER_SECOND))
    encoded: bytes = cbor2.dumps(msgspec.to_builtins(content))
    return encoded
