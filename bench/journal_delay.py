"""Measures the time until a change is in force on every daemon.

The daemons run in one process over a log in memory.  Time is simulated, so the
delay consists of waiting, batching and network latency; processor time is
measured separately.
"""

import itertools
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass

from trio import open_nursery, run, sleep, testing

from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.journal import Journal
from tarragonlb.journal.log import LogEntry, RecordLog
from tarragonlb.model.record import SettingPublished
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.standin.logstore import LogStore

SECONDS_PER_DAY = 86_400
CHANGES_PER_DAY = (27_000, 2_700_000)
DAEMONS = 8
CHANGES = 1_000
ONE_WAY_SECONDS = 0.003
RETENTION_RECORDS = 1_000_000
MILLISECONDS_PER_SECOND = 1_000


@dataclass(frozen=True, slots=True, kw_only=True)
class DelayFigure:
    """Delays from the request of a change to its effect on each daemon."""

    changes_a_day: int
    daemons: int
    median_milliseconds: float
    p99_milliseconds: float
    longest_milliseconds: float
    records: int
    bytes_read_a_change: float
    processor_milliseconds_a_change: float


class RemoteLog(RecordLog):
    """A log in memory behind a simulated network latency."""

    __slots__ = ('_store', 'bytes_read')

    def __init__(self, store: LogStore) -> None:
        """Use a store that several logs share."""
        self._store = store
        self.bytes_read = 0

    async def append(self, blobs: Sequence[bytes]) -> None:
        """Append records."""
        await sleep(ONE_WAY_SECONDS)
        self._store.append(blobs)
        await sleep(ONE_WAY_SECONDS)

    async def read(self, after: int, wait_seconds: float) -> list[LogEntry]:
        """Return the records after an offset."""
        await sleep(ONE_WAY_SECONDS)
        rows = await self._store.read(after, wait_seconds)
        await sleep(ONE_WAY_SECONDS)
        self.bytes_read += sum(len(blob) for _, blob in rows)
        return [LogEntry(offset, blob) for offset, blob in rows]


class Trial:
    """Several daemons, and the times at which changes were requested."""

    def __init__(self, interval_seconds: float) -> None:
        """Request a change every ``interval_seconds``."""
        self.store = LogStore(RETENTION_RECORDS)
        self.logs = [RemoteLog(self.store) for _ in range(DAEMONS)]
        self.journals = [
            Journal(log, HeadFactory(f'entry-{index}', 'bench'))
            for index, log in enumerate(self.logs)
        ]
        self.interval_seconds = interval_seconds
        self.requested_at: list[float] = []
        self.delays: list[float] = []

    async def run(self) -> None:
        """Make all changes and record the delay of each on each daemon."""
        async with open_nursery() as nursery:
            for journal in self.journals:
                nursery.start_soon(journal.run)
                await journal.wait_until_caught_up()
            async with open_nursery() as changes:
                for journal in self.journals:
                    changes.start_soon(self._record_delays, journal)
                for index in range(CHANGES):
                    changes.start_soon(self._make_change, index)
                    await sleep(self.interval_seconds)
            nursery.cancel_scope.cancel()

    async def _make_change(self, index: int) -> None:
        journal = self.journals[index % DAEMONS]
        self.requested_at.append(read_monotonic())
        record = SettingPublished(
            head=journal.make_head(),
            path=f'/teams/team-{index}',
            text='quota:\n  cores: 100\n',
            source='bench.yaml',
            expected_version=0,
        )
        await journal.commit(record)

    async def _record_delays(self, journal: Journal) -> None:
        count = 0
        while count < CHANGES:
            await journal.wait_for_change()
            now = read_monotonic()
            latest = reversed(journal.state.settings)
            added = len(journal.state.settings) - count
            for path in itertools.islice(latest, added):
                index = int(path.rpartition('-')[2])
                self.delays.append(now - self.requested_at[index])
            count += added


def measure_delay(changes_a_day: int) -> DelayFigure:
    """Make changes at a constant rate and return their delays."""
    trial = Trial(SECONDS_PER_DAY / changes_a_day)
    started = time.process_time()
    run(trial.run, clock=testing.MockClock(autojump_threshold=0))
    seconds = time.process_time() - started
    percentiles = statistics.quantiles(trial.delays, n=100)
    return DelayFigure(
        changes_a_day=changes_a_day,
        daemons=DAEMONS,
        median_milliseconds=percentiles[49] * MILLISECONDS_PER_SECOND,
        p99_milliseconds=percentiles[98] * MILLISECONDS_PER_SECOND,
        longest_milliseconds=max(trial.delays) * MILLISECONDS_PER_SECOND,
        records=trial.store.last_offset,
        bytes_read_a_change=trial.logs[0].bytes_read / CHANGES,
        processor_milliseconds_a_change=(
            seconds / CHANGES / DAEMONS * MILLISECONDS_PER_SECOND
        ),
    )
