"""Records of a snapshot: the whole shared state, stored in the log itself.

Records expire, so a daemon that starts late can't fold them all.  A snapshot
is opened by a record, whose offset is that of the snapshotted state.  The
chunks follow, and the record that closes the snapshot has two digests that
every reader checks.
"""

from dataclasses import dataclass

from tarragonlb.model.record import Record


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotOpened(Record):
    """The start of a snapshot of the state at the offset of this record.

    The record is valid if the latest snapshot was opened at the offset
    ``expected_opened``.
    """

    expected_opened: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChunk(Record):
    """A part of a snapshot; ``body`` holds rows in CBOR, compressed."""

    snapshot_id: str
    opened: int
    index: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotClosed(Record):
    """The end of a snapshot.

    ``digest`` is the digest of the records up to ``opened``, ``content`` that
    of the rows of all chunks in order.  ``shape`` differs between versions of
    the daemon that write different rows after the same records.
    """

    snapshot_id: str
    opened: int
    chunks: int
    digest: bytes
    content: bytes
    shape: str


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotEntry:
    """The latest snapshot; ``closed`` is 0 while it is open."""

    snapshot_id: str = ''
    opened: int = 0
    chunks: int = 0
    closed: int = 0
