"""What the stream of records says of itself."""

from dataclasses import dataclass, field

from tarragonlb.model.member import MemberEntry
from tarragonlb.model.snapshot import SnapshotEntry


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamEntry:
    """The latest snapshot, the feature level in force, and the members.

    The mapping of members is replaced whole, never changed.
    """

    snapshot: SnapshotEntry = SnapshotEntry()
    level: int = 1
    members: dict[str, MemberEntry] = field(default_factory=dict)
