"""This process's place in the group that deals partitions.

A partition is held from the generation in which it was first listed; that
generation is the holder's term.  The place is good for one TTL after the last
successful call was sent, counted on the clock that includes suspension.
"""

from dataclasses import dataclass

from tarragonlb.controller.results import Seat


@dataclass(frozen=True, slots=True)
class Holding:
    """A partition and the term in which this process holds it."""

    partition: int
    term: int


class Membership:
    """Folds the answers of the group into what is held."""

    __slots__ = (
        '_ended',
        '_terms',
        '_ttl_seconds',
        'generation',
        'must_leave',
        'valid_until',
    )

    def __init__(self, ttl_seconds: float) -> None:
        """Begin outside the group."""
        self._ttl_seconds = ttl_seconds
        self._terms: dict[int, int] = {}
        self._ended: dict[int, int] = {}
        # A term can't be held twice: its appends were numbered before.
        self.must_leave = False
        self.generation = 0
        self.valid_until = 0.0

    def take_seat(self, seat: Seat, sent_at: float) -> None:
        """Take over an answer to a call sent at ``sent_at``."""
        self.generation = seat.generation
        self.valid_until = sent_at + self._ttl_seconds
        dealt = {
            partition: self._terms.get(partition, seat.generation)
            for partition in seat.partitions
        }
        self._terms = {
            partition: term
            for partition, term in dealt.items()
            if term > self._ended.get(partition, -1)
        }
        self.must_leave = len(self._terms) < len(dealt)

    def depose(self, holding: Holding) -> None:
        """Give up a term that a later owner has ended.

        The partition comes back with a later generation, if at all.  Where it
        is dealt again in the same one, this member has to leave the group and
        join anew.
        """
        self._ended[holding.partition] = holding.term
        if self._terms.get(holding.partition) == holding.term:
            self._terms.pop(holding.partition)

    def is_valid(self, now: float) -> bool:
        """Return whether the place is good at ``now``, on the lease clock."""
        return now < self.valid_until

    def list_holdings(self) -> frozenset[Holding]:
        """Return all partitions held, with their terms."""
        return frozenset(
            Holding(partition, term) for partition, term in self._terms.items()
        )
