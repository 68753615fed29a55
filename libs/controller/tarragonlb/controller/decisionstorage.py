"""Stores an owner's scheduling decisions, in order and each exactly once."""

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.ports import Store
from tarragonlb.controller.results import Fenced
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.controller.termwriter import TermWriter
from tarragonlb.scheduling.leasebound import build_bound_records
from tarragonlb.scheduling.orders import SchedulingDecision
from tarragonlb.scheduling.progress import build_progress_record
from tarragonlb.scheduling.records import build_removal_records


class DecisionStorage:
    """Stores decisions as records and applies these to the job index."""

    __slots__ = ('_feed', '_term', '_writer')

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
        self._writer = TermWriter(owned, store, settings)

    async def fence(self) -> str:
        """Start the term; return why it can't start, '' if it has started."""
        return await self._writer.fence(self._feed.refresh)

    async def store(self, decision: SchedulingDecision) -> str:
        """Store the changes of a decision, retrying until they are stored.

        Return why the term has ended, '' if the decision is stored.
        """
        records = [
            build_progress_record(job, self._term) for job in decision.jobs
        ]
        for job_id in decision.removed:
            records.extend(build_removal_records(job_id))
        records.extend(build_bound_records(decision.bound_changes, self._term))
        result = await self._writer.append(tuple(records))
        if isinstance(result, Fenced):
            return result.reason
        self._feed.apply_stored(records, result.first)
        return ''
