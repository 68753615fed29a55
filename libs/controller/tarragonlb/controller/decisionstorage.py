"""Stores an owner's scheduling decisions, in order and each exactly once.

A decision may change all jobs of a partition.  It is then stored by several
appends, since the store refuses one that is too large, and a narrow link does
not carry it in time.  The records of one job always go together.  If the term
ends in between, the next owner finds some jobs as they were decided and the
others as they were before, which is a decision on fewer jobs.
"""

from collections.abc import Iterable, Iterator

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.ports import Store
from tarragonlb.controller.results import Fenced
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.controller.termwriter import TermWriter
from tarragonlb.scheduling.earlyremovals import EarlyRemovals
from tarragonlb.scheduling.leasebound import build_bound_records
from tarragonlb.scheduling.orders import SchedulingDecision
from tarragonlb.scheduling.progress import build_progress_record
from tarragonlb.scheduling.records import KeyedRecord

# As much as the longest record; a link of 5 Mbit/s carries it in half a second.
MAX_APPEND_BYTES = 262_144


class DecisionStorage:
    """Stores decisions as records and applies these to the job index."""

    __slots__ = ('_early_removals', '_feed', '_term', '_writer')

    def __init__(
        self,
        owned: OwnedPartition,
        store: Store,
        feed: PartitionFeed,
        settings: ControllerSettings,
    ) -> None:
        """Write to the partition ``owned``."""
        self._term = owned.term
        self._feed = feed
        self._early_removals = EarlyRemovals()
        self._writer = TermWriter(owned, store, settings)

    async def fence(self) -> str:
        """Start the term; return why it can't start, '' if it has started."""
        return await self._writer.fence(self._feed.refresh)

    def must_clean_up(self, now: float) -> bool:
        """Return whether old records may be removed, without a decision."""
        return self._early_removals.are_due(self._feed.job_index, now)

    async def store(self, decision: SchedulingDecision, now: float) -> str:
        """Store the changes decided at ``now``, retrying until that is done.

        Return why the term has ended, '' if the decision is stored.
        """
        for records in tuple(_split(self._list_groups(decision, now))):
            result = await self._writer.append(records)
            if isinstance(result, Fenced):
                return result.reason
            self._feed.apply_stored(records, result.first)
        return ''

    def _list_groups(
        self, decision: SchedulingDecision, now: float
    ) -> Iterator[list[KeyedRecord]]:
        """Yield the records of a decision, those that go together at a time."""
        for job in decision.jobs:
            yield [build_progress_record(job, self._term, now)]
        index = self._feed.job_index
        yield from map(index.build_removals, decision.removed)
        yield from self._early_removals.list_groups(index, now)
        for record in build_bound_records(decision.bound_changes, self._term):
            yield [record]


def _split(
    groups: Iterable[list[KeyedRecord]],
) -> Iterator[tuple[KeyedRecord, ...]]:
    """Yield the records of successive appends."""
    records: list[KeyedRecord] = []
    free_bytes = MAX_APPEND_BYTES
    for group in groups:
        group_bytes = sum(
            len(record.key) + len(record.value) for record in group
        )
        if records and group_bytes > free_bytes:
            yield tuple(records)
            records = []
            free_bytes = MAX_APPEND_BYTES
        records.extend(group)
        free_bytes -= group_bytes
    if records:
        yield tuple(records)
