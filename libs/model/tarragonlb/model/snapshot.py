"""Records of a snapshot: the whole shared state, kept in the stream itself.

Records expire, so a daemon that starts late can't fold them all.  A snapshot
is opened by a record, which fixes the offset that it is of; its chunks follow,
and the record that closes it carries two digests that every reader checks.
"""

from dataclasses import dataclass

from tarragonlb.model.record import Record


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotOpened(Record):
    """A snapshot of the state at the offset of this record.

    It is valid if the latest snapshot was opened at ``expected_opened``.
    """

    expected_opened: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotChunk(Record):
    """A part of a snapshot; ``body`` is compressed rows of CBOR."""

    snapshot_id: str
    opened: int
    index: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotClosed(Record):
    """The end of a snapshot.

    ``digest`` is that of the records up to ``opened``, ``content`` that of
    the rows of all chunks in their order.
    """

    snapshot_id: str
    opened: int
    chunks: int
    digest: bytes
    content: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotEntry:
    """The latest snapshot in the shared state; ``closed`` is 0 while open."""

    snapshot_id: str = ''
    opened: int = 0
    chunks: int = 0
    closed: int = 0
