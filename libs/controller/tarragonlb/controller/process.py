"""Starts and stops the feeds and partition owners of one process.

Feeds run all the time.  Owners are started and stopped as the group assigns
partitions to this member.  When asked to stop, the process releases its
partitions first; its feeds go on as long as clients are served.
"""

from dataclasses import dataclass
from functools import partial

import trio

from tarragonlb.controller.advicecaller import build_advice_access
from tarragonlb.controller.feeds import FleetStateFeed, OperatorFeed, WorkerFeed
from tarragonlb.controller.fleetowner import FleetOwner
from tarragonlb.controller.jobservice import JobService
from tarragonlb.controller.keycheck import KeyCheck
from tarragonlb.controller.looplag import LoopLag
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.ordergate import OrderGate, WorkerAccess
from tarragonlb.controller.ownership import Ownership
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.pollbudget import PollBudget
from tarragonlb.controller.poolowner import PoolOwner
from tarragonlb.controller.ports import (
    Clock,
    DocumentDecoder,
    PlacementAdvisor,
    Store,
    VmApi,
    WorkerApi,
)
from tarragonlb.controller.quotafeed import QuotaFeed
from tarragonlb.controller.quotaowner import QuotaOwner
from tarragonlb.controller.readgate import ReadGate
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, TERMS
from tarragonlb.telemetry.log import Log
from tarragonlb.telemetry.supervision import Task, format_trace, supervise

LOG = Log('process')


@dataclass(frozen=True, slots=True)
class Platform:
    """The interfaces to the platform that a controller uses."""

    store: Store
    documents: DocumentDecoder
    workers: WorkerApi
    vms: VmApi
    advisor: PlacementAdvisor | None = None


