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

from tarragonlb.journal.fold import Outcome, apply_blob
from tarragonlb.journal.log import LogEntry
from tarragonlb.journal.outbox import Outbox, Pending
from tarragonlb.journal.search import SnapshotSearch
from tarragonlb.journal.snapshot import Cut
from tarragonlb.journal.state import State
from tarragonlb.model.errors import InvariantError, JournalError
from tarragonlb.model.invariant import ensure
from tarragonlb.model.record import Record
from tarragonlb.model.snapshot import SnapshotClosed, SnapshotOpened


class Replica:
    """Owns the state of one process.

    ``halted`` is empty, or says why the replica has stopped for good: it met
    a record that it can't fold, or a state that differs from another one.  A
    halted replica shows its last state, reads nothing and writes nothing.
    ``caught_up`` turns true once the end of the log was reached: before that a
    process that was restarted would show an older state than it did before.
    """

    __slots__ = (
        '_search',
        'caught_up',
        'cut',
        'halted',
        'outbox',
        'state',
    )

    def __init__(self) -> None:
        """Start before the first record of the log."""
        self.state = State()
        self.outbox = Outbox()
        self.halted = ''
        self.caught_up = False
        self.cut: Cut | None = None
        self._search: SnapshotSearch | None = None

    @property
    def read_after(self) -> int:
        """Return the offset behind which the log is to be read."""
        return self._search.offset if self._search else self.state.offset

    @property
    def searching(self) -> bool:
        """Return whether the state waits for a snapshot."""
        return self._search is not None

    def submit(self, record: Record) -> Pending:
        """Queue a record of this process.

        Raises ``JournalError`` if the replica has halted.
        """
        if self.halted:
            raise JournalError(self.halted)
        return self.outbox.submit(record)

    def take(self, entries: Sequence[LogEntry]) -> list[Pending]:
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

    def expire(self, oldest: int) -> None:
        """Search for a snapshot, as the next records are no longer kept."""
        self._search = SnapshotSearch(oldest)

    def adopt(self, state: State) -> list[Pending]:
        """Go on from a later state; return what can no longer be settled."""
        self.state.adopt(state)
        self._search = None
        at_cut = state.snapshot.opened == state.offset
        self.cut = Cut(self.state) if at_cut else None
        return self.outbox.settle_skipped(self.state.seen)

    def _look(self, entries: Sequence[LogEntry]) -> list[Pending]:
        ensure(self._search is not None, 'a search is on')
        found = self._search.look(entries) if self._search else None
        if found is None or found.offset < self.state.offset:
            return []
        return self.adopt(found)

    def _fold(self, entry: LogEntry) -> Pending | None:
        if entry.offset <= self.state.offset:
            return None
        try:
            outcome = apply_blob(self.state, entry.offset, entry.blob)
            self._follow_snapshot(outcome)
        except (JournalError, InvariantError) as error:
            self.halted = f'stopped at offset {entry.offset}: {error}'
            return None
        return self.outbox.settle(outcome)

    def _follow_snapshot(self, outcome: Outcome) -> None:
        if not outcome.accepted:
            return
        if isinstance(outcome.entry, SnapshotOpened):
            self.cut = Cut(self.state)
        elif isinstance(outcome.entry, SnapshotClosed):
            self._compare(outcome.entry)
            self.cut = None

    def _compare(self, closed: SnapshotClosed) -> None:
        cut = self.cut
        if cut is None or cut.opened != closed.opened:
            return
        ensure(
            cut.digest == closed.digest,
            'the same records were folded',
            closed.opened,
        )
        ensure(
            cut.read_content() == closed.content,
            'the same records make the same state',
            closed.opened,
        )
