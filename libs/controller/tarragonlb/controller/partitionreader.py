"""Follows a partition of a topic that keeps the newest record of each key.

The first read, and each one after records expired unread, takes the newest
record of every key; then the partition is read on from there.
"""

from dataclasses import dataclass

from tarragonlb.controller.ports import Store, Topic
from tarragonlb.controller.results import Batch, NotDone, Trimmed
from tarragonlb.scheduling.records import KeyedRecord


@dataclass(frozen=True, slots=True)
class RecordUpdate:
    """Records, oldest first.

    ``is_full`` says that keys which are not listed no longer exist.
    """

    records: tuple[KeyedRecord, ...]
    is_snapshot: bool


class PartitionReader:
    """Reads one partition; two reads may be under way at a time."""

    __slots__ = ('_partition', '_store', '_topic', 'next_offset')

    def __init__(self, store: Store, topic: Topic, partition: int) -> None:
        """Follow from the newest records on."""
        self._store = store
        self._topic = topic
        self._partition = partition
        self.next_offset: int | None = None

    async def poll(self, wait_seconds: float) -> RecordUpdate | NotDone:
        """Return records that are new, or why there are none."""
        offset = self.next_offset
        if offset is None:
            return await self._read_newest()
        batch = await self._store.read(
            self._topic, self._partition, offset, wait_seconds
        )
        if isinstance(batch, Trimmed):
            return await self._read_newest()
        return self._advance(batch, is_snapshot=False)

    async def catch_up(self) -> tuple[KeyedRecord, ...] | NotDone:
        """Return records up to an end that is no older than this call."""
        found: list[KeyedRecord] = []
        while True:
            update = await self.poll(0)
            if isinstance(update, NotDone):
                return update
            found.extend(update.records)
            if not (update.is_snapshot or update.records):
                return tuple(found)

    async def _read_newest(self) -> RecordUpdate | NotDone:
        batch = await self._store.read_newest(self._topic, self._partition)
        if isinstance(batch, Trimmed):
            return NotDone('newest records are never trimmed')
        return self._advance(batch, is_snapshot=True)

    def _advance(
        self, batch: Batch | NotDone, *, is_snapshot: bool
    ) -> RecordUpdate | NotDone:
        if isinstance(batch, NotDone):
            return batch
        self.next_offset = max(self.next_offset or 0, batch.next_offset)
        return RecordUpdate(batch.records, is_snapshot)
