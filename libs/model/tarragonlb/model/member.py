"""Records about members, the processes of the daemon, and their feature level.

A fold that meets a kind of record that it doesn't know can't go on.  So each
member announces the highest feature level that it can fold, and a kind of a
level is written only once the stream has been raised to it.
"""

from dataclasses import dataclass

from tarragonlb.model.record import Record


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberAnnounced(Record):
    """A member that runs, or still runs, and the level that it can fold."""

    member: str
    incarnation: str
    level: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberRetired(Record):
    """A member that has not been heard since its announcement.

    It is valid if the latest announcement stands at offset ``announced``.
    """

    member: str
    announced: int


@dataclass(frozen=True, slots=True, kw_only=True)
class LevelRaised(Record):
    """The feature level from here on; it never falls."""

    expected_level: int
    level: int


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberEntry:
    """A member in the shared state, with its latest announcement."""

    member: str
    incarnation: str
    level: int
    announced: int
