"""Reads a partition of a topic that keeps the newest record of each key.

The first read returns a snapshot, the newest record of every key, and later
reads continue from its end.  If records expired before they were read, the
reader starts over with a new snapshot.
"""

from dataclasses import dataclass, replace

from tarragonlb.controller.ports import Store, Topic
from tarragonlb.controller.results import Batch, NotDone, Trimmed
from tarragonlb.scheduling.records import KeyedRecord


@dataclass(frozen=True, slots=True)
class RecordUpdate:
    """The records of one read, oldest first.

    In a snapshot, which is complete up to the offset ``snapshot_end``, keys
    that are not listed don't exist.  ``is_at_end`` means that all records that
    were stored when the read was sent have been returned, by this read or an
    earlier one.
    """

    records: tuple[KeyedRecord, ...]
    snapshot_end: int | None = None
    is_at_end: bool = False

    @property
    def is_snapshot(self) -> bool:
        """Return whether these are the newest records of all keys."""
        return self.snapshot_end is not None


class PartitionReader:
    """Reads one partition; two reads may run concurrently.

    A read starts at the end of the last one that was answered.  Its records
    have to be applied before control passes to another task: until then other
    reads skip them, and would not find what is already stored.
    """

    __slots__ = ('_partition', '_store', '_topic', 'next_offset')

    def __init__(self, store: Store, topic: Topic, partition: int) -> None:
        """Start with a snapshot of the partition."""
        self._store = store
        self._topic = topic
        self._partition = partition
        self.next_offset: int | None = None

    async def poll(self, wait_seconds: float) -> RecordUpdate | NotDone:
        """Return the new records, or why the read failed.

        Without new records the read waits up to ``wait_seconds``.  The records
        are not returned again, so the caller must apply them at once.
        """
        offset = self.next_offset
        if offset is None:
            return await self._read_newest()
        batch = await self._store.read(
            self._topic, self._partition, offset, wait_seconds
        )
        if isinstance(batch, Trimmed):
            return await self._read_newest()
        if isinstance(batch, NotDone):
            return batch
        return self._advance(batch)

    def start_over(self) -> None:
        """Read a snapshot next, when no read is under way."""
        self.next_offset = None

    async def _read_newest(self) -> RecordUpdate | NotDone:
        batch = await self._store.read_newest(self._topic, self._partition)
        if isinstance(batch, Trimmed):
            return NotDone('unexpected: newest records were trimmed')
        if isinstance(batch, NotDone):
            return batch
        # The pages may have been read before later changes to their keys.
        return replace(
            self._advance(batch),
            snapshot_end=batch.next_offset,
            is_at_end=False,
        )

    def _advance(self, batch: Batch) -> RecordUpdate:
        self.next_offset = max(self.next_offset or 0, batch.next_offset)
        is_at_end = batch.next_offset >= batch.end or not batch.records
        return RecordUpdate(batch.records, is_at_end=is_at_end)
