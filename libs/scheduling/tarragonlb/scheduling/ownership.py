"""Decides when a daemon bids for the ownership of a partition.

Owners publish a status twice a second.  A partition whose owner has released it
or has not been heard for a while is probably vacant.  Daemons then wait before
they bid: the less processor capacity a daemon has for another partition, the
longer.  So the strongest idle daemon wins, and the others see its status before
their own time has come.

A daemon that has just started knows only a stored status, which may be old.
Until it hears the owner, it looks at the group again and again, and waits from
when it has seen that the group is vacant.  So the order of daemons that start
together does not depend on which of them was ready first.

A status only tells when to look.  Whether a partition is vacant, and who gets
it, is up to the store's groups.

>>> bidder = Bidder('vm-1', processor_cores=1.0,
...                 owned_partitions=frozenset())
>>> bids = OwnershipBids(CapacityBidPolicy())
>>> bids.observe({}, (1,), 10.0)
>>> due_at, partition = bids.find_next(bidder)
>>> round(due_at, 2), partition
(10.25, 1)
"""

import abc
import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from tarragonlb.scheduling.ownershiprecords import OwnerStatus

STATUS_INTERVAL_SECONDS = 0.5
# An owner that died without notice has left its group by about this time.
SILENT_AFTER_SECONDS = 1.6
# Time between the first checks whether a silent owner has left its group.
RECHECK_SECONDS = 0.25
# Shortest time between two looks at the group of an owner that was never heard.
MIN_LOOK_SECONDS = 0.1
RECHECKS_BEFORE_BACKOFF = 5
MAX_RECHECK_SECONDS = 4.0
# An owner that is silent for this long, while others are heard, is not waited
# for although a member is listed.
ABANDONED_AFTER_SECONDS = 6.0
# Bidders notice a new partition at different times, and it is not urgent.
NEW_PARTITION_PATIENCE = 1.5
# How long others leave a partition to the successor that its owner chose.
SUCCESSOR_SECONDS = 1.5
# Assumed of the strongest owner while none is known.
DEFAULT_CORES = 1.0
HASH_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class Bidder:
    """A daemon that may bid: its capacity, and what it owns already."""

    member: str
    processor_cores: float
    owned_partitions: frozenset[int]


class BidPolicy(abc.ABC):
    """Chooses how long a daemon waits before it bids for a partition."""

    __slots__ = ()

    @abc.abstractmethod
    def choose_delay(
        self, bidder: Bidder, partition: int, most_cores: float
    ) -> float:
        """Return the delay in seconds, different for each bidder.

        ``most_cores`` is the capacity of the strongest known owner.
        """


class CapacityBidPolicy(BidPolicy):
    """The delay falls with the processor capacity left per partition."""

    __slots__ = ()

    # For the strongest daemon if it owns nothing.
    base_seconds = 0.15
    max_seconds = 0.7
    # Added to the delay at random, as a share of it, so that equals differ.
    spread = 0.5

    def choose_delay(
        self, bidder: Bidder, partition: int, most_cores: float
    ) -> float:
        """Return the delay in seconds, different for each bidder."""
        partitions = len(bidder.owned_partitions) + 1
        seconds = self.max_seconds
        if bidder.processor_cores > 0:
            seconds = min(
                self.base_seconds
                * partitions
                * most_cores
                / bidder.processor_cores,
                seconds,
            )
        name = f'{bidder.member}/{partition}'
        draw = zlib.crc32(name.encode()) / HASH_RANGE
        return seconds * (1 + self.spread * draw)


