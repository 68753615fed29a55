"""The search for a snapshot by a replica whose next records have expired.

The search reads the log from the oldest record that is kept.  It folds nothing
and only collects chunks.  The replica continues from the first snapshot that is
complete and intact, and folds the records after the snapshot's opening as
usual.  So each later snapshot verifies the state.
"""

from collections.abc import Sequence

from tarragonlb.journal.codec import decode_record
from tarragonlb.journal.log import LogEntry
from tarragonlb.journal.snapshot import (
    decompress_part,
    digest_parts,
    restore_state,
)
from tarragonlb.journal.state import State
from tarragonlb.model.errors import JournalError
from tarragonlb.model.record import Record
from tarragonlb.model.snapshot import SnapshotChunk, SnapshotClosed


class SnapshotSearch:
    """Searches for a snapshot; ``offset`` is the last one scanned."""

    __slots__ = ('_chunk_bodies', '_oldest', 'offset')

    def __init__(self, oldest: int) -> None:
        """Start at the oldest offset that can be read."""
        self.offset = oldest - 1
        self._oldest = oldest
        self._chunk_bodies: dict[str, dict[int, bytes]] = {}

    def scan(self, entries: Sequence[LogEntry]) -> State | None:
        """Return the state of the first intact snapshot that ends here."""
        for entry in entries:
            self.offset = entry.offset
            state = self._scan_record(entry.blob)
            if state:
                return state
        return None

    def _scan_record(self, blob: bytes) -> State | None:
        try:
            record = decode_record(blob)
        except JournalError:
            return None
        if isinstance(record, SnapshotChunk):
            bodies = self._chunk_bodies.setdefault(record.snapshot_id, {})
            bodies[record.index] = record.body
        return self._try_restore(record)

    def _try_restore(self, record: Record) -> State | None:
        if not isinstance(record, SnapshotClosed):
            return None
        bodies = self._chunk_bodies.pop(record.snapshot_id, {})
        if len(bodies) != record.chunks or record.opened + 1 < self._oldest:
            return None
        try:
            state = self._decode(record, bodies)
        except JournalError:
            return None
        found = (state.offset, state.digest)
        return state if found == (record.opened, record.digest) else None

    def _decode(
        self, record: SnapshotClosed, bodies: dict[int, bytes]
    ) -> State:
        parts = [decompress_part(bodies[index]) for index in sorted(bodies)]
        if digest_parts(parts) != record.content:
            raise JournalError('the snapshot does not match its content digest')
        return restore_state(parts)
