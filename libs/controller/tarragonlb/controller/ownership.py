"""Which partitions this process owns.

One task follows the statuses of all owners, bids for vacant partitions one at a
time and publishes the statuses of its own ones.  Each owned partition has a
task that renews its lease.
"""

import math
from collections.abc import Awaitable, Callable, Collection, Iterable
from dataclasses import replace
from functools import partial

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.looplag import LoopLag
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.ownershipwriter import OwnershipWriter
from tarragonlb.controller.partitionlease import PartitionLease
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Store
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.scheduling.handover import (
    MIN_TENURE_SECONDS,
    HandoverOffers,
    LagMeter,
)
from tarragonlb.scheduling.ownership import (
    STATUS_INTERVAL_SECONDS,
    Bidder,
    CapacityBidPolicy,
    OwnershipBids,
)
from tarragonlb.scheduling.ownershiprecords import OwnerStatus
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
        '_is_stopped',
        '_lag',
        '_lag_meter',
        '_last_terms',
        '_leases',
        '_member',
        '_offers',
        '_scope',
        '_settings',
        '_status_number',
        '_store',
        '_successors',
        '_update_owner',
        '_view',
        '_writer',
    )

    def __init__(
        self,
        member: str,
        store: Store,
        settings: ControllerSettings,
        clock: Clock,
        view: PlatformView,
        lag: LoopLag,
    ) -> None:
        """Prepare to own partitions as ``member``."""
        self._member = member
        self._store = store
        self._settings = settings
        self._clock = clock
        self._view = view
        self._lag = lag
        self._start_over()
        # Also holds the lease that is being claimed.
        self._leases: dict[int, PartitionLease] = {}
        # A term can't be resumed, and leaving a group may not succeed.
        self._last_terms: dict[int, OwnedPartition] = {}
        self._scope = trio.CancelScope()
        self._is_stopped = False
        self._status_number = 0
        self._group_log = DependencyLog('group of owners')
        self._writer = OwnershipWriter(store)

    async def run(
        self,
        list_partitions: Callable[[], Iterable[int]],
        update_owner: Callable[[int], Awaitable[None]],
    ) -> None:
        """Own partitions until stopped.

        ``list_partitions`` returns the partitions that need an owner.
        ``update_owner`` is called when ``find_owned`` may have changed.  After
        an error all partitions are given up, and ``run`` may be called again.
        """
        self._update_owner = update_owner
        self._scope = trio.CancelScope()
        if self._is_stopped:
            return
        with self._scope:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._publish_statuses)
                    await self._run_bids(list_partitions, nursery)
            except* Exception:
                self._start_over()
                await self.release()
                raise

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
        self._is_stopped = True
        self._scope.cancel()

    async def release(self) -> None:
        """End all terms and leave all groups, for others to own at once."""
        # First of all, since a partition without a lease is not owned.
        leases = tuple(self._leases.values())
        self._leases.clear()
        for lease in leases:
            self._view.note_loss(lease.partition)
        for lease in leases:
            await self._update_owner(lease.partition)
        statuses = self._build_statuses(leases, is_released=True)
        with trio.move_on_after(LEAVE_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for lease in leases:
                    nursery.start_soon(lease.leave)
            await self._writer.write_statuses(statuses)

    def _start_over(self) -> None:
        policy = CapacityBidPolicy()
        self._bids = OwnershipBids(policy)
        self._offers = HandoverOffers(policy)
        self._lag_meter = LagMeter(0)
        self._successors: dict[int, str] = {}
        self._has_claimed = trio.Event()

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
        return self._bids.find_next(self._build_bidder()) or NO_BID

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
            self._bids.note_members(partition, members, self._member, now)
            return False
        lease = PartitionLease(
            partition,
            self._member,
            self._store,
            self._settings,
            self._clock,
            self._group_log,
        )
        last_term = self._last_terms.get(partition)
        if last_term is not None:
            lease.end_term(last_term)
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
        with lease.scope:
            await lease.hold(partial(self._note_renewal, lease))
        if lease.scope.cancelled_caught:
            await self._release_to_successor(lease)
        self._leases.pop(lease.partition, None)
        self._view.note_loss(lease.partition)
        LOG.emit('Partition lost.', partition=lease.partition)

    async def _release_to_successor(self, lease: PartitionLease) -> None:
        released = [
            replace(
                status,
                is_released=True,
                successor=self._successors[lease.partition],
            )
            for status in self._build_statuses((lease,), is_released=False)
        ]
        lease.forget()
        await self._update_owner(lease.partition)
        await lease.leave()
        await self._writer.write_statuses(released)

    async def _note_renewal(self, lease: PartitionLease) -> None:
        if lease.renewed_at is not None:
            self._view.note_renewal(lease.partition, lease.renewed_at)
        owned = lease.find_owned()
        if owned is not None:
            self._last_terms[lease.partition] = owned
        await self._update_owner(lease.partition)

    async def _publish_statuses(self) -> None:
        while True:
            now = self._clock.read_boottime()
            measured_at = trio.current_time()
            self._lag_meter.note_total(
                self._lag.read_total(measured_at), measured_at
            )
            statuses = self._build_statuses(
                self._leases.values(), is_released=False
            )
            await self._writer.write_statuses(statuses)
            self._hand_over(statuses, now)
            offer = self._offers.choose_offer(
                self._build_bidder(),
                self._lag_meter.share,
                self._view.fleet_state.owner_statuses,
                now,
            )
            if offer is not None:
                await self._writer.write_offer(offer)
            with trio.move_on_after(STATUS_INTERVAL_SECONDS):
                await self._has_claimed.wait()
            self._has_claimed = trio.Event()

    def _hand_over(self, statuses: list[OwnerStatus], now: float) -> None:
        """Begin to hand a partition over if this daemon is overloaded."""
        fleet_state = self._view.fleet_state
        self._offers.observe(
            fleet_state.owner_statuses.values(), fleet_state.owner_offers, now
        )
        if not self._lag_meter.is_overloaded(trio.current_time()):
            return
        for status in statuses:
            # The partition may have been lost while its status was written.
            lease = self._leases.get(status.partition)
            offer = self._offers.find_offer(status, now)
            if lease is None or offer is None:
                continue
            if now - lease.claimed_at < MIN_TENURE_SECONDS:
                continue
            LOG.emit(
                'Handing a partition over to a stronger daemon.',
                partition=status.partition,
                successor=offer.member,
                lag_share=round(self._lag_meter.share, 3),
            )
            self._bids.exclude(status.partition, now + MIN_TENURE_SECONDS)
            self._successors[status.partition] = offer.member
            lease.scope.cancel()
            # What was measured so far was with this partition.
            self._lag_meter.restart()
            return

    def _build_bidder(self) -> Bidder:
        return Bidder(
            self._member,
            self._settings.processor_cores,
            frozenset(self._leases),
        )

    def _build_statuses(
        self, leases: Collection[PartitionLease], *, is_released: bool
    ) -> list[OwnerStatus]:
        now = self._clock.read_boottime()
        self._status_number += 1
        return [
            OwnerStatus(
                partition=lease.partition,
                member=self._member,
                term=owned.term,
                number=self._status_number,
                processor_cores=self._settings.processor_cores,
                lag_share=round(self._lag_meter.share, 2),
                owned_partitions=max(len(self._leases), len(leases)),
                is_released=is_released,
            )
            for lease in leases
            if lease.is_valid(now) and (owned := lease.find_owned()) is not None
        ]
