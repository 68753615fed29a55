"""The part of the shared state that is about the stream of records."""

from dataclasses import dataclass, field

from tarragonlb.model.member import MemberEntry
from tarragonlb.model.snapshot import SnapshotEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEntry:
    """The latest snapshot, the feature level in force, and the members.

    The mapping of members is never modified, only replaced as a whole.
    """

    snapshot: SnapshotEntry = SnapshotEntry()
    level: int = 1
    members: dict[str, MemberEntry] = field(default_factory=dict)
