"""Removes early cancellations, with the submissions that they made void.

Both go with one append: a void submission without its cancellation would count.
"""

import math

from tarragonlb.scheduling.earlycancellation import RETENTION_SECONDS
from tarragonlb.scheduling.jobindex import JobIndex
from tarragonlb.scheduling.records import KeyedRecord

# They are looked for this often.
INTERVAL_SECONDS = 30.0


class EarlyRemovals:
    """Since when an owner has known each early cancellation of a partition."""

    __slots__ = ('_next_at', '_seen_at')

    def __init__(self) -> None:
        """Start without any."""
        self._seen_at: dict[str, float] = {}
        self._next_at = -math.inf

    def are_due(self, index: JobIndex, now: float) -> bool:
        """Return whether it is time to look for old ones."""
        is_any = bool(index.early_cancellations or self._seen_at)
        return is_any and now >= self._next_at

    def list_groups(
        self, index: JobIndex, now: float
    ) -> list[list[KeyedRecord]]:
        """Return the records that remove old ones, by the jobs they are of."""
        if not self.are_due(index, now):
            return []
        self._next_at = now + INTERVAL_SECONDS
        seen_at: dict[str, float] = {}
        groups = []
        for job in index.list_early_cancelled():
            keys = job.submissions.list_early_keys(job.job_id)
            for key in keys:
                seen_at[key] = self._seen_at.get(key, now)
            if now - max(map(seen_at.__getitem__, keys)) >= RETENTION_SECONDS:
                keys.extend(job.submissions.list_void_keys(job.job_id))
                groups.append([KeyedRecord(key, b'') for key in keys])
        self._seen_at = seen_at
        return groups
