"""Appends what several clients hand in with one call.

The pattern it answers: the store carries out the appends to one partition one
after the other, and takes 60 times as long while it is slow.  A call for each
client would queue there until all time out.  One call of a daemon is under way
for each partition; what comes meanwhile goes together with the next.

The first client that finds no call under way makes it for all who wait.
"""

import trio

from tarragonlb.controller.ports import Store
from tarragonlb.controller.results import AppendResult, Stored, Uncertain
from tarragonlb.scheduling.records import KeyedRecord

# Well under the 2 MB that the store takes in a request.
MAX_BATCH_BYTES = 500_000


class _PendingRecord:
    """A record that waits, and what became of it."""

    __slots__ = ('record', 'result')

    def __init__(self, record: KeyedRecord) -> None:
        self.record = record
        self.result: AppendResult | None = None


class GroupCommit:
    """Appends to one partition, for all clients of a daemon."""

    __slots__ = ('_changed', '_is_busy', '_partition', '_pending', '_store')

    def __init__(self, store: Store, partition: int) -> None:
        """Append to ``partition`` through ``store``."""
        self._store = store
        self._partition = partition
        self._pending: list[_PendingRecord] = []
        self._is_busy = False
        self._changed = trio.Event()

    async def append(self, record: KeyedRecord) -> AppendResult:
        """Append a record and return what is known of it.

        A record whose caller is cancelled before its call is made is dropped.
        """
        entry = _PendingRecord(record)
        self._pending.append(entry)
        try:
            while entry.result is None:
                if self._is_busy:
                    await self._changed.wait()
                else:
                    await self._append_waiting()
        finally:
            if entry in self._pending:
                self._pending.remove(entry)
        return entry.result

    def _take_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        left = MAX_BATCH_BYTES
        while self._pending and (left > 0 or not batch):
            left -= len(self._pending[0].record.value)
            if left > 0 or not batch:
                batch.append(self._pending.pop(0))
        return batch

    async def _append_waiting(self) -> None:
        batch = self._take_batch()
        self._is_busy = True
        # What stands if the caller is cancelled while the call is under way.
        result: AppendResult = Uncertain('the client of the call left')
        try:
            records = tuple(entry.record for entry in batch)
            result = await self._store.append(self._partition, records, None)
        finally:
            self._complete_batch(batch, result)

    def _complete_batch(
        self, batch: list[_PendingRecord], result: AppendResult
    ) -> None:
        for index, entry in enumerate(batch):
            entry.result = result
            if isinstance(result, Stored):
                entry.result = Stored(result.first + index)
        self._is_busy = False
        self._changed.set()
        self._changed = trio.Event()
