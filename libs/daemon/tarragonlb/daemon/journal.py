"""The journal of a process: it reads the log, folds it, and commits records.

A commit ends when its record was read back, never before.  Records of many
callers go to the log in one append.  An append whose answer was lost is sent
again: the ids of the records make it count once.
"""

import math
from dataclasses import dataclass

import trio

from tarragonlb.daemon.clock import read_monotonic, read_wall
from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import Outcome, apply_blob
from tarragonlb.journal.log import Log as PlatformLog
from tarragonlb.journal.state import State
from tarragonlb.model.errors import (
    CommitUnknownError,
    PlatformError,
    RecordVoidError,
)
from tarragonlb.model.record import Head, Record
from tarragonlb.model.scribe import Scribe
from tarragonlb.telemetry.log import Log

BATCH_SECONDS = 0.01
POLL_SECONDS = 5
RETRY_SECONDS = 0.2
COMMIT_TIMEOUT_SECONDS = 5
MAX_BATCH_RECORDS = 256


@dataclass(eq=False, slots=True)
class Pending:
    """A record on its way into the log and back."""

    record: Record
    blob: bytes
    done: trio.Event
    outcome: Outcome | None = None
    abandoned: bool = False


class Journal:
    """Owns the state of this process and the connection to the log."""

    __slots__ = (
        '_changed',
        '_log',
        '_pending',
        '_receiver',
        '_say',
        '_scribe',
        '_sender',
        'last_read',
        'state',
    )

    def __init__(self, log: PlatformLog, scribe: Scribe) -> None:
        """Start with an empty state."""
        self.state = State()
        self.last_read = -math.inf
        self._log = log
        self._scribe = scribe
        self._say = Log('journal').say
        self._pending: dict[str, Pending] = {}
        self._changed = trio.Event()
        self._sender, self._receiver = trio.open_memory_channel[Pending](
            math.inf
        )

    async def run(self) -> None:
        """Read and write until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_reading)
            nursery.start_soon(self._keep_writing)

    def sign(self, author: str = '') -> Head:
        """Return the head of a new record on the present state."""
        return self._scribe.sign(self.state.offset, read_wall(), author)

    async def commit(
        self, record: Record, timeout_seconds: float = COMMIT_TIMEOUT_SECONDS
    ) -> Outcome:
        """Append a record and wait until it is read back.

        Raises ``RecordVoidError`` if it did not count, and
        ``CommitUnknownError`` if it was not read back in time.
        """
        pending = Pending(record, encode_record(record), trio.Event())
        self._pending[record.head.record_id] = pending
        self._sender.send_nowait(pending)
        try:
            with trio.move_on_after(timeout_seconds):
                await pending.done.wait()
        finally:
            pending.abandoned = True
            self._pending.pop(record.head.record_id, None)
        if pending.outcome is None:
            raise CommitUnknownError('the record was not read back in time')
        if pending.outcome.reason:
            raise RecordVoidError(pending.outcome.reason)
        return pending.outcome

    async def wait_for_change(self) -> None:
        """Wait until another record has been folded."""
        await self._changed.wait()

    async def wait_until_read(self) -> None:
        """Wait until the log has answered once."""
        while self.last_read == -math.inf:
            await self._changed.wait()

    async def _keep_reading(self) -> None:
        wait_seconds = 0.0
        while True:
            try:
                entries = await self._log.read(self.state.offset, wait_seconds)
            except PlatformError as error:
                self._say('The log can not be read.', error=str(error))
                await trio.sleep(RETRY_SECONDS)
                continue
            for entry in entries:
                self._settle(apply_blob(self.state, entry.offset, entry.blob))
            self.last_read = read_monotonic()
            wait_seconds = POLL_SECONDS
            self._changed.set()
            self._changed = trio.Event()

    def _settle(self, outcome: Outcome) -> None:
        pending = self._pending.pop(outcome.record_id, None)
        if pending:
            pending.outcome = outcome
            pending.done.set()

    async def _keep_writing(self) -> None:
        async for first in self._receiver:
            await trio.sleep(BATCH_SECONDS)
            batch = [first, *self._take_waiting()]
            await self._append(batch)

    def _take_waiting(self) -> list[Pending]:
        batch: list[Pending] = []
        while len(batch) < MAX_BATCH_RECORDS:
            try:
                batch.append(self._receiver.receive_nowait())
            except trio.WouldBlock:
                break
        return batch

    async def _append(self, batch: list[Pending]) -> None:
        while True:
            batch = [
                pending
                for pending in batch
                if not pending.abandoned and pending.outcome is None
            ]
            if not batch:
                return
            try:
                await self._log.append([pending.blob for pending in batch])
            except PlatformError as error:
                self._say('The append failed.', error=repr(error))
                await trio.sleep(RETRY_SECONDS)
            else:
                return
