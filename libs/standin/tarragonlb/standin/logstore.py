"""In-memory append-only log with offsets and limited retention."""

from collections.abc import Sequence

import trio

from tarragonlb.model.errors import RecordsExpiredError

MAX_READ_RECORDS = 1024


class LogStore:
    """Keeps the last ``retention_records`` records; offsets start at 1."""

    __slots__ = ('_appended', '_blobs', '_first', '_retention_records')

    def __init__(self, retention_records: int) -> None:
        """Start with an empty log."""
        self._retention_records = retention_records
        self._first = 1
        self._blobs: list[bytes] = []
        self._appended = trio.Event()

    @property
    def last_offset(self) -> int:
        """Return the offset of the last record, 0 in a new log."""
        return self._first + len(self._blobs) - 1

    def append(self, blobs: Sequence[bytes]) -> None:
        """Append records, drop the oldest ones, and wake all readers."""
        self._blobs.extend(blobs)
        excess = max(len(self._blobs) - self._retention_records, 0)
        del self._blobs[:excess]
        self._first += excess
        self._appended.set()
        self._appended = trio.Event()

    async def read(
        self, after: int, wait_seconds: float
    ) -> list[tuple[int, bytes]]:
        """Return the records after an offset, at most ``MAX_READ_RECORDS``.

        Wait up to ``wait_seconds`` for the first one.  Raise
        ``RecordsExpiredError`` if some of them are no longer kept.
        """
        with trio.move_on_after(wait_seconds):
            while self.last_offset <= after:
                await self._appended.wait()
        if after + 1 < self._first:
            raise RecordsExpiredError(self._first)
        start = after + 1 - self._first
        blobs = self._blobs[start : start + MAX_READ_RECORDS]
        return list(enumerate(blobs, start=after + 1))
