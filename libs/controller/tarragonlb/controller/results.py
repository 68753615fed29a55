"""What is known of a call to the platform's store.

A call was done, was surely not done, or may have been done: the three are
types of their own, so that no caller can mix them up.
"""

from dataclasses import dataclass

from tarragonlb.scheduling.records import KeyedRecord


@dataclass(frozen=True, slots=True)
class Stored:
    """The records lie in the store, the first of them at ``first``."""

    first: int


@dataclass(frozen=True, slots=True)
class NotDone:
    """The call had no effect and will have none."""

    reason: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The call may have had its effect, or may have it later."""

    reason: str


@dataclass(frozen=True, slots=True)
class Fenced:
    """A later owner has written to the partition, so this one may not."""

    reason: str


AppendResult = Stored | NotDone | Uncertain | Fenced


@dataclass(frozen=True, slots=True)
class Batch:
    """Records of a partition; ``next_offset`` is where to read on.

    ``end`` is the offset after the last record of the partition.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The records asked for are no longer kept."""

    first: int


ReadResult = Batch | Trimmed | NotDone


@dataclass(frozen=True, slots=True)
class Assignment:
    """A member's place in the group, and the partitions dealt to it."""

    generation: int
    partitions: frozenset[int]


JoinResult = Assignment | NotDone
