"""Group commit: appends the records of several clients with one call.

The store processes the appends to one partition one after the other, and takes
up to 60 times as long while it is slow.  With one call per client, calls would
queue there until all of them time out.  So a daemon has at most one append in
progress per partition; records that arrive meanwhile go into the next one.

The first client that finds no append in progress makes it for all that wait.
"""

import trio

from tarragonlb.controller.ports import Store
from tarragonlb.controller.results import AppendResult, Stored, Uncertain
from tarragonlb.scheduling.records import KeyedRecord

# Well below the store's limit of 2 MB per request.
MAX_BATCH_BYTES = 500_000


class _PendingRecord:
    """A record waiting to be appended, and the result once it is known."""

    __slots__ = ('record', 'result')

    def __init__(self, record: KeyedRecord) -> None:
        self.record = record
        self.result: AppendResult | None = None


class GroupCommit:
    """Appends to one partition for all clients of a daemon."""

    __slots__ = ('_finished', '_is_busy', '_partition', '_pending', '_store')

    def __init__(self, store: Store, partition: int) -> None:
        """Append to ``partition`` through ``store``."""
        self._store = store
        self._partition = partition
        self._pending: list[_PendingRecord] = []
        self._is_busy = False
        self._finished = trio.Event()

    async def append(self, record: KeyedRecord) -> AppendResult:
        """Append a record and return the result.

        If the caller is cancelled before the append is sent, the record is
        dropped.
        """
        entry = _PendingRecord(record)
        self._pending.append(entry)
        try:
            while entry.result is None:
                if self._is_busy:
                    await self._finished.wait()
                else:
                    await self._append_pending()
        finally:
            if entry in self._pending:
                self._pending.remove(entry)
        return entry.result

    def _take_batch(self) -> list[_PendingRecord]:
        batch: list[_PendingRecord] = []
        free_bytes = MAX_BATCH_BYTES
        while self._pending and (free_bytes > 0 or not batch):
            free_bytes -= len(self._pending[0].record.value)
            if free_bytes > 0 or not batch:
                batch.append(self._pending.pop(0))
        return batch

    async def _append_pending(self) -> None:
        batch = self._take_batch()
        self._is_busy = True
        # The result if the caller is cancelled during the append.
        result: AppendResult = Uncertain('the calling client was cancelled')
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
        self._finished.set()
        self._finished = trio.Event()
