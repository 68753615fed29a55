"""Which partitions this process owns.

One task follows the statuses of all owners, bids for vacant partitions one at a
time and publishes the statuses of its own ones.  Each owned partition has a
task that renews its lease.
"""

import math
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.partitionlease import PartitionLease
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Store
from tarragonlb.controller.results import NotDone, Stored
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.scheduling.ownership import (
    STATUS_INTERVAL_SECONDS,
    Bidder,
    CapacityBidPolicy,
    OwnershipBids,
)
from tarragonlb.scheduling.ownershiprecords import (
    OwnerStatus,
    build_owner_record,
)
from tarragonlb.telemetry.log import Log

LOG = Log('process')
BID_INTERVAL_SECONDS = 0.1
# Due never.
NO_BID = (math.inf, FLEET_PARTITION)
# Timeout of the calls that leave all groups when the daemon stops.
LEAVE_TIMEOUT_SECONDS = 0.5


class Ownership:
    """Claims, renews and releases the ownership of partitions."""

    __slots__ = (
        '_bids',
        '_clock',
        '_group_log',
        '_has_claimed',
        '_leases',
        '_member',
        '_scope',
        '_settings',
        '_status_log',
        '_status_number',
        '_store',
        '_update_owner',
        '_view',
    )

    def __init__(
        self,
        member: str,
        store: Store,
        settings: ControllerSettings,
        clock: Clock,
        view: PlatformView,
    ) -> None:
        """Prepare to own partitions as ``member``."""
        self._member = member
        self._store = store
        self._settings = settings
        self._clock = clock
        self._view = view
        self._bids = OwnershipBids(CapacityBidPolicy())
        # Also holds the lease that is being claimed.
        self._leases: dict[int, PartitionLease] = {}
        self._scope = trio.CancelScope()
        self._has_claimed = trio.Event()
        self._status_number = 0
        self._group_log = DependencyLog('group of owners')
        self._status_log = DependencyLog('statuses of owners')

    async def run(
        self,
        list_partitions: Callable[[], Iterable[int]],
        update_owner: Callable[[int], Awaitable[None]],
    ) -> None:
        """Own partitions until stopped.

        ``list_partitions`` returns the partitions that need an owner.
        ``update_owner`` is called when ``find_owned`` may have changed.
        """
        self._update_owner = update_owner
        with self._scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._publish_statuses)
                await self._run_bids(list_partitions, nursery)

    def find_owned(self, partition: int) -> OwnedPartition | None:
        """Return the partition with its term, None if it isn't owned."""
        lease = self._leases.get(partition)
        return None if lease is None else lease.find_owned()

    def end_term(self, owned: OwnedPartition) -> None:
        """Give up a term that a later owner has ended."""
        lease = self._leases.get(owned.partition)
        if lease is not None:
            lease.end_term(owned)

    def is_valid(self, partition: int) -> bool:
        """Return whether this process may act as owner of a partition."""
        lease = self._leases.get(partition)
        return lease is not None and lease.is_valid(self._clock.read_boottime())

    def stop(self) -> None:
        """Neither bid nor renew any more."""
        self._scope.cancel()

    async def release(self) -> None:
        """Leave all groups, for others to own their partitions at once."""
        leases = tuple(self._leases.values())
        statuses = self._build_statuses(is_released=True)
        self._leases.clear()
        self._view.renewed_at.clear()
        with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for lease in leases:
                    nursery.start_soon(lease.leave)
            await self._store_statuses(statuses)

    async def _run_bids(
        self,
        list_partitions: Callable[[], Iterable[int]],
        nursery: trio.Nursery,
    ) -> None:
        while True:
            now = self._clock.read_boottime()
            due_at, partition = self._find_next_bid(list_partitions(), now)
            if due_at > now:
                await trio.sleep(min(due_at - now, BID_INTERVAL_SECONDS))
            elif await self._bid(partition):
                nursery.start_soon(self._hold, self._leases[partition])

    def _find_next_bid(
        self, partitions: Iterable[int], now: float
    ) -> tuple[float, int]:
        view = self._view
        if view.last_read_at is None:
            return NO_BID
        if now - view.last_read_at > self._settings.store_suspect_seconds:
            self._bids.note_no_contact(now)
            return NO_BID
        self._bids.observe(view.fleet_state.owner_statuses, partitions, now)
        bidder = Bidder(
            self._member,
            self._settings.processor_cores,
            frozenset(self._leases),
        )
        return self._bids.find_next(bidder) or NO_BID

    async def _bid(self, partition: int) -> bool:
        """Claim a partition if its group is vacant; return if it is owned."""
        members = await self._store.list_owners(partition)
        if isinstance(members, NotDone):
            self._group_log.record_failure(members.reason, trio.current_time())
            await trio.sleep(self._settings.store_retry_seconds)
            return False
        self._group_log.record_success(trio.current_time())
        now = self._clock.read_boottime()
        if not self._bids.may_claim(partition, members, self._member, now):
            self._bids.note_taken(partition, now)
            return False
        lease = PartitionLease(
            partition,
            self._member,
            self._store,
            self._settings,
            self._clock,
            self._group_log,
        )
        self._leases[partition] = lease
        if await lease.claim():
            LOG.emit(
                'Partition claimed.',
                partition=partition,
                former_members=sorted(members),
                owned_partitions=len(self._leases),
                processor_cores=self._settings.processor_cores,
            )
            self._has_claimed.set()
            return True
        self._leases.pop(partition)
        self._bids.note_taken(partition, now)
        return False

    async def _hold(self, lease: PartitionLease) -> None:
        await lease.hold(partial(self._note_renewal, lease))
        self._leases.pop(lease.partition)
        self._view.renewed_at.pop(lease.partition, None)
        LOG.emit('Partition lost.', partition=lease.partition)

    async def _note_renewal(self, lease: PartitionLease) -> None:
        if lease.renewed_at is not None:
            self._view.renewed_at[lease.partition] = lease.renewed_at
        await self._update_owner(lease.partition)

    async def _publish_statuses(self) -> None:
        while True:
            await self._store_statuses(self._build_statuses(is_released=False))
            with trio.move_on_after(STATUS_INTERVAL_SECONDS):
                await self._has_claimed.wait()
            self._has_claimed = trio.Event()

    def _build_statuses(self, *, is_released: bool) -> list[OwnerStatus]:
        now = self._clock.read_boottime()
        self._status_number += 1
        return [
            OwnerStatus(
                partition=lease.partition,
                member=self._member,
                term=owned.term,
                number=self._status_number,
                processor_cores=self._settings.processor_cores,
                is_released=is_released,
            )
            for lease in self._leases.values()
            if lease.is_valid(now) and (owned := lease.find_owned()) is not None
        ]

    async def _store_statuses(self, statuses: list[OwnerStatus]) -> None:
        if not statuses:
            return
        records = tuple(build_owner_record(status) for status in statuses)
        stored = await self._store.append(FLEET_PARTITION, records, None)
        now = trio.current_time()
        if isinstance(stored, Stored):
            self._status_log.record_success(now)
        else:
            self._status_log.record_failure(stored.reason, now)
