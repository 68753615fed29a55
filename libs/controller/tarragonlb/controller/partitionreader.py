"""Reads a partition of a topic that keeps the newest record of each key.

The first read returns a snapshot, the newest record of every key, and later
reads continue from its end.  If records expired before they were read, the
reader starts over with a new snapshot.
"""

from dataclasses import dataclass

from tarragonlb.controller.ports import Store, Topic
from tarragonlb.controller.results import Batch, NotDone, Trimmed
from tarragonlb.scheduling.records import KeyedRecord


@dataclass(frozen=True, slots=True)
class RecordUpdate:
    """The records of one read, oldest first.

    In a snapshot (``is_snapshot``), keys that are not listed don't exist.
    ``is_at_end`` means that nothing more was stored when the store answered.
    """

    records: tuple[KeyedRecord, ...]
    is_snapshot: bool
    is_at_end: bool


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

        Without new records the read waits up to ``wait_seconds``.
        """
        offset = self.next_offset
        if offset is None:
            return await self._read_newest()
        batch = await self._store.read(
            self._topic, self._partition, offset, wait_seconds
        )
        if isinstance(batch, Trimmed):
            return await self._read_newest()
        return self._advance(batch, is_snapshot=False)

    async def _read_newest(self) -> RecordUpdate | NotDone:
        batch = await self._store.read_newest(self._topic, self._partition)
        if isinstance(batch, Trimmed):
            return NotDone('unexpected: newest records were trimmed')
        return self._advance(batch, is_snapshot=True)

    def _advance(
        self, batch: Batch | NotDone, *, is_snapshot: bool
    ) -> RecordUpdate | NotDone:
        if isinstance(batch, NotDone):
            return batch
        self.next_offset = max(self.next_offset or 0, batch.next_offset)
        # A snapshot consists of pages of different age.
        is_at_end = not is_snapshot and batch.next_offset >= batch.end
        return RecordUpdate(batch.records, is_snapshot, is_at_end)
