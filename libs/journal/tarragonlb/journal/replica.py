"""A replica of the shared state, with the records waiting to be appended.

It does no input or output.  Its driver reads the log after ``read_after`` and
passes the entries to the replica.  It also takes batches from the outbox,
appends them to the log, and puts back those whose append failed.  The daemon
drives the replica over HTTP, the randomised tests over a log in memory.

>>> replica = Replica()
>>> replica.read_after
0
"""

from collections.abc import Sequence

from tarragonlb.journal.fold import CURRENT_VERSION, RecordOutcome, apply_blob
from tarragonlb.journal.log import LogEntry
from tarragonlb.journal.outbox import Outbox, PendingRecord
from tarragonlb.journal.snapshot import SnapshotEncoder, compute_schema_digest
from tarragonlb.journal.snapshotsearch import SnapshotSearch
from tarragonlb.journal.state import State
from tarragonlb.journal.version import Version
from tarragonlb.model.errors import InvariantError, JournalError
from tarragonlb.model.invariant import ensure
from tarragonlb.model.record import Record
from tarragonlb.model.snapshot import SnapshotClosed, SnapshotOpened

DIGEST_WINDOW_RECORDS = 1024


class Replica:
    """Owns the state of one process.

    ``halted`` is empty, or the reason why the replica has stopped permanently:
    it got a record that it can't fold, or its state differs from another one.
    A halted replica keeps its last state, and neither reads nor writes.
    ``caught_up`` becomes true when the end of the log has been reached.  Before
    that, a restarted process would show an older state than before its restart.
    """

    __slots__ = (
        '_digests',
        '_search',
        'caught_up',
        'halted',
        'outbox',
        'snapshot_encoder',
        'state',
        'version',
    )

    def __init__(self, version: Version = CURRENT_VERSION) -> None:
        """Start before the first record of the log."""
        self.version = version
        self.state = State()
        self.outbox = Outbox()
        self.halted = ''
        self.caught_up = False
        self.snapshot_encoder: SnapshotEncoder | None = None
        self._search: SnapshotSearch | None = None
        self._digests: dict[int, bytes] = {}

    @property
    def read_after(self) -> int:
        """Return the offset after which to read the log."""
        return self._search.offset if self._search else self.state.offset

    @property
    def searching(self) -> bool:
        """Return whether a search for a snapshot is in progress."""
        return self._search is not None

    def submit(self, record: Record) -> PendingRecord:
        """Queue a record of this process.

        Raises ``JournalError`` if the replica has halted, or if the feature
        level in force does not allow records of this kind yet.
        """
        if self.halted:
            raise JournalError(self.halted)
        needed = self.version.get_required_level(type(record))
        if needed > self.state.stream.level:
            raise JournalError(
                f'{type(record).__name__} needs feature level {needed}, '
                f'level {self.state.stream.level} is in force'
            )
        return self.outbox.submit(record)

    def receive_entries(
        self, entries: Sequence[LogEntry]
    ) -> list[PendingRecord]:
        """Fold log entries; return the pending records that are settled.

        Entries up to the offset of the state were read twice and are skipped.
        Nothing is folded after the replica has halted.  An empty ``entries``
        means that the end of the log has been reached.
        """
        if self._search:
            return self._continue_search(entries)
        self.caught_up = self.caught_up or not entries
        settled = []
        for entry in entries:
            if self.halted:
                break
            pending = self._fold(entry)
            if pending:
                settled.append(pending)
        return settled

    def start_snapshot_search(self, oldest: int) -> None:
        """Search for a snapshot, as the next records have expired."""
        self._search = SnapshotSearch(oldest)

    def halt(self, reason: str) -> None:
        """Stop permanently; a reason that is set already is kept."""
        self.halted = self.halted or reason

    def find_digest(self, offset: int) -> bytes | None:
        """Return the digest at an offset, or None if it is not stored."""
        if offset == self.state.offset:
            return self.state.digest
        return self._digests.get(offset)

    def install_peer_state(self, state: State) -> list[PendingRecord]:
        """Install the state of a peer, as the log can't be read.

        The own state is kept if it is later than that of the peer, or if the
        end of the log has been reached meanwhile.  Return the pending records
        that are settled.
        """
        if self.caught_up or state.offset < self.state.offset:
            return []
        settled = self.install_state(state)
        self.caught_up = True
        return settled

    def install_state(self, state: State) -> list[PendingRecord]:
        """Continue from a later state.

        Return the pending records that this state includes; their outcome
        stays unknown.
        """
        self.state.copy_from(state)
        self._search = None
        self._check_level()
        at_opened_snapshot = state.stream.snapshot.opened == state.offset
        self.snapshot_encoder = (
            SnapshotEncoder(self.state) if at_opened_snapshot else None
        )
        return self.outbox.settle_skipped(self.state.seen)

    def _continue_search(
        self, entries: Sequence[LogEntry]
    ) -> list[PendingRecord]:
        ensure(self._search is not None, 'a search is in progress')
        found = self._search.scan(entries) if self._search else None
        if found is None or found.offset < self.state.offset:
            return []
        return self.install_state(found)

    def _fold(self, entry: LogEntry) -> PendingRecord | None:
        if entry.offset <= self.state.offset:
            return None
        try:
            outcome = apply_blob(
                self.state, entry.offset, entry.blob, self.version
            )
            self._remember_digest()
            self._track_snapshot(outcome)
            self._check_level()
        except (JournalError, InvariantError) as error:
            self.halted = f'halted at offset {entry.offset}: {error}'
            return None
        return self.outbox.settle(outcome)

    def _remember_digest(self) -> None:
        offset = self.state.offset
        self._digests[offset] = self.state.digest
        self._digests.pop(offset - DIGEST_WINDOW_RECORDS, None)

    def _check_level(self) -> None:
        level = self.state.stream.level
        if level > self.version.level:
            self.halted = (
                f'feature level {level} is in force, '
                f'this version can only fold level {self.version.level}'
            )

    def _track_snapshot(self, outcome: RecordOutcome) -> None:
        if not outcome.accepted:
            return
        if isinstance(outcome.record, SnapshotOpened):
            self.snapshot_encoder = SnapshotEncoder(self.state)
        elif isinstance(outcome.record, SnapshotClosed):
            self._verify_snapshot(outcome.record)
            self.snapshot_encoder = None

    def _verify_snapshot(self, closed: SnapshotClosed) -> None:
        encoder = self.snapshot_encoder
        if encoder is None or encoder.opened != closed.opened:
            return
        ensure(
            encoder.digest == closed.digest,
            'the digests of the folded records are equal',
            closed.opened,
        )
        if closed.shape != compute_schema_digest():
            return
        ensure(
            encoder.digest_content() == closed.content,
            'the same records give the same state',
            closed.opened,
        )
