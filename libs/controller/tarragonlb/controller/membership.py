"""This process's membership in the group that assigns partitions to owners.

The generation in which a partition is first assigned to this process is its
term as the owner.  The membership is valid for one TTL after the last
successful join was sent, on the boot-time clock, which includes time spent
suspended.
"""

from dataclasses import dataclass

from tarragonlb.controller.results import Assignment


@dataclass(frozen=True, slots=True)
class OwnedPartition:
    """A partition and the term in which this process owns it."""

    partition: int
    term: int


class Membership:
    """Derives the owned partitions and their terms from assignments."""

    __slots__ = (
        '_ended_terms',
        '_terms',
        '_ttl_seconds',
        'generation',
        'must_rejoin',
        'valid_until',
    )

    def __init__(self, ttl_seconds: float) -> None:
        """Start outside the group and without partitions."""
        self._ttl_seconds = ttl_seconds
        self._terms: dict[int, int] = {}
        self._ended_terms: dict[int, int] = {}
        # A term can't be resumed, since its append numbers were already used.
        self.must_rejoin = False
        self.generation = 0
        self.valid_until = 0.0

    def apply_assignment(self, assignment: Assignment, sent_at: float) -> None:
        """Apply the assignment returned by a join sent at ``sent_at``."""
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

        The partition can be owned again only in a later generation.  If it is
        assigned in the same one, this member must leave the group and rejoin.
        """
        self._ended_terms[owned.partition] = owned.term
        if self._terms.get(owned.partition) == owned.term:
            self._terms.pop(owned.partition)

    def is_valid(self, now: float) -> bool:
        """Return whether the membership is valid at boot time ``now``."""
        return now < self.valid_until

    def list_owned_partitions(self) -> frozenset[OwnedPartition]:
        """Return all owned partitions with their terms."""
        return frozenset(
            OwnedPartition(partition, term)
            for partition, term in self._terms.items()
        )
