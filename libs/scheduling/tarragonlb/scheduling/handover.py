"""Moves a partition from an owner that is too small to a stronger idle daemon.

An owner whose event loop stays behind says so in its status.  A daemon that
owns nothing and has clearly more capacity offers to take over one of its
partitions, the strongest one first, as with bids.  The owner then releases the
partition in favour of that daemon.  An owner keeps a new partition for a while,
so ownership can't change in quick succession.
"""

from collections.abc import Iterable, Mapping

from tarragonlb.scheduling.ownership import Bidder, BidPolicy
from tarragonlb.scheduling.ownershiprecords import OwnerOffer, OwnerStatus

# The event loop of an overloaded daemon is behind for this share of the time.
OVERLOADED_LAG_SHARE = 0.25
IDLE_LAG_SHARE = 0.1
OVERLOADED_FOR_SECONDS = 3.0
# A partition moves only to a daemon that has this many times the capacity.
MIN_CAPACITY_RATIO = 1.5
MIN_TENURE_SECONDS = 20.0
# An offer that was not accepted is repeated after this.
OFFER_VALID_SECONDS = 4.0


class LagMeter:
    """The share of time for which the event loop was behind, smoothed.

    >>> meter = LagMeter(0.0)
    >>> for second in range(1, 9):
    ...     meter.note_total(second * 0.5, float(second))
    >>> round(meter.share, 2), meter.is_overloaded(8.0)
    (0.47, True)
    """

    __slots__ = ('_noted_at', '_overloaded_since', '_total', 'share')

    smoothing = 0.3

    def __init__(self, now: float) -> None:
        """Start without lag."""
        self.share = 0.0
        self._total = 0.0
        self._noted_at = now
        self._overloaded_since: float | None = None

    def note_total(self, total_seconds: float, now: float) -> None:
        """Take note of the total lag since the start of the process."""
        elapsed = now - self._noted_at
        if elapsed <= 0:
            return
        latest = min((total_seconds - self._total) / elapsed, 1)
        self.share += self.smoothing * (latest - self.share)
        self._total = total_seconds
        self._noted_at = now
        if self.share < OVERLOADED_LAG_SHARE:
            self._overloaded_since = None
        elif self._overloaded_since is None:
            self._overloaded_since = now

    def restart(self) -> None:
        """Forget the lag so far."""
        self.share = 0
        self._overloaded_since = None

    def is_overloaded(self, now: float) -> bool:
        """Return whether the lag has lasted for some seconds."""
        return (
            self._overloaded_since is not None
            and now - self._overloaded_since >= OVERLOADED_FOR_SECONDS
        )


class HandoverOffers:
    """The offers that a daemon makes, and those that it sees.

    ``now`` is in seconds of a monotonic clock.
    """

    __slots__ = ('_overloaded_since', '_policy', '_seen')

    def __init__(self, policy: BidPolicy) -> None:
        """Offer with the delays of ``policy``."""
        self._policy = policy
        # By partition: the owner's term, and since when it is overloaded.
        self._overloaded_since: dict[int, tuple[int, float]] = {}
        # By partition: the newest offer, and when it was first seen.
        self._seen: dict[int, tuple[OwnerOffer, float]] = {}

    def observe(
        self,
        statuses: Iterable[OwnerStatus],
        offers: Mapping[int, OwnerOffer],
        now: float,
    ) -> None:
        """Take note of the newest statuses and offers."""
        for status in statuses:
            since = self._overloaded_since.get(status.partition)
            if not _is_overloaded(status):
                self._overloaded_since.pop(status.partition, None)
            elif since is None or since[0] != status.term:
                self._overloaded_since[status.partition] = (status.term, now)
        for partition, offer in offers.items():
            seen = self._seen.get(partition)
            if seen is None or seen[0] != offer:
                self._seen[partition] = (offer, now)

    def choose_offer(
        self,
        bidder: Bidder,
        lag_share: float,
        statuses: Mapping[int, OwnerStatus],
        now: float,
    ) -> OwnerOffer | None:
        """Return an offer to make now, None if there is none.

        ``lag_share`` is that of the bidder.
        """
        if bidder.owned_partitions or lag_share > IDLE_LAG_SHARE:
            return None
        for partition, (term, since) in self._overloaded_since.items():
            status = statuses[partition]
            delay = self._policy.choose_delay(
                bidder, partition, bidder.processor_cores
            )
            if (
                now >= since + delay
                and self.find_offer(status, now) is None
                and _is_stronger(bidder, status)
            ):
                return OwnerOffer(
                    partition=partition,
                    member=bidder.member,
                    term=term,
                    number=status.number,
                )
        return None

    def find_offer(self, status: OwnerStatus, now: float) -> OwnerOffer | None:
        """Return a recent offer for a partition, in its present term."""
        seen = self._seen.get(status.partition)
        if seen is None or now - seen[1] > OFFER_VALID_SECONDS:
            return None
        return seen[0] if seen[0].term == status.term else None


def _is_overloaded(status: OwnerStatus) -> bool:
    return not status.is_released and status.lag_share >= OVERLOADED_LAG_SHARE


def _is_stronger(bidder: Bidder, status: OwnerStatus) -> bool:
    needed = MIN_CAPACITY_RATIO * status.processor_cores
    return bidder.processor_cores * max(status.owned_partitions, 1) >= needed
