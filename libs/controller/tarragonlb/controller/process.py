"""The tasks of one process, and how they begin and end.

Feeds run all the time.  Owners come and go with what the group deals to this
member.  On a request to stop, partitions are given back first, while clients
are still served for as long as the platform allows.
"""

from dataclasses import dataclass

import trio

from tarragonlb.controller.dependency import Dependency
from tarragonlb.controller.desk import Desk
from tarragonlb.controller.feeds import BoardFeed, OperatorFeed, WorkerFeed
from tarragonlb.controller.fleet import FleetOwner
from tarragonlb.controller.membership import Holding, Membership
from tarragonlb.controller.owner import PoolOwner
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.ports import (
    Clock,
    Documents,
    Store,
    Vms,
    Workers,
)
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.controller.view import View
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, TERMS
from tarragonlb.telemetry.log import Log

LOG = Log('process')
# The daemon has one call under way to leave the group when it stops.
LEAVE_SECONDS = 0.5
# Kept back from the grace time for closing connections.
STOP_MARGIN_SECONDS = 1.5


@dataclass(frozen=True, slots=True)
class Platform:
    """Everything of the platform that a controller talks to."""

    store: Store
    documents: Documents
    workers: Workers
    vms: Vms


class Controller:
    """Runs the tasks of one process."""

    __slots__ = (
        '_board',
        '_clock',
        '_feeds',
        '_group',
        '_is_stopping',
        '_member',
        '_membership',
        '_owners',
        '_platform',
        '_settings',
        'desk',
        'view',
    )

    def __init__(
        self,
        platform: Platform,
        settings: ControllerSettings,
        member: str,
        clock: Clock,
    ) -> None:
        """Prepare to run as ``member``, a name no other process ever has."""
        self._platform = platform
        self._settings = settings
        self._member = member
        self._clock = clock
        self._feeds: dict[int, PartitionFeed] = {}
        self._owners: dict[Holding, tuple[trio.CancelScope, trio.Event]] = {}
        self._membership = Membership(settings.member_ttl_seconds)
        self._is_stopping = False
        self._group = Dependency('group of owners')
        self.view = View()
        self._board = BoardFeed(platform.store, settings, self.view)
        self.desk = Desk(
            platform.store, self._feeds, settings, clock, self.view
        )

    @property
    def is_ready(self) -> bool:
        """Return whether new clients are welcome here."""
        if self._is_stopping or self.view.configuration is None:
            return False
        if any(feed.read_at is None for feed in self._feeds.values()):
            return False
        if self.view.contact_at is None:
            return False
        silence = self.view.measure_silence(self._clock.read_lease())
        return silence < self._settings.contact_seconds

    async def run(self, stopped: trio.Event) -> None:
        """Run until ``stopped``, then give everything back."""
        platform, settings = self._platform, self._settings
        operators = OperatorFeed(
            platform.store, platform.documents, settings, self.view
        )
        workers = WorkerFeed(
            platform.store, platform.documents, settings, self.view
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(operators.run)
            nursery.start_soon(workers.run)
            nursery.start_soon(self._board.run)
            nursery.start_soon(self._follow_pools, nursery)
            async with trio.open_nursery() as owners:
                owners.start_soon(self._stay_member, owners)
                await stopped.wait()
                await self._give_back()
                owners.cancel_scope.cancel()
            await trio.sleep(settings.grace_seconds - STOP_MARGIN_SECONDS)
            nursery.cancel_scope.cancel()

    async def _give_back(self) -> None:
        LOG.say('Stopping: partitions are given back.')
        self._is_stopping = True
        # Nobody joins any more, so that age of contact says nothing.
        self.view.contact_at = None
        await self._end_owners(frozenset())
        with trio.move_on_after(LEAVE_SECONDS):
            await self._platform.store.leave(self._member)

    async def _follow_pools(self, nursery: trio.Nursery) -> None:
        while True:
            configuration = self.view.configuration
            if configuration is not None:
                for pool in configuration.queues.list_pools():
                    self._follow(pool, nursery)
            await self.view.wait_for_change()

    def _follow(self, pool: str, nursery: trio.Nursery) -> None:
        number = self._settings.find_partition(pool)
        if number in self._feeds:
            return
        feed = PartitionFeed(
            number, self._platform.store, self._settings, self._clock
        )
        self._feeds[number] = feed
        nursery.start_soon(feed.run)

    async def _stay_member(self, nursery: trio.Nursery) -> None:
        membership = self._membership
        while not self._is_stopping:
            sent_at = self._clock.read_lease()
            seat = await self._platform.store.join(
                self._member,
                self._settings.member_ttl_seconds,
                membership.generation,
            )
            if isinstance(seat, NotDone):
                self._group.note_failure(seat.reason, trio.current_time())
                await trio.sleep(self._settings.store_retry_seconds)
                continue
            self._group.note_answer(trio.current_time())
            self.view.contact_at = sent_at
            before = membership.generation
            membership.take_seat(seat, sent_at)
            await self._update_owners(nursery)
            if membership.must_leave:
                LOG.say('Leaving the group, to get a new term.')
                await self._platform.store.leave(self._member)
            if membership.generation == before:
                await trio.sleep(self._settings.join_seconds)

    async def _update_owners(self, nursery: trio.Nursery) -> None:
        held = self._membership.list_holdings()
        await self._end_owners(held)
        for holding in held:
            is_served = (
                holding.partition in self._feeds
                or holding.partition == FLEET_PARTITION
            )
            if is_served and holding not in self._owners:
                scope, ended = trio.CancelScope(), trio.Event()
                self._owners[holding] = (scope, ended)
                FLEET_METER.count(TERMS, 'begun')
                nursery.start_soon(self._own, holding, scope, ended)

    async def _end_owners(self, held: frozenset[Holding]) -> None:
        # Owners may end by themselves while one is waited for.
        ending = [
            owner
            for holding, owner in self._owners.items()
            if holding not in held
        ]
        for scope, ended in ending:
            scope.cancel()
            await ended.wait()

    async def _own(
        self, holding: Holding, scope: trio.CancelScope, ended: trio.Event
    ) -> None:
        try:
            with scope:
                await self._run_owner(holding)
                self._membership.depose(holding)
        finally:
            self._forget_owner(holding, ended)

    def _forget_owner(self, holding: Holding, ended: trio.Event) -> None:
        self._owners.pop(holding, None)
        FLEET_METER.count(TERMS, 'ended')
        ended.set()
        LOG.say(
            'A partition is not held any more.',
            partition=holding.partition,
            term=holding.term,
        )

    async def _run_owner(self, holding: Holding) -> None:
        platform = self._platform
        if holding.partition == FLEET_PARTITION:
            fleet = FleetOwner(
                holding,
                self._board,
                platform.store,
                platform.vms,
                self.view,
                self._settings,
                self._clock,
            )
            await fleet.run(self._is_seat_valid)
            return
        owner = PoolOwner(
            holding,
            self._feeds[holding.partition],
            platform.store,
            platform.workers,
            self.view,
            self._settings,
            self._clock,
        )
        await owner.run(self._choose_lease)

    def _choose_lease(self) -> float:
        """Return how long leases may be granted now, in seconds.

        Short leases free tasks of unreachable workers soon.  While the store
        does not answer, the longest ones ride out its outage.
        """
        now = self._clock.read_lease()
        if not self._membership.is_valid(now):
            return 0
        settings = self._settings
        if self.view.measure_silence(now) > settings.doubt_seconds:
            return settings.scheduling.max_lease_seconds
        return settings.scheduling.order_lease_seconds

    def _is_seat_valid(self) -> bool:
        return self._membership.is_valid(self._clock.read_lease())
