"""A replica of the shared state: what was read, and what is to be appended.

It does no input or output.  Whoever drives it reads the log behind
``read_after`` and hands over what came back, asks for batches and appends
them, and says what became of each append.  The daemon drives it over HTTP, the
randomised tests over a log in memory.

>>> replica = Replica()
>>> replica.read_after
0
"""

from collections.abc import Sequence

from tarragonlb.journal.fold import CURRENT, RecordOutcome, apply_blob
from tarragonlb.journal.log import LogEntry
from tarragonlb.journal.outbox import Outbox, PendingRecord
from tarragonlb.journal.search import SnapshotSearch
from tarragonlb.journal.snapshot import SnapshotEncoder, find_shape
from tarragonlb.journal.state import State
from tarragonlb.journal.version import Version
from tarragonlb.model.errors import InvariantError, JournalError
from tarragonlb.model.invariant import ensure
from tarragonlb.model.record import Record
from tarragonlb.model.snapshot import SnapshotClosed, SnapshotOpened

DIGEST_WINDOW_RECORDS = 1024


class Replica:
    """Owns the state of one process.

    ``halted`` is empty, or says why the replica has stopped for good: it met
    a record that it can't fold, or a state that differs from another one.  A
    halted replica shows its last state, reads nothing and writes nothing.
    ``caught_up`` turns true once the end of the log was reached: before that a
    process that was restarted would show an older state than it did before.
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

    def __init__(self, version: Version = CURRENT) -> None:
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
        """Return the offset behind which the log is to be read."""
        return self._search.offset if self._search else self.state.offset

    @property
    def searching(self) -> bool:
        """Return whether the state waits for a snapshot."""
        return self._search is not None

    def submit(self, record: Record) -> PendingRecord:
        """Queue a record of this process.

        Raises ``JournalError`` if the replica has halted, or if the level in
        force does not allow records of this kind yet.
        """
        if self.halted:
            raise JournalError(self.halted)
        needed = self.version.find_level(type(record))
        if needed > self.state.stream.level:
            raise JournalError(
                f'{type(record).__name__} needs feature level {needed}, '
                f'level {self.state.stream.level} is in force'
            )
        return self.outbox.submit(record)

    def receive_entries(
        self, entries: Sequence[LogEntry]
    ) -> list[PendingRecord]:
        """Fold records; return those of this process that are settled.

        Records behind the offset of the state were read twice and are left
        out.  Nothing is folded once the replica has halted.  No entries say
        that the end of the log was reached.
        """
        if self._search:
            return self._look(entries)
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
        """Search for a snapshot, as the next records are no longer kept."""
        self._search = SnapshotSearch(oldest)

    def halt(self, reason: str) -> None:
        """Stop for good; the first reason stays."""
        self.halted = self.halted or reason

    def find_digest(self, offset: int) -> bytes | None:
        """Return the digest at an offset, None if it is not remembered."""
        if offset == self.state.offset:
            return self.state.digest
        return self._digests.get(offset)

    def install_peer_state(self, state: State) -> list[PendingRecord]:
        """Show the state of a peer, as the log can't be read.

        The state is left as it is if it is later than that of the peer, or if
        the end of the log was reached meanwhile.
        """
        if self.caught_up or state.offset < self.state.offset:
            return []
        settled = self.install_state(state)
        self.caught_up = True
        return settled

    def install_state(self, state: State) -> list[PendingRecord]:
        """Go on from a later state; return what can no longer be settled."""
        self.state.copy_from(state)
        self._search = None
        self._check_level()
        at_cut = state.stream.snapshot.opened == state.offset
        self.snapshot_encoder = SnapshotEncoder(self.state) if at_cut else None
        return self.outbox.settle_skipped(self.state.seen)

    def _look(self, entries: Sequence[LogEntry]) -> list[PendingRecord]:
        ensure(self._search is not None, 'a search is on')
        found = self._search.look(entries) if self._search else None
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
            self._follow_snapshot(outcome)
            self._check_level()
        except (JournalError, InvariantError) as error:
            self.halted = f'stopped at offset {entry.offset}: {error}'
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
                f'this version can fold level {self.version.level}'
            )

    def _follow_snapshot(self, outcome: RecordOutcome) -> None:
        if not outcome.accepted:
            return
        if isinstance(outcome.entry, SnapshotOpened):
            self.snapshot_encoder = SnapshotEncoder(self.state)
        elif isinstance(outcome.entry, SnapshotClosed):
            self._compare(outcome.entry)
            self.snapshot_encoder = None

    def _compare(self, closed: SnapshotClosed) -> None:
        encoder = self.snapshot_encoder
        if encoder is None or encoder.opened != closed.opened:
            return
        ensure(
            encoder.digest == closed.digest,
            'the same records were folded',
            closed.opened,
        )
        if closed.shape != find_shape():
            return
        ensure(
            encoder.digest_content() == closed.content,
            'the same records make the same state',
            closed.opened,
        )
