"""The journal of a process: it drives the replica over the platform's log.

A commit ends when its record was read back, never before.  Records of many
callers go to the log in one append.  What to append and what was read is
decided in ``tarragonlb.journal.replica``; here are the calls and the waiting.
"""

import math
from collections.abc import Callable
from typing import TypeAlias

import trio

from tarragonlb.daemon.clock import read_monotonic, read_wall
from tarragonlb.daemon.upkeep import Upkeep
from tarragonlb.journal.fold import RecordOutcome
from tarragonlb.journal.log import RecordLog
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

BATCH_SECONDS = 0.01
POLL_SECONDS = 5
RETRY_SECONDS = 0.2
COMMIT_TIMEOUT_SECONDS = 5
ObserveCommit: TypeAlias = Callable[[str, float], None]


class Journal:
    """Owns the replica of this process and the connection to the log."""

    __slots__ = (
        '_changed',
        '_log',
        '_say',
        '_submitted',
        '_waiting',
        'head_factory',
        'last_read',
        'observe_commit',
        'replica',
    )

    def __init__(self, log: RecordLog, head_factory: HeadFactory) -> None:
        """Start with an empty state."""
        self.replica = Replica()
        self.last_read = -math.inf
        self.observe_commit: ObserveCommit = _observe_nothing
        self._log = log
        self.head_factory = head_factory
        self._say = Log('journal').say
        self._waiting: dict[str, trio.Event] = {}
        self._changed = trio.Event()
        self._submitted = trio.Event()

    @property
    def state(self) -> State:
        """Return the shared state; it is the same object at all times."""
        return self.replica.state

    async def run(self) -> None:
        """Read and write until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_reading)
            nursery.start_soon(self._keep_writing)
            nursery.start_soon(Upkeep(self).run)

    def make_head(self, author: str = '') -> Head:
        """Return the head of a new record on the present state."""
        return self.head_factory.make_head(
            self.state.offset, read_wall(), author
        )

    async def commit(
        self, record: Record, timeout_seconds: float = COMMIT_TIMEOUT_SECONDS
    ) -> RecordOutcome:
        """Append a record and wait until it is read back.

        Raises ``RecordRejectedError`` if it did not count,
        ``CommitUnknownError`` if it was not read back in time, and
        ``JournalError`` if the journal has stopped and nothing was sent.
        """
        started = read_monotonic()
        pending = self.replica.submit(record)
        settled = self._waiting.setdefault(pending.record_id, trio.Event())
        self._submitted.set()
        try:
            with trio.move_on_after(timeout_seconds):
                await settled.wait()
        finally:
            self._conclude(pending, started)
        return _judge(pending)

    def adopt(self, state: State) -> bool:
        """Return whether the state of a peer is shown from now on."""
        shown_before = self.replica.caught_up
        self._announce(self.replica.install_peer_state(state))
        self._wake()
        return self.replica.caught_up and not shown_before

    def halt(self, reason: str) -> None:
        """Stop deciding for good; the last state stays in sight."""
        self.replica.halt(reason)
        self.last_read = -math.inf
        self._say('The journal has halted.', reason=self.replica.halted)
        self._wake()

    async def wait_for_change(self) -> None:
        """Wait until another record has been folded."""
        await self._changed.wait()

    async def wait_until_caught_up(self) -> None:
        """Wait until the end of the log was reached, or a peer's state."""
        while not self.replica.caught_up:
            await self._changed.wait()

    async def _keep_reading(self) -> None:
        wait_seconds = 0.0
        while not self.replica.halted:
            try:
                await self._read(wait_seconds)
            except RecordsExpiredError as error:
                self._say('Records have expired, a snapshot is searched.')
                self.replica.start_snapshot_search(error.oldest)
                wait_seconds = 0
            except PlatformError as error:
                self._say('The log can not be read.', error=str(error))
                await trio.sleep(RETRY_SECONDS)
            else:
                caught_up = self.replica.caught_up
                wait_seconds = POLL_SECONDS if caught_up else 0

    async def _read(self, wait_seconds: float) -> None:
        after = self.replica.read_after
        entries = await self._log.read(after, wait_seconds)
        if self.replica.halted:
            return
        self._announce(self.replica.receive_entries(entries))
        if self.replica.caught_up and not self.replica.searching:
            self.last_read = read_monotonic()
        if self.replica.halted:
            self.halt(self.replica.halted)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _conclude(self, pending: PendingRecord, started: float) -> None:
        self._waiting.pop(pending.record_id)
        self.replica.outbox.discard(pending)
        seconds = read_monotonic() - started
        self.observe_commit(type(pending.record).__name__, seconds)

    def _announce(self, settled: list[PendingRecord]) -> None:
        for pending in settled:
            waiting = self._waiting.get(pending.record_id)
            if waiting is not None:
                waiting.set()

    async def _keep_writing(self) -> None:
        while True:
            await self._submitted.wait()
            self._submitted = trio.Event()
            await trio.sleep(BATCH_SECONDS)
            await self._write_all()

    async def _write_all(self) -> None:
        batch = self.replica.outbox.take_batch()
        while batch and not self.replica.halted:
            try:
                await self._log.append([pending.blob for pending in batch])
            except PlatformError as error:
                self._say('The append failed.', error=repr(error))
                self.replica.outbox.requeue(batch)
                await trio.sleep(RETRY_SECONDS)
            batch = self.replica.outbox.take_batch()


def _observe_nothing(kind: str, seconds: float) -> None:
    """Stand in until somebody measures commits."""


def _judge(pending: PendingRecord) -> RecordOutcome:
    if pending.outcome is None:
        raise CommitUnknownError('the record was not read back in time')
    if pending.outcome.reason:
        raise RecordRejectedError(pending.outcome.reason)
    return pending.outcome
