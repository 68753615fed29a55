"""Results of calls to the platform's store.

A call was carried out, was certainly not carried out, or may have been: the
three cases are separate types, so that callers can't confuse them.
"""

from dataclasses import dataclass

from tarragonlb.scheduling.records import KeyedRecord


@dataclass(frozen=True, slots=True)
class Stored:
    """The records are stored, the first of them at offset ``first``."""

    first: int


@dataclass(frozen=True, slots=True)
class NotDone:
    """The call had no effect and will have none."""

    reason: str


@dataclass(frozen=True, slots=True)
class Uncertain:
    """The call may have taken effect, or may still do so."""

    reason: str


@dataclass(frozen=True, slots=True)
class Fenced:
    """A later owner has fenced this one off from the partition."""

    reason: str


AppendResult = Stored | NotDone | Uncertain | Fenced


@dataclass(frozen=True, slots=True)
class Batch:
    """Records of a partition.

    ``next_offset`` is the offset to continue reading at, ``end`` the one after
    the partition's last record.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int


@dataclass(frozen=True, slots=True)
class Trimmed:
    """The requested records have expired; ``first`` is the oldest offset."""

    first: int


ReadResult = Batch | Trimmed | NotDone


@dataclass(frozen=True, slots=True)
class Assignment:
    """The group's generation and the partitions assigned to a member."""

    generation: int
    partitions: frozenset[int]


JoinResult = Assignment | NotDone
