"""An append-only log in memory, with offsets and limited retention_records."""

from collections.abc import Sequence

import trio

from tarragonlb.model.errors import RecordsExpiredError

MAX_READ_RECORDS = 1024


class LogStore:
    """Keeps the latest ``retention_records`` records; offsets start at 1."""

    __slots__ = ('_appended', '_blobs', '_first', '_retention_records')

    def __init__(self, retention_records: int) -> None:
        """Start empty."""
        self._retention_records = retention_records
        self._first = 1
        self._blobs: list[bytes] = []
        self._appended = trio.Event()

    @property
    def last_offset(self) -> int:
        """Return the offset of the latest record."""
        return self._first + len(self._blobs) - 1

    def append(self, blobs: Sequence[bytes]) -> None:
        """Append records and wake all readers."""
        self._blobs.extend(blobs)
        excess = max(len(self._blobs) - self._retention_records, 0)
        del self._blobs[:excess]
        self._first += excess
        self._appended.set()
        self._appended = trio.Event()

    async def read(
        self, after: int, wait_seconds: float
    ) -> list[tuple[int, bytes]]:
        """Return records behind an offset, waiting for the first one.

        Raises ``RecordsExpiredError`` if some are no longer kept.
        """
        with trio.move_on_after(wait_seconds):
            while self.last_offset <= after:
                await self._appended.wait()
        if after + 1 < self._first:
            raise RecordsExpiredError(self._first)
        start = after + 1 - self._first
        blobs = self._blobs[start : start + MAX_READ_RECORDS]
        return list(enumerate(blobs, start=after + 1))
