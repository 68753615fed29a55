"""This process's membership in the group of one partition's owner.

Each partition has a group of its own, in which a single member is the owner.
A daemon joins while the group is empty.  If two join at once, the store divides
the partitions of the topic between them, and the one that did not get this
partition leaves.
"""

from collections.abc import Awaitable, Callable

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.membership import Membership, OwnedPartition
from tarragonlb.controller.ports import Clock, Store
from tarragonlb.controller.results import (
    Assignment,
    Fenced,
    NotDone,
    Stored,
)
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.telemetry.log import Log

LOG = Log('process')
# The store may take back a partition when another member joins, if only for a
# moment.  Until the group has settled, a claim is repeated at this interval.
SETTLE_SECONDS = 0.05
MAX_SETTLING_JOINS = 10
# An owner that lost its partition stays a member for longer than a dead member
# is listed, since the partition may have gone to one.
MAX_SECONDS_WITHOUT_PARTITION = 2.5


class PartitionLease:
    """Joins the group of one partition and keeps the membership alive."""

    __slots__ = (
        '_clock',
        '_group_log',
        '_is_replaced',
        '_lost_at',
        '_member',
        '_membership',
        '_settings',
        '_store',
        'claimed_at',
        'partition',
        'renewed_at',
        'scope',
    )

    def __init__(
        self,
        partition: int,
        member: str,
        store: Store,
        settings: ControllerSettings,
        clock: Clock,
        group_log: DependencyLog,
    ) -> None:
        """Prepare to join the group of ``partition`` as ``member``."""
        self.partition = partition
        # When the last successful join was sent, on the boot-time clock.
        self.renewed_at: float | None = None
        self.claimed_at = 0.0
        # Cancelled to hand the partition over.
        self.scope = trio.CancelScope()
        self._member = member
        self._store = store
        self._settings = settings
        self._clock = clock
        self._group_log = group_log
        self._membership = Membership(settings.member_ttl_seconds)
        self._lost_at: float | None = None
        # Whether another member was found after the membership had expired.
        self._is_replaced = False

    def find_owned(self) -> OwnedPartition | None:
        """Return the partition with its term, None if it isn't owned."""
        return next(iter(self._membership.list_owned_partitions()), None)

    def is_valid(self, now: float) -> bool:
        """Return whether the membership is valid at boot time ``now``."""
        return self._membership.is_valid(now)

    def end_term(self, owned: OwnedPartition) -> None:
        """Give up a term that a later owner has ended."""
        self._membership.end_term(owned)

    async def claim(self) -> bool:
        """Join the group; return whether the partition is owned now."""
        if await self._join() and self.find_owned() and await self._settle():
            self.claimed_at = self._clock.read_boottime()
            return True
        await self.leave()
        return False

    async def hold(self, on_renewal: Callable[[], Awaitable[None]]) -> None:
        """Renew the membership until the partition is lost.

        ``on_renewal`` is called after each join, and at the end.
        """
        is_member = True
        while is_member:
            await on_renewal()
            pause = self._settings.store_retry_seconds
            if self.find_owned():
                pause = self._settings.join_interval_seconds
            await trio.sleep(pause)
            if self._membership.must_rejoin:
                LOG.emit(
                    'Leaving the group to rejoin in a new term.',
                    partition=self.partition,
                )
                await self.leave()
            is_member = await self._renew()
        self.forget()
        await on_renewal()

    def forget(self) -> None:
        """Own the partition no longer."""
        self._membership = Membership(self._settings.member_ttl_seconds)

    async def leave(self) -> None:
        """Leave the group, so that another daemon can join it at once."""
        await self._store.leave(self.partition, self._member)

    async def _settle(self) -> bool:
        """Join until the group has settled; return if the partition is owned.

        Others may have joined at the same time, and leave again.
        """
        for _ in range(MAX_SETTLING_JOINS):
            await trio.sleep(SETTLE_SECONDS)
            generation = self._membership.generation
            if not await self._join():
                break
            is_settled = self._membership.generation == generation
            if is_settled and self.find_owned():
                return True
        return False

    async def _renew(self) -> bool:
        """Renew the membership once; return whether to stay a member."""
        while not await self._rejoin():
            if self._is_replaced:
                return False
            await trio.sleep(self._settings.store_retry_seconds)
        now = self._clock.read_boottime()
        if self.find_owned() is not None or self._membership.must_rejoin:
            self._lost_at = None
            return True
        if self._lost_at is None:
            self._lost_at = now
        if now - self._lost_at < MAX_SECONDS_WITHOUT_PARTITION:
            return True
        await self.leave()
        return False

    async def _rejoin(self) -> bool:
        """Join, unless others joined after the membership had expired."""
        if not self.is_valid(self._clock.read_boottime()):
            others = await self._list_others()
            self._is_replaced = bool(others)
            if others is None or others:
                return False
        return await self._join()

    async def _list_others(self) -> frozenset[str] | None:
        """Return the other members, None if the store doesn't answer."""
        members = await self._store.list_owners(self.partition)
        if isinstance(members, NotDone):
            self._group_log.record_failure(members.reason, trio.current_time())
            return None
        return members - {self._member}

    async def _join(self) -> bool:
        sent_at = self._clock.read_boottime()
        assignment = await self._store.join(
            self.partition,
            self._member,
            self._settings.member_ttl_seconds,
            self._membership.generation,
        )
        if isinstance(assignment, NotDone):
            self._group_log.record_failure(
                assignment.reason, trio.current_time()
            )
            return False
        self._group_log.record_success(trio.current_time())
        if not await self._check_term():
            return False
        self.renewed_at = sent_at
        self._membership.apply_assignment(
            Assignment(
                assignment.generation,
                assignment.partitions & {self.partition},
            ),
            sent_at,
        )
        return True

    async def _check_term(self) -> bool:
        """Give up a term that another owner's has followed.

        While the membership had expired, another daemon may have owned the
        partition and left.  Return whether the store answered.
        """
        owned = self.find_owned()
        if owned is None or self.is_valid(self._clock.read_boottime()):
            return True
        fenced = await self._store.fence(owned.partition, owned.term)
        if isinstance(fenced, Fenced):
            self.end_term(owned)
        return isinstance(fenced, Fenced | Stored)