class Controller:
    """Runs the feeds and partition owners of one process."""

    __slots__ = (
        '_clock',
        '_feeds',
        '_fleet_state_feed',
        '_is_stopping',
        '_owners',
        '_ownership',
        '_platform',
        '_quota_feed',
        '_read_gate',
        '_settings',
        '_workers',
        'job_service',
        'key_check',
        'view',
    )

    def __init__(
        self,
        platform: Platform,
        settings: ControllerSettings,
        member: str,
        clock: Clock,
        lag: LoopLag,
    ) -> None:
        """Prepare to run as ``member``, a name unique to this process.

        The caller measures ``lag``, how far the event loop is behind.
        """
        self._platform = platform
        self._settings = settings
        self._clock = clock
        self._feeds: dict[int, PartitionFeed] = {}
        self._owners: dict[
            OwnedPartition, tuple[trio.CancelScope, trio.Event]
        ] = {}
        self._is_stopping = False
        self._read_gate = ReadGate()
        self._workers = WorkerAccess(
            platform.workers,
            platform.vms,
            OrderGate(settings),
            PollBudget(settings),
            build_advice_access(platform.advisor, member),
        )
        self.view = PlatformView(settings.pool_partitions)
        self._fleet_state_feed = FleetStateFeed(
            platform.store, settings, self.view, clock
        )
        self._quota_feed: QuotaFeed | None = None
        if settings.has_tenants:
            self._quota_feed = QuotaFeed(platform.store, settings, self.view)
        self._ownership = Ownership(
            member, platform.store, settings, clock, self.view, lag
        )
        self.job_service = JobService(
            platform.store, self._feeds, settings, clock, self.view
        )
        self.key_check = KeyCheck(self.view, settings, clock)

    @property
    def is_ready(self) -> bool:
        """Return whether this process can serve new clients."""
        if self._is_stopping or self.view.configuration is None:
            return False
        if any(feed.last_read_at is None for feed in self._feeds.values()):
            return False
        if self.view.last_read_at is None:
            return False
        contact_age = self.view.compute_contact_age(self._clock.read_boottime())
        return contact_age < self._settings.store_unready_seconds

    async def run(self, stopped: trio.Event, served: trio.Event) -> None:
        """Own partitions until ``stopped`` is set, and run until ``served`` is.

        The caller sets ``served`` when no client is served any more.
        """
        platform, settings = self._platform, self._settings
        operators = OperatorFeed(
            platform.store,
            platform.documents,
            settings,
            self.view,
            self._clock,
        )
        workers = WorkerFeed(
            platform.store,
            platform.documents,
            settings,
            self.view,
            self._clock,
        )
        async with trio.open_nursery() as nursery:
            tasks: dict[str, Task] = {
                'operators': operators.run,
                'workers': workers.run,
                'fleet state': self._fleet_state_feed.run,
                'pools': partial(self._follow_pools, nursery),
                'submissions': self.job_service.log_submissions,
            }
            if self._quota_feed is not None:
                tasks['quota'] = self._quota_feed.run
            for name, task in tasks.items():
                nursery.start_soon(supervise, name, task)
            await self._own_partitions(stopped)
            await served.wait()
            nursery.cancel_scope.cancel()

    async def _own_partitions(self, stopped: trio.Event) -> None:
        """Own partitions until ``stopped`` is set, then release them."""
        async with trio.open_nursery() as owners:
            owners.start_soon(
                supervise,
                'ownership',
                partial(
                    self._ownership.run,
                    self._list_served_partitions,
                    partial(self._update_owner, owners),
                ),
            )
            await stopped.wait()
            await self._release_partitions()
            owners.cancel_scope.cancel()

    async def _release_partitions(self) -> None:
        LOG.emit('Stopping: releasing all partitions.')
        self._is_stopping = True
        self._ownership.stop()
        await self._stop_owners(frozenset())
        await self._ownership.release()

    async def _follow_pools(self, nursery: trio.Nursery) -> None:
        while True:
            # Also of pools that are no longer configured but may have jobs.
            for partition in set(self.view.fleet_state.partitions.values()):
                self._follow_partition(partition, nursery)
            await self.view.wait_for_change()

    def _follow_partition(self, partition: int, nursery: trio.Nursery) -> None:
        if partition in self._feeds:
            return
        feed = PartitionFeed(
            partition,
            self._platform.store,
            self._settings,
            self._clock,
            self._quota_feed,
            self._read_gate,
        )
        self._feeds[partition] = feed
        nursery.start_soon(supervise, 'partition', feed.run)

    def _list_served_partitions(self) -> tuple[int, ...]:
        return (FLEET_PARTITION, *self._feeds)

    async def _update_owner(
        self, nursery: trio.Nursery, partition: int
    ) -> None:
        owned = self._ownership.find_owned(partition)
        await self._stop_owners(
            frozenset(
                other
                for other in self._owners
                if other.partition != partition or other == owned
            )
        )
        if owned is None or owned in self._owners:
            return
        scope, ended = trio.CancelScope(), trio.Event()
        self._owners[owned] = (scope, ended)
        FLEET_METER.count(TERMS, 'begun')
        nursery.start_soon(self._supervise_owner, owned, scope, ended)

    async def _stop_owners(
        self, owned_partitions: frozenset[OwnedPartition]
    ) -> None:
        # Copied, since owners may end on their own while one is awaited.
        ending = [
            owner
            for owned, owner in self._owners.items()
            if owned not in owned_partitions
        ]
        for scope, _ in ending:
            scope.cancel()
        for _, ended in ending:
            await ended.wait()

    async def _supervise_owner(
        self, owned: OwnedPartition, scope: trio.CancelScope, ended: trio.Event
    ) -> None:
        try:
            with scope:
                await self._run_owner_contained(owned)
                self._ownership.end_term(owned)
        finally:
            self._remove_owner(owned, ended)

    def _remove_owner(self, owned: OwnedPartition, ended: trio.Event) -> None:
        self._owners.pop(owned, None)
        FLEET_METER.count(TERMS, 'ended')
        ended.set()
        LOG.emit(
            'Partition no longer owned.',
            partition=owned.partition,
            term=owned.term,
        )

    async def _run_owner_contained(self, owned: OwnedPartition) -> None:
        """Run an owner; an unexpected error ends its term, not the process.

        Another daemon, or this one in a later term, then owns the partition.
        """
        try:
            await self._run_owner(owned)
        except Exception as error:
            LOG.emit(
                'Owner failed.',
                partition=owned.partition,
                term=owned.term,
                error=repr(error),
                trace=format_trace(error),
            )

    async def _run_owner(self, owned: OwnedPartition) -> None:
        platform = self._platform
        if owned.partition == FLEET_PARTITION:
            await self._run_fleet_owner(owned)
            return
        owner = PoolOwner(
            owned,
            self._feeds[owned.partition],
            platform.store,
            self._workers,
            self.view,
            self._settings,
            self._clock,
        )
        await owner.run(partial(self._choose_lease_seconds, owned.partition))

    async def _run_fleet_owner(self, owned: OwnedPartition) -> None:
        platform = self._platform
        is_valid = partial(self._ownership.is_valid, FLEET_PARTITION)
        fleet = FleetOwner(
            owned,
            self._fleet_state_feed,
            platform.store,
            platform.vms,
            self.view,
            self._settings,
            self._clock,
        )
        async with trio.open_nursery() as nursery:
            if self._quota_feed is not None:
                quota = QuotaOwner(
                    owned,
                    self._quota_feed,
                    platform.store,
                    self.view,
                    self._settings,
                    self._clock,
                )
                nursery.start_soon(quota.run, is_valid)
            await fleet.run(is_valid)
            nursery.cancel_scope.cancel()

    def _choose_lease_seconds(self, partition: int) -> float:
        """Return how long leases may be granted now, in seconds.

        With short leases, tasks of unreachable workers can soon be restarted
        elsewhere.  While the store does not answer, leases are as long as
        possible so that tasks survive its outage.
        """
        if not self._ownership.is_valid(partition):
            return 0
        settings = self._settings
        age = self._clock.read_boottime() - self.view.renewed_at[partition]
        if age > settings.store_suspect_seconds:
            return settings.scheduling.max_lease_seconds
        return settings.scheduling.order_lease_seconds
