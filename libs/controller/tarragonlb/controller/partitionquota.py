"""The caps of tenants in the partition of one pool owner, for one term.

A new owner first stores that its term has begun and then reads the grants up to
that record, before it starts tasks of tenants with a cap.  From that record on,
reports of former owners are ignored, and what they reported before it was about
grants that this owner has read.
"""

import trio

from tarragonlb.controller import events
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.policies import build_scheduler
from tarragonlb.controller.ports import Store, Topic
from tarragonlb.controller.quotafeed import QuotaFeed
from tarragonlb.controller.results import Stored
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.policies import NoStartLimit, WorkerFilter
from tarragonlb.scheduling.quotalimit import QuotaLimit
from tarragonlb.scheduling.quotarecords import (
    build_report_record,
    build_term_record,
    build_term_removal,
)
from tarragonlb.scheduling.quotareporter import QuotaReporter
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.scheduler import Scheduler
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, QUOTA_REPORTS
from tarragonlb.telemetry.log import Log

LOG = Log('quota')


class PartitionQuota:
    """Limits the starts of an owner and reports to the fleet owner.

    Without a feed, as without tenants, it does nothing.
    """

    __slots__ = (
        '_feed',
        '_is_storing',
        '_limit',
        '_owned',
        '_reporter',
        '_settings',
        '_store',
    )

    def __init__(
        self,
        owned: OwnedPartition,
        feed: QuotaFeed | None,
        store: Store,
        settings: ControllerSettings,
    ) -> None:
        """Limit the starts in the partition ``owned``."""
        self._owned = owned
        self._feed = feed
        self._store = store
        self._settings = settings
        self._is_storing = False
        if feed is not None:
            self._limit = QuotaLimit(owned.partition, feed.index)
            self._reporter = QuotaReporter(self._limit, owned.term)

    def build_scheduler(
        self, now: float, filters: tuple[WorkerFilter, ...]
    ) -> Scheduler:
        """Return the owner's scheduler for a term that begins at ``now``."""
        limit = NoStartLimit() if self._feed is None else self._limit
        return build_scheduler(self._settings, limit, filters, now)

    async def run(self, inbox: trio.MemorySendChannel[events.Event]) -> None:
        """Begin the term and forward changes of shares to the owner."""
        if self._feed is None:
            return
        with self._feed.subscribe() as changes:
            await self._feed.wait_until_used()
            await self._begin(self._feed)
            self._feed.check_index(self._limit.index)
            self._limit.is_open = True
            tenants = set(self._feed.index.grants)
            tenants.update(self._limit.list_lacking())
            await inbox.send(events.SharesChanged(tenants))
            async for changed in changes:
                await inbox.send(events.SharesChanged(changed))
        self._feed.check_index(self._limit.index)

    def begin_round(self, state: PartitionState, now: float) -> None:
        """Prepare the limit for a round at ``now`` seconds."""
        if self._feed is not None:
            self._limit.begin_round(state, now)

    def apply_changes(self, tenants: set[str], state: PartitionState) -> None:
        """Have tenants looked at whose shares may have changed."""
        self._reporter.note_grants(tenants)
        for tenant in tenants:
            self._limit.mark_pools(tenant, state)

    def start_reports(
        self, nursery: trio.Nursery, state: PartitionState, now: float
    ) -> None:
        """Store the reports that are due, one append at a time."""
        if self._feed is None or self._is_storing:
            return
        reports = self._reporter.decide(state, now)
        if reports:
            FLEET_METER.count(QUOTA_REPORTS, number=len(reports))
            self._is_storing = True
            records = tuple(map(build_report_record, reports))
            nursery.start_soon(self._store_reports, records)

    async def _begin(self, feed: QuotaFeed) -> None:
        partition, term = self._owned.partition, self._owned.term
        # Of a term that is not over nothing is removed, should this one be.
        former = {
            old
            for old in (
                feed.index.terms.get(partition, term),
                *feed.index.former_terms.get(partition, ()),
            )
            if old < term
        }
        records = [build_term_removal(partition, old) for old in sorted(former)]
        records.append(build_term_record(partition, term))
        offset = await self._append(tuple(records))
        await feed.wait_past(offset + len(records) - 1)

    async def _store_reports(self, records: tuple[KeyedRecord, ...]) -> None:
        await self._append(records)
        self._is_storing = False

    async def _append(self, records: tuple[KeyedRecord, ...]) -> int:
        """Append records until they are stored; return the first offset.

        Stored twice they do no harm: a report holds the sequence number.
        """
        while True:
            result = await self._store.append(
                FLEET_PARTITION, records, None, Topic.TENANTS
            )
            if isinstance(result, Stored):
                return result.first
            LOG.emit(
                'Storing records on caps failed.',
                partition=self._owned.partition,
                result=repr(result),
            )
            await trio.sleep(self._settings.store_retry_seconds)
