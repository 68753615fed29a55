"""Says when a snapshot is due, and makes its records.

Every daemon watches; whoever is first to open a snapshot writes it.  Each one
waits a while of its own once a snapshot is due, so that most of them see the
record of another and write nothing.  A snapshot whose writer has died is given
up by whoever opens the next one.
"""

from collections.abc import Callable, Iterator

from tarragonlb.journal.replica import Replica
from tarragonlb.journal.snapshot import compress_part, find_shape
from tarragonlb.journal.spread import choose_wait
from tarragonlb.model.record import Head, Record
from tarragonlb.model.snapshot import (
    SnapshotChunk,
    SnapshotClosed,
    SnapshotEntry,
    SnapshotOpened,
)

STALLED_SECONDS = 60


class Snapshotter:
    """Watches the snapshots of one replica for the process ``member``."""

    __slots__ = ('_due_since', '_latest', '_member', '_seen_at')

    def __init__(self, member: str) -> None:
        """Start without having seen a snapshot."""
        self._member = member
        self._latest = SnapshotEntry()
        self._seen_at = float('-inf')
        self._due_since: float | None = None

    def plan(
        self, replica: Replica, now: float, sign: Callable[[], Head]
    ) -> SnapshotOpened | None:
        """Return the record that opens a snapshot, if this member should.

        ``now`` is in seconds of the monotonic clock.
        """
        latest = replica.state.stream.snapshot
        if latest != self._latest or self._seen_at == float('-inf'):
            self._latest = latest
            self._seen_at = now
        if not self._is_due(replica, now):
            self._due_since = None
            return None
        if self._due_since is None:
            self._due_since = now
        if now < self._due_since + choose_wait(self._member):
            return None
        return SnapshotOpened(head=sign(), expected_opened=latest.opened)

    def _is_due(self, replica: Replica, now: float) -> bool:
        if replica.searching or replica.halted:
            return False
        idle_seconds = now - self._seen_at
        if self._latest.opened and not self._latest.closed:
            return idle_seconds >= STALLED_SECONDS
        records = replica.state.offset - self._latest.opened
        pace = replica.state.fleet.snapshot
        return records >= pace.records or idle_seconds >= pace.seconds


def make_snapshot_records(
    replica: Replica, opened: SnapshotOpened, sign: Callable[[], Head]
) -> Iterator[Record]:
    """Yield the chunks of a snapshot that was opened, and its end.

    It ends early if another snapshot was opened meanwhile.
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
            head=sign(),
            snapshot_id=snapshot_id,
            opened=encoder.opened,
            index=index,
            body=compress_part(part),
        )
        index += 1
        part = encoder.encode_next_part()
    yield SnapshotClosed(
        head=sign(),
        snapshot_id=snapshot_id,
        opened=encoder.opened,
        chunks=index,
        digest=encoder.digest,
        content=encoder.digest_content(),
        shape=find_shape(),
    )