class _Watch:
    """What is known about the owner of one partition.

    ``vacant_at`` is None while that takes a look at the group, since only a
    stored status of the owner is known.
    """

    __slots__ = (
        'check_after',
        'checks',
        'heard_at',
        'is_stored',
        'looked_at',
        'status',
        'vacant_at',
    )

    def __init__(self, status: OwnerStatus | None, now: float) -> None:
        self.vacant_at: float | None
        self.looked_at = now
        self.note_status(status, now)
        if self.has_owner():
            # The first status read may be old: the owner may be long gone.
            self.is_stored = True
            self.vacant_at = None

    def note_status(self, status: OwnerStatus | None, now: float) -> None:
        self.status = status
        self.checks = 0
        self.check_after = now
        self.note_heard(now)

    def note_heard(self, now: float) -> None:
        self.is_stored = False
        self.heard_at = now
        self.vacant_at = now
        if self.has_owner():
            self.vacant_at += SILENT_AFTER_SECONDS
        elif self.status is not None and self.status.successor:
            self.vacant_at += SUCCESSOR_SECONDS

    def note_taken(self, now: float) -> None:
        self.looked_at = now
        is_silent = now >= self.heard_at + SILENT_AFTER_SECONDS
        if self.is_stored:
            self.vacant_at = None
            if not is_silent:
                # A dead owner can still be listed, but not for long.
                return
        elif self.has_owner():
            self.vacant_at = self.heard_at + SILENT_AFTER_SECONDS
        self.checks += 1
        doublings = max(self.checks - RECHECKS_BEFORE_BACKOFF, 0)
        self.check_after = now + min(
            RECHECK_SECONDS * 2**doublings, MAX_RECHECK_SECONDS
        )

    def find_due_time(self, delay: float) -> float:
        """Return when to check the group, for a bidder with this delay."""
        if self.vacant_at is None:
            # A short delay is of use only if the vacancy is seen as soon.
            pause = min(max(delay, MIN_LOOK_SECONDS), RECHECK_SECONDS)
            return max(self.looked_at + pause, self.check_after)
        return max(self.vacant_at + delay, self.check_after)

    def has_successor(self, member: str) -> bool:
        return self.status is not None and self.status.successor == member

    def has_owner(self) -> bool:
        return self.status is not None and not self.status.is_released


class OwnershipBids:
    """The partitions that a daemon may bid for.

    ``now`` is in seconds of a monotonic clock.
    """

    __slots__ = ('_excluded_until', '_policy', '_watches')

    def __init__(self, policy: BidPolicy) -> None:
        """Bid with the delays of ``policy``."""
        self._policy = policy
        self._watches: dict[int, _Watch] = {}
        self._excluded_until: dict[int, float] = {}

    def observe(
        self,
        statuses: Mapping[int, OwnerStatus],
        partitions: Iterable[int],
        now: float,
    ) -> None:
        """Take note of the newest status of the owner of each partition."""
        for partition in partitions:
            status = statuses.get(partition)
            watch = self._watches.get(partition)
            if watch is None:
                self._watches[partition] = _Watch(status, now)
            elif watch.status != status:
                watch.note_status(status, now)

    def note_no_contact(self, now: float) -> None:
        """Take note that no status could be read: nobody is silent."""
        for watch in self._watches.values():
            if watch.has_owner():
                watch.note_heard(now)

    def exclude(self, partition: int, until: float) -> None:
        """Make no bid for a partition until a time."""
        self._excluded_until[partition] = until

    def find_next(self, bidder: Bidder) -> tuple[float, int] | None:
        """Return when to check which partition next, None if there is none.

        At that time the caller bids for it if ``may_claim`` agrees.
        """
        return min(
            (
                (self._find_due_time(bidder, partition), partition)
                for partition in self._watches
                if partition not in bidder.owned_partitions
            ),
            default=None,
        )

    def may_claim(
        self, partition: int, members: frozenset[str], member: str, now: float
    ) -> bool:
        """Return whether ``member`` may join the partition's group.

        ``members`` are the group's present members.  If not, the caller calls
        ``note_members``.
        """
        watch = self._watches[partition]
        if members <= {member}:
            return watch.vacant_at is not None
        last_heard = max(other.heard_at for other in self._watches.values())
        return (
            now - watch.heard_at > ABANDONED_AFTER_SECONDS
            and now - last_heard < SILENT_AFTER_SECONDS
        )

    def note_members(
        self, partition: int, members: frozenset[str], member: str, now: float
    ) -> None:
        """Take note of the members of a group that ``member`` may not join."""
        if members <= {member}:
            self._watches[partition].vacant_at = now
        else:
            self.note_taken(partition, now)

    def note_taken(self, partition: int, now: float) -> None:
        """Take note that the partition is not vacant after all."""
        self._watches[partition].note_taken(now)

    def _find_due_time(self, bidder: Bidder, partition: int) -> float:
        watch = self._watches[partition]
        if watch.has_successor(bidder.member):
            return watch.check_after
        delay = self._policy.choose_delay(
            bidder, partition, self._find_most_cores()
        )
        if watch.status is None:
            delay *= NEW_PARTITION_PATIENCE
        return max(
            watch.find_due_time(delay), self._excluded_until.get(partition, 0)
        )

    def _find_most_cores(self) -> float:
        return max(
            (
                watch.status.processor_cores
                for watch in self._watches.values()
                if watch.status is not None
            ),
            default=DEFAULT_CORES,
        )
