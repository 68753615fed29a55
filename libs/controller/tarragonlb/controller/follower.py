"""Follows a partition of a topic that keeps the newest record of each key.

The first read, and each one after records expired unread, takes the newest
record of every key; then the partition is read on from there.
"""

from dataclasses import dataclass

from tarragonlb.controller.ports import Store, Topic
from tarragonlb.controller.results import Batch, NotDone, Trimmed
from tarragonlb.scheduling.records import KeyedRecord


@dataclass(frozen=True, slots=True)
class News:
    """Records, oldest first.

    ``is_full`` says that keys which are not listed no longer exist.
    """

    records: tuple[KeyedRecord, ...]
    is_full: bool


class Follower:
    """Reads one partition; two reads may be under way at a time."""

    __slots__ = ('_partition', '_store', '_topic', 'next_offset')

    def __init__(self, store: Store, topic: Topic, partition: int) -> None:
        """Follow from the newest records on."""
        self._store = store
        self._topic = topic
        self._partition = partition
        self.next_offset: int | None = None

    async def poll(self, wait_seconds: float) -> News | NotDone:
        """Return records that are new, or why there are none."""
        offset = self.next_offset
        if offset is None:
            return await self._restart()
        batch = await self._store.read(
            self._topic, self._partition, offset, wait_seconds
        )
        if isinstance(batch, Trimmed):
            return await self._restart()
        return self._take(batch, is_full=False)

    async def catch_up(self) -> tuple[KeyedRecord, ...] | NotDone:
        """Return records up to an end that is no older than this call."""
        found: list[KeyedRecord] = []
        while True:
            news = await self.poll(0)
            if isinstance(news, NotDone):
                return news
            found.extend(news.records)
            if not (news.is_full or news.records):
                return tuple(found)

    async def _restart(self) -> News | NotDone:
        batch = await self._store.read_newest(self._topic, self._partition)
        if isinstance(batch, Trimmed):
            return NotDone('newest records are never trimmed')
        return self._take(batch, is_full=True)

    def _take(self, batch: Batch | NotDone, *, is_full: bool) -> News | NotDone:
        if isinstance(batch, NotDone):
            return batch
        self.next_offset = max(self.next_offset or 0, batch.next_offset)
        return News(batch.records, is_full)
