"""The platform's log, as the journal sees it.

The log is met through an abstract base class, so that the decisions run over
a fake in tests and over HTTP in the daemon.
"""

import abc
from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LogEntry:
    """One record as it stands in the log; offsets start at 1."""

    offset: int
    blob: bytes


class RecordLog(abc.ABC):
    """An append-only log with offsets and limited retention."""

    @abc.abstractmethod
    async def append(self, blobs: Sequence[bytes]) -> None:
        """Append records in order.

        Raises ``PlatformUnavailableError`` if nothing was appended and
        ``AnswerLostError`` if that is not known.
        """

    @abc.abstractmethod
    async def read(self, after: int, wait_seconds: float) -> list[LogEntry]:
        """Return the records behind an offset, waiting for the first one.

        Raises ``RecordsExpiredError`` if some are no longer kept, and
        ``PlatformUnavailableError`` if the log can't be read.
        """
