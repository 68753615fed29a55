"""Records about members and the feature level; a member is one daemon process.

A member can't continue after a record of a kind that it doesn't know.  So each
member announces the highest feature level that it can fold, and records of a
kind that needs a level are written only after the stream was raised to it.
"""

from dataclasses import dataclass

from tarragonlb.model.record import Record


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberAnnounced(Record):
    """A member that has started or is still running, and its highest level."""

    member: str
    incarnation: str
    level: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRetired(Record):
    """A member that has been silent since its last announcement.

    The record is valid if that announcement is at offset ``announced``.
    """

    member: str
    announced: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LevelRaised(Record):
    """The feature level from this offset on; it never decreases."""

    expected_level: int
    level: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberEntry:
    """A member in the shared state.

    ``announced`` is the offset of its latest announcement.
    """

    member: str
    incarnation: str
    level: int
    announced: int
