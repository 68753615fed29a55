"""Logs the beginning and the end of an owner's term, with its open jobs.

The logs of two daemons then show what the one left and the other took over.
"""

from collections.abc import Sequence
from heapq import nsmallest

import trio

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.telemetry.log import Log

LOG = Log('owner')
# Records that are read for longer are worth a line.
READING_INTERVAL_SECONDS = 2.0
# Open jobs that a line lists, the oldest first.
MAX_LISTED_JOBS = 50


class TermLog:
    """Logs how far the term of one owner has come."""

    __slots__ = ('_began_at', '_feed', '_fields', '_is_read')

    def __init__(self, owned: OwnedPartition, feed: PartitionFeed) -> None:
        """Log the term of ``owned``, whose records ``feed`` reads."""
        self._fields = {'partition': owned.partition, 'term': owned.term}
        self._feed = feed
        self._began_at = trio.current_time()
        self._is_read = False

    async def log_reading(self) -> None:
        """Log every few seconds until the records have been read."""
        LOG.emit('Term begins.', **self._fields)
        while True:
            await trio.sleep(READING_INTERVAL_SECONDS)
            if self._is_read:
                return
            LOG.emit(
                'The records of the partition are not read yet.',
                seconds=self._measure_age(),
                known_jobs=sum(1 for _ in self._feed.job_index.list_jobs()),
                **self._fields,
            )

    def log_start(self, state: PartitionState) -> None:
        """Log what the owner takes over, once it has read all records."""
        self._is_read = True
        LOG.emit(
            'Term started.',
            read_seconds=self._measure_age(),
            workers=len(state.workers),
            jobs=len(state.jobs),
            open_jobs=len(state.open_jobs),
            oldest_open=_list_oldest(state),
            **self._fields,
        )

    def log_end(self, state: PartitionState, reasons: Sequence[str]) -> None:
        """Log what the owner leaves, and why."""
        self._is_read = True
        LOG.emit(
            'Term ended.',
            reasons=reasons,
            term_seconds=self._measure_age(),
            jobs=len(state.jobs),
            open_jobs=len(state.open_jobs),
            oldest_open=_list_oldest(state),
            **self._fields,
        )

    def _measure_age(self) -> float:
        return round(trio.current_time() - self._began_at, 1)


def _list_oldest(state: PartitionState) -> list[str]:
    oldest = nsmallest(
        MAX_LISTED_JOBS,
        state.open_jobs.values(),
        key=lambda job_state: job_state.submitted_at,
    )
    return [job_state.job.job_id for job_state in oldest]
