"""The search for a snapshot, for a reader whose next records have expired.

The search reads on from the oldest record that is kept, folds nothing, and
collects chunks.  The first snapshot that it finds complete and undamaged is
the start of the fold; the records behind it are then folded as usual, so that
each later snapshot checks the state on the way.
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
    """Looks for a snapshot behind ``offset``, the last one looked at."""

    __slots__ = ('_bodies', '_oldest', 'offset')

    def __init__(self, oldest: int) -> None:
        """Start at the oldest offset that can be read."""
        self.offset = oldest - 1
        self._oldest = oldest
        self._bodies: dict[str, dict[int, bytes]] = {}

    def look(self, entries: Sequence[LogEntry]) -> State | None:
        """Return the state of a snapshot that ends in these records."""
        for entry in entries:
            self.offset = entry.offset
            state = self._look_at(entry.blob)
            if state:
                return state
        return None

    def _look_at(self, blob: bytes) -> State | None:
        try:
            record = decode_record(blob)
        except JournalError:
            return None
        if isinstance(record, SnapshotChunk):
            bodies = self._bodies.setdefault(record.snapshot_id, {})
            bodies[record.index] = record.body
        return self._restore(record)

    def _restore(self, record: Record) -> State | None:
        if not isinstance(record, SnapshotClosed):
            return None
        bodies = self._bodies.pop(record.snapshot_id, {})
        if len(bodies) != record.chunks or record.opened + 1 < self._oldest:
            return None
        try:
            state = self._read(record, bodies)
        except JournalError:
            return None
        found = (state.offset, state.digest)
        return state if found == (record.opened, record.digest) else None

    def _read(self, record: SnapshotClosed, bodies: dict[int, bytes]) -> State:
        parts = [decompress_part(bodies[index]) for index in sorted(bodies)]
        if digest_parts(parts) != record.content:
            raise JournalError('the content of the snapshot is damaged')
        return restore_state(parts)
