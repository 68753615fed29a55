"""Divides the caps of tenants, as part of the fleet owner.

Its grants carry the term as producer epoch, so a former fleet owner cannot
store a grant any more once this one has begun.
"""

import contextlib
from collections.abc import Callable, Sequence

import trio

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Store, Topic
from tarragonlb.controller.quotafeed import QuotaFeed
from tarragonlb.controller.results import Fenced
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.controller.termwriter import TermWriter
from tarragonlb.scheduling.amounts import covers
from tarragonlb.scheduling.quotaledger import QuotaLedger
from tarragonlb.scheduling.quotarecords import (
    Grant,
    PartitionShare,
    build_grant_record,
)
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, QUOTA_SHARES
from tarragonlb.telemetry.log import Log

LOG = Log('quota')
# Time between two decisions without new records: the ledger waits for times to
# pass, and a configuration or a pool may be new.
INTERVAL_SECONDS = 0.1
# One append of grants of many partitions stays well below the store's limit.
GRANTS_PER_APPEND = 200


class QuotaOwner:
    """Runs the ledger of caps during one term of the fleet owner."""

    __slots__ = (
        '_clock',
        '_feed',
        '_index',
        '_ledger',
        '_view',
        '_writer',
    )

    def __init__(
        self,
        owned: OwnedPartition,
        feed: QuotaFeed,
        store: Store,
        view: PlatformView,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Divide caps in the term of ``owned``, the fleet partition."""
        self._feed = feed
        self._view = view
        self._clock = clock
        self._writer = TermWriter(owned, store, settings, Topic.TENANTS)
        self._index = feed.index
        self._ledger = QuotaLedger(feed.index)

    async def run(self, is_lease_valid: Callable[[], bool]) -> None:
        """Divide caps until the term ends.

        Raise ``FeedRestartedError`` if the records are read anew.
        """
        with self._feed.subscribe() as changes:
            await self._feed.wait_until_used()
            reason = await self._writer.fence(self._feed.refresh)
            while not reason:
                with trio.move_on_after(INTERVAL_SECONDS):
                    await self._receive(changes)
                self._feed.check_index(self._index)
                self._note_queued(changes)
                if is_lease_valid():
                    reason = await self._run_round()
        LOG.emit('Dividing caps ended with the term.', reason=reason)

    async def _receive(
        self, changes: trio.MemoryReceiveChannel[set[str]]
    ) -> None:
        with contextlib.suppress(trio.EndOfChannel):
            self._ledger.note_records(await changes.receive())

    def _note_queued(
        self, changes: trio.MemoryReceiveChannel[set[str]]
    ) -> None:
        while True:
            try:
                self._ledger.note_records(changes.receive_nowait())
            except trio.WouldBlock:
                return

    async def _run_round(self) -> str:
        """Store the grants that are due; return why the term has ended."""
        configuration = self._view.configuration
        if configuration is None:
            return ''
        partitions = tuple(
            sorted(set(self._view.fleet_state.partitions.values()))
        )
        grants = self._ledger.decide(
            configuration.tenants, partitions, self._clock.read_monotonic()
        )
        for first in range(0, len(grants), GRANTS_PER_APPEND):
            chunk = grants[first : first + GRANTS_PER_APPEND]
            reason = await self._store_grants(chunk)
            if reason:
                return reason
        return ''

    async def _store_grants(self, grants: Sequence[Grant]) -> str:
        records = tuple(map(build_grant_record, grants))
        result = await self._writer.append(records)
        if isinstance(result, Fenced):
            return result.reason
        for grant in grants:
            self._log_changes(grant)
        self._feed.apply_stored(records, result.first)
        return ''

    def _log_changes(self, grant: Grant) -> None:
        former = self._feed.index.grants.get(grant.tenant)
        before = {} if former is None else former.shares
        raised, lowered = [], []
        for partition, row in grant.shares.items():
            share = before.get(partition, PartitionShare()).share
            if not covers(share, row.share):
                raised.append(partition)
            if not covers(row.share, share):
                lowered.append(partition)
        FLEET_METER.count(QUOTA_SHARES, 'raised', number=len(raised))
        FLEET_METER.count(QUOTA_SHARES, 'lowered', number=len(lowered))
        if raised or lowered:
            LOG.emit(
                'Tenant share changed.',
                tenant=grant.tenant,
                number=grant.number,
                raised=raised,
                lowered=lowered,
            )
