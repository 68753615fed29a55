"""Decides when a snapshot is due, and creates its records.

All daemons check this, and the first one to open a snapshot writes it.  When a
snapshot is due, each daemon waits for a delay of its own, so that most of them
see the record of another daemon and write nothing.  A snapshot whose writer has
died is abandoned when another daemon opens the next one.
"""

from collections.abc import Callable, Iterator

from tarragonlb.journal.replica import Replica
from tarragonlb.journal.snapshot import compress_part, compute_schema_digest
from tarragonlb.journal.stagger import choose_delay
from tarragonlb.model.record import Head, Record
from tarragonlb.model.snapshot import (
    SnapshotChunk,
    SnapshotClosed,
    SnapshotEntry,
    SnapshotOpened,
)

STALLED_SECONDS = 60


class Snapshotter:
    """Tracks the snapshots of a replica on behalf of the process ``member``."""

    __slots__ = ('_changed_at', '_due_since', '_latest', '_member')

    def __init__(self, member: str) -> None:
        """Start without any snapshot seen."""
        self._member = member
        self._latest = SnapshotEntry()
        self._changed_at = float('-inf')
        self._due_since: float | None = None

    def plan(
        self, replica: Replica, now: float, make_head: Callable[[], Head]
    ) -> SnapshotOpened | None:
        """Return the record that opens a snapshot, if this member should.

        ``now`` is in seconds of the monotonic clock.
        """
        latest = replica.state.stream.snapshot
        if latest != self._latest or self._changed_at == float('-inf'):
            self._latest = latest
            self._changed_at = now
        if not self._is_due(replica, now):
            self._due_since = None
            return None
        if self._due_since is None:
            self._due_since = now
        if now < self._due_since + choose_delay(self._member):
            return None
        return SnapshotOpened(head=make_head(), expected_opened=latest.opened)

    def _is_due(self, replica: Replica, now: float) -> bool:
        if replica.searching or replica.halted:
            return False
        idle_seconds = now - self._changed_at
        if self._latest.opened and not self._latest.closed:
            return idle_seconds >= STALLED_SECONDS
        records = replica.state.offset - self._latest.opened
        limits = replica.state.fleet.snapshot
        return records >= limits.records or idle_seconds >= limits.seconds


def make_snapshot_records(
    replica: Replica, opened: SnapshotOpened, make_head: Callable[[], Head]
) -> Iterator[Record]:
    """Yield the chunks of a snapshot that was opened, and its end.

    Stop early if another snapshot was opened meanwhile.
    """
    encoder = replica.snapshot_encoder
    snapshot_id = opened.head.record_id
    if (
        encoder is None
        or replica.state.stream.snapshot.snapshot_id != snapshot_id
    ):
        return
    index = 0
    part = encoder.encode_next_part()
    while part is not None:
        yield SnapshotChunk(
            head=make_head(),
            snapshot_id=snapshot_id,
            opened=encoder.opened,
            index=index,
            body=compress_part(part),
        )
        index += 1
        part = encoder.encode_next_part()
    yield SnapshotClosed(
        head=make_head(),
        snapshot_id=snapshot_id,
        opened=encoder.opened,
        chunks=index,
        digest=encoder.digest,
        content=encoder.digest_content(),
        shape=compute_schema_digest(),
    )
