"""The interface to the platform's log.

It is an abstract base class, with an in-memory implementation in tests and one
over HTTP in the daemon.
"""

import abc
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One encoded record in the log; offsets start at 1."""

    offset: int
    blob: bytes


class RecordLog(abc.ABC):
    """An append-only log with offsets and limited retention."""

    @abc.abstractmethod
    async def append(self, blobs: Sequence[bytes]) -> None:
        """Append records in order.

        Raises ``PlatformUnavailableError`` if nothing was appended, and
        ``AnswerLostError`` if the records may have been appended.
        """

    @abc.abstractmethod
    async def read(self, after: int, wait_seconds: float) -> list[LogEntry]:
        """Return the records after an offset; wait for the first one.

        Raises ``RecordsExpiredError`` if some of them are no longer kept, and
        ``PlatformUnavailableError`` if the log can't be read.
        """
