"""Commits this member's announcements and writes snapshots."""

from typing import Protocol

import trio

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.journal.fold import RecordOutcome
from tarragonlb.journal.membership import Membership
from tarragonlb.journal.replica import Replica
from tarragonlb.journal.snapshotter import Snapshotter, make_snapshot_records
from tarragonlb.model.errors import JournalError
from tarragonlb.model.record import Head, Record
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.model.snapshot import SnapshotOpened
from tarragonlb.telemetry.log import Log

CHECK_INTERVAL_SECONDS = 1
CHUNK_INTERVAL_SECONDS = 0.05
PART_INTERVAL_SECONDS = 0.01


class Committer(Protocol):
    """The interface of the journal that housekeeping uses."""

    replica: Replica
    head_factory: HeadFactory

    async def commit(self, record: Record) -> RecordOutcome:
        """Append a record and wait until it is read back."""

    def make_head(self) -> Head:
        """Return the head of a new record based on the current state."""

    async def wait_until_caught_up(self) -> None:
        """Wait until the end of the log was reached once."""


class Housekeeping:
    """Commits membership and snapshot records when they are due."""

    __slots__ = ('_emit', '_journal', '_membership', '_snapshotter')

    def __init__(self, journal: Committer) -> None:
        """Commit records as the member of ``journal``."""
        head_factory = journal.head_factory
        self._journal = journal
        self._membership = Membership(
            head_factory.author, head_factory.incarnation
        )
        self._snapshotter = Snapshotter(head_factory.author)
        self._emit = Log('journal').emit

    async def run(self) -> None:
        """Check every ``CHECK_INTERVAL_SECONDS`` until the journal halts."""
        await self._journal.wait_until_caught_up()
        replica = self._journal.replica
        while not replica.halted:
            await self._commit_membership()
            now = read_monotonic()
            opened = self._snapshotter.plan(
                replica, now, self._journal.make_head
            )
            if opened:
                await self._write_snapshot(opened)
            await self._encode_snapshot()
            await trio.sleep(CHECK_INTERVAL_SECONDS)

    async def _commit_membership(self) -> None:
        journal = self._journal
        now = read_monotonic()
        record = self._membership.plan(journal.replica, now, journal.make_head)
        if record is None:
            return
        try:
            await journal.commit(record)
        except JournalError as error:
            self._emit(
                'Committing a membership record failed.', reason=str(error)
            )

    async def _write_snapshot(self, opened: SnapshotOpened) -> None:
        journal = self._journal
        try:
            await journal.commit(opened)
            for record in make_snapshot_records(
                journal.replica, opened, journal.make_head
            ):
                await journal.commit(record)
                await trio.sleep(CHUNK_INTERVAL_SECONDS)
        except JournalError as error:
            self._emit('Writing a snapshot failed.', reason=str(error))
        else:
            self._emit('A snapshot was written.', offset=opened.head.basis)

    async def _encode_snapshot(self) -> None:
        encoder = self._journal.replica.snapshot_encoder
        while encoder and not encoder.finished:
            encoder.encode_next_part()
            await trio.sleep(PART_INTERVAL_SECONDS)
