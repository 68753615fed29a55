"""Drives the replica of this process over the platform's log.

A commit returns only after its record was read back.  Records of concurrent
commits are appended to the log in one batch.  The logic is in
``tarragonlb.journal.replica``; this module does the input and output.
"""

import math
from collections.abc import Callable, Sequence
from typing import TypeAlias

import trio

from tarragonlb.daemon.clock import read_monotonic, read_wall
from tarragonlb.daemon.housekeeping import Housekeeping
from tarragonlb.journal.fold import RecordOutcome
from tarragonlb.journal.log import LogEntry, RecordLog
from tarragonlb.journal.outbox import PendingRecord
from tarragonlb.journal.replica import Replica
from tarragonlb.journal.state import State
from tarragonlb.model.errors import (
    CommitUnknownError,
    PlatformError,
    RecordRejectedError,
    RecordsExpiredError,
)
from tarragonlb.model.record import Head, Record
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.telemetry.log import Log
from tarragonlb.telemetry.supervision import supervise

BATCH_SECONDS = 0.01
LONG_POLL_SECONDS = 5
RETRY_SECONDS = 0.2
COMMIT_TIMEOUT_SECONDS = 5
CommitObserver: TypeAlias = Callable[[str, float], None]


class Journal:
    """The replica of this process and its connection to the log."""

    __slots__ = (
        '_changed',
        '_emit',
        '_log',
        '_submitted',
        '_waiters',
        'head_factory',
        'last_read',
        'observe_commit',
        'replica',
    )

    def __init__(self, log: RecordLog, head_factory: HeadFactory) -> None:
        """Create a journal with an empty state."""
        self.replica = Replica()
        self.last_read = -math.inf
        self.observe_commit: CommitObserver = _ignore_commit
        self._log = log
        self.head_factory = head_factory
        self._emit = Log('journal').emit
        self._waiters: dict[str, trio.Event] = {}
        self._changed = trio.Event()
        self._submitted = trio.Event()

    @property
    def state(self) -> State:
        """Return the shared state, always the same object."""
        return self.replica.state

    async def run(self) -> None:
        """Read from and append to the log until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(supervise, 'log reader', self._read_log)
            nursery.start_soon(supervise, 'log writer', self._write_log)
            nursery.start_soon(
                supervise, 'housekeeping', Housekeeping(self).run
            )

    def make_head(self, author: str = '') -> Head:
        """Return the head of a new record based on the current state."""
        return self.head_factory.make_head(
            self.state.offset, read_wall(), author
        )

    async def commit(
        self, record: Record, timeout_seconds: float = COMMIT_TIMEOUT_SECONDS
    ) -> RecordOutcome:
        """Append a record and wait until it is read back.

        Raise ``RecordRejectedError`` if the record was rejected,
        ``CommitUnknownError`` if it was not read back in time, and
        ``JournalError`` if the journal has halted and nothing was sent.
        """
        started = read_monotonic()
        pending = self.replica.submit(record)
        settled = self._waiters.setdefault(pending.record_id, trio.Event())
        self._submitted.set()
        try:
            with trio.move_on_after(timeout_seconds):
                await settled.wait()
        finally:
            self._finish_commit(pending, started)
        return _get_outcome(pending)

    def adopt_peer_state(self, state: State) -> bool:
        """Install a peer's state; return whether it is shown from now on."""
        shown_before = self.replica.caught_up
        self._wake_committers(self.replica.install_peer_state(state))
        self._signal_change()
        return self.replica.caught_up and not shown_before

    def halt(self, reason: str) -> None:
        """Stop all reads, appends and decisions; keep the last state."""
        self.replica.halt(reason)
        self.last_read = -math.inf
        self._emit('The journal has halted.', reason=self.replica.halted)
        self._signal_change()

    async def wait_for_change(self) -> None:
        """Wait until the state may have changed."""
        await self._changed.wait()

    async def wait_until_caught_up(self) -> None:
        """Wait until the end of the log or a peer's state was reached."""
        while not self.replica.caught_up:
            await self._changed.wait()

    async def _read_log(self) -> None:
        wait_seconds = 0.0
        while not self.replica.halted:
            try:
                await self._read_batch(wait_seconds)
            except RecordsExpiredError as error:
                self._emit(
                    'Unread records expired, searching the log for a snapshot.'
                )
                self.replica.start_snapshot_search(error.oldest)
                wait_seconds = 0
            except PlatformError as error:
                self._emit('Reading the log failed.', error=str(error))
                await trio.sleep(RETRY_SECONDS)
            else:
                caught_up = self.replica.caught_up
                wait_seconds = LONG_POLL_SECONDS if caught_up else 0

    async def _read_batch(self, wait_seconds: float) -> None:
        after = self.replica.read_after
        entries = await self._log.read(after, wait_seconds)
        if self.replica.halted:
            return
        self._receive(entries)
        if self.replica.caught_up and not self.replica.searching:
            self.last_read = read_monotonic()
        if self.replica.halted:
            self.halt(self.replica.halted)
        self._signal_change()

    def _receive(self, entries: Sequence[LogEntry]) -> None:
        try:
            self._wake_committers(self.replica.receive_entries(entries))
        except Exception as error:
            # The state may hold a part of the entries only.
            self.halt(f'an entry could not be applied: {error!r}')
            raise

    def _signal_change(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _finish_commit(self, pending: PendingRecord, started: float) -> None:
        self._waiters.pop(pending.record_id)
        self.replica.outbox.discard(pending)
        seconds = read_monotonic() - started
        self.observe_commit(type(pending.record).__name__, seconds)

    def _wake_committers(self, settled: list[PendingRecord]) -> None:
        for pending in settled:
            event = self._waiters.get(pending.record_id)
            if event is not None:
                event.set()

    async def _write_log(self) -> None:
        while True:
            # First, for records that were waiting when an error occurred.
            await self._append_batches()
            await self._submitted.wait()
            self._submitted = trio.Event()
            await trio.sleep(BATCH_SECONDS)

    async def _append_batches(self) -> None:
        batch = self.replica.outbox.take_batch()
        while batch and not self.replica.halted:
            try:
                await self._log.append([pending.blob for pending in batch])
            except PlatformError as error:
                self._emit('Appending to the log failed.', error=repr(error))
                self.replica.outbox.requeue(batch)
                await trio.sleep(RETRY_SECONDS)
            batch = self.replica.outbox.take_batch()


def _ignore_commit(kind: str, seconds: float) -> None:
    """Ignore the duration of a commit."""


def _get_outcome(pending: PendingRecord) -> RecordOutcome:
    if pending.outcome is None:
        raise CommitUnknownError('the record was not read back in time')
    if pending.outcome.reason:
        raise RecordRejectedError(pending.outcome.reason)
    return pending.outcome
