"""This process's place in the group that deals partitions.

A partition is held from the generation in which it was first listed; that
generation is the holder's term.  The place is good for one TTL after the last
successful call was sent, counted on the clock that includes suspension.
"""

from dataclasses import dataclass

from tarragonlb.controller.results import Assignment


@dataclass(frozen=True, slots=True)
class OwnedPartition:
    """A partition and the term in which this process holds it."""

    partition: int
    term: int


class Membership:
    """Folds the answers of the group into what is held."""

    __slots__ = (
        '_ended_terms',
        '_terms',
        '_ttl_seconds',
        'generation',
        'must_rejoin',
        'valid_until',
    )

    def __init__(self, ttl_seconds: float) -> None:
        """Begin outside the group."""
        self._ttl_seconds = ttl_seconds
        self._terms: dict[int, int] = {}
        self._ended_terms: dict[int, int] = {}
        # A term can't be held twice: its appends were numbered before.
        self.must_rejoin = False
        self.generation = 0
        self.valid_until = 0.0

    def apply_assignment(self, assignment: Assignment, sent_at: float) -> None:
        """Take over an answer to a call sent at ``sent_at``."""
        self.generation = assignment.generation
        self.valid_until = sent_at + self._ttl_seconds
        assigned = {
            partition: self._terms.get(partition, assignment.generation)
            for partition in assignment.partitions
        }
        self._terms = {
            partition: term
            for partition, term in assigned.items()
            if term > self._ended_terms.get(partition, -1)
        }
        self.must_rejoin = len(self._terms) < len(assigned)

    def end_term(self, owned: OwnedPartition) -> None:
        """Give up a term that a later owner has ended.

        The partition comes back with a later generation, if at all.  Where it
        is assigned again in the same one, this member has to leave the group and
        join anew.
        """
        self._ended_terms[owned.partition] = owned.term
        if self._terms.get(owned.partition) == owned.term:
            self._terms.pop(owned.partition)

    def is_valid(self, now: float) -> bool:
        """Return whether the place is good at ``now``, on the lease clock."""
        return now < self.valid_until

    def list_owned_partitions(self) -> frozenset[OwnedPartition]:
        """Return all partitions held, with their terms."""
        return frozenset(
            OwnedPartition(partition, term)
            for partition, term in self._terms.items()
        )
