"""The jobs of one partition, kept up to date by a polling task.

Every daemon polls every partition that has a pool at a low rate.  The owner of
a partition polls it at a high rate and is notified of changed jobs.
"""

from collections import Counter
from collections.abc import Iterable
from itertools import chain

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.feedreader import FeedReader
from tarragonlb.controller.partitionreader import RecordUpdate
from tarragonlb.controller.ports import Clock, Store, Topic
from tarragonlb.controller.quotafeed import QuotaFeed
from tarragonlb.controller.readgate import ReadGate
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.jobindex import JobIndex
from tarragonlb.scheduling.jobrecords import JobRecords
from tarragonlb.scheduling.leasebound import LeaseBoundIndex
from tarragonlb.scheduling.queuemoves import QueueMove, QueueMoves
from tarragonlb.scheduling.records import SUBMISSION, KeyedRecord, RecordError
from tarragonlb.telemetry.log import Log

LOG = Log('partition')
# Clients may be given a count of pending jobs that is this old.
COUNT_CACHE_SECONDS = 0.3
# A read that is due within this time is not waited for.
MIN_WAIT_SECONDS = 0.01
# A partition that was last read more than this many intervals ago may have many
# new records.
MAX_MISSED_INTERVALS = 2


class PartitionFeed:
    """Polls one partition of the jobs topic and indexes its records."""

    __slots__ = (
        '_clock',
        '_counted_at',
        '_counts',
        '_dependency_log',
        '_is_at_end',
        '_last_refresh',
        '_read_gate',
        '_reader',
        '_refresh_lock',
        '_refreshes_begun',
        '_settings',
        '_subscriber',
        '_wake',
        'job_index',
        'last_read_at',
        'lease_bounds',
        'partition',
        'queue_moves',
        'quota_feed',
    )

    def __init__(
        self,
        partition: int,
        store: Store,
        settings: ControllerSettings,
        clock: Clock,
        quota_feed: QuotaFeed | None = None,
        read_gate: ReadGate | None = None,
    ) -> None:
        """Prepare to poll ``partition``.

        Its owner follows ``quota_feed``, too, if there are tenants.  All feeds
        of a daemon share ``read_gate``.
        """
        self.quota_feed = quota_feed
        self.partition = partition
        self._settings = settings
        self._clock = clock
        self._read_gate = read_gate or ReadGate()
        self._refresh_lock = trio.Lock()
        self._refreshes_begun = 0
        self._reader = FeedReader(
            store, Topic.JOBS, partition, self._apply, self._discard
        )
        self._dependency_log = DependencyLog(
            f'records of partition {partition}'
        )
        self._subscriber: trio.MemorySendChannel[list[str]] | None = None
        self._wake = trio.Event()
        self.last_read_at: float | None
        self._is_at_end: bool
        self._last_refresh: tuple[int, RecordUpdate | NotDone]
        self._counts: Counter[str]
        self._counted_at: float
        self._discard()

    @property
    def is_owned(self) -> bool:
        """Return whether this daemon owns the partition."""
        return self._subscriber is not None

    async def run(self) -> None:
        """Poll the partition until cancelled."""
        settings = self._settings
        self._reader.start()
        while True:
            # A refresh that has begun also serves the owner's first read.
            is_owner = self.is_owned and self.last_read_at is not None
            if is_owner:
                result = await self._reader.read(settings.read_wait_seconds)
            else:
                result = await self._refresh()
            self._reader.check()
            if isinstance(result, NotDone):
                self._dependency_log.record_failure(
                    result.reason, trio.current_time()
                )
                await trio.sleep(settings.store_retry_seconds)
                continue
            self._dependency_log.record_success(trio.current_time())
            if is_owner:
                await trio.sleep(settings.owner_read_interval_seconds)
                continue
            await self._wait_for_next_refresh()

    def has_read(self, offset: int) -> bool:
        """Return whether all records up to an offset have been read."""
        return self._reader.next_offset > offset

    def find_late_target(self, records: JobRecords) -> QueueMove | None:
        """Return where a job belongs that was accepted too late for here.

        None for a job of this partition.  One that an owner has stored some
        progress of stays here.
        """
        if self.queue_moves.is_empty or records.find_progress() is not None:
            return None
        try:
            head = records.decode_head()
        except RecordError:
            return None
        return self.queue_moves.find_late_target(
            head.queue, head.pool, records.get_offset(SUBMISSION)
        )

    async def refresh(self) -> bool:
        """Read all that is stored now; return whether the store answered."""
        return not isinstance(await self._refresh(), NotDone)

    def apply_stored(self, records: Iterable[KeyedRecord], first: int) -> None:
        """Apply records that this process stored at offset ``first``."""
        self._reader.apply_stored(records, first, self._index)

    def subscribe(self, subscriber: trio.MemorySendChannel[list[str]]) -> None:
        """Poll at the owner's rate and send the ids of changed jobs.

        The channel is closed if the records have to be read anew.
        The channel has to be unbounded: waiting for space could be cancelled
        together with a client's query, and the change would get lost.
        """
        self._subscriber = subscriber
        self._wake.set()
        self._read_gate.notify()

    def unsubscribe(self) -> None:
        """Poll at the followers' rate again."""
        self._subscriber = None

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue have not started a task yet."""
        now = self._clock.read_monotonic()
        if now - self._counted_at > COUNT_CACHE_SECONDS:
            self._counts = self.job_index.count_pending()
            self._counted_at = now
        return self._counts[queue]

    async def _wait_for_next_refresh(self) -> None:
        """Wait until the last read is too old, or the partition is owned."""
        interval = self._settings.follower_read_interval_seconds
        while self.last_read_at is not None and not self._wake.is_set():
            age = self._clock.read_boottime() - self.last_read_at
            if age > interval - MIN_WAIT_SECONDS:
                break
            with trio.move_on_after(interval - age):
                await self._wake.wait()
        self._wake = trio.Event()

    async def _refresh(self) -> RecordUpdate | NotDone:
        """Read to the partition's end; return the result of the last read.

        Concurrent calls share a refresh that began after all of them.  If each
        read for itself, the same records would be sent several times, and on a
        slow link ever more calls would overlap.
        """
        begun_before = self._refreshes_begun
        async with self._refresh_lock:
            number, result = self._last_refresh
            if number > begun_before:
                return result
            self._refreshes_begun += 1
            result = await self._read_to_end()
            self._last_refresh = (self._refreshes_begun, result)
            return result

    async def _read_to_end(self) -> RecordUpdate | NotDone:
        while True:
            result = await self._read_in_turn()
            if isinstance(result, NotDone) or result.is_at_end:
                return result

    async def _read_in_turn(self) -> RecordUpdate | NotDone:
        if not self._is_behind():
            return await self._reader.read(0)
        async with self._read_gate.enter(lambda: self.is_owned):
            return await self._reader.read(0)

    def _is_behind(self) -> bool:
        """Return whether the next read may be long."""
        if self.last_read_at is None or not self._is_at_end:
            return True
        age = self._clock.read_boottime() - self.last_read_at
        interval = self._settings.follower_read_interval_seconds
        return age > MAX_MISSED_INTERVALS * interval

    def _discard(self) -> None:
        """Discard all that was read; the owner's term can't go on without."""
        self.job_index = JobIndex()
        self.lease_bounds = LeaseBoundIndex()
        self.queue_moves = QueueMoves()
        self.last_read_at = None
        self._is_at_end = False
        self._last_refresh = (0, NotDone('nothing was read'))
        self._counts = Counter()
        self._counted_at = -1.0
        if self._subscriber is not None:
            self._subscriber.close()
        self._subscriber = None
        self._wake.set()

    def _index(self, update: RecordUpdate) -> list[str]:
        now = self._clock.read_monotonic()
        end = update.snapshot_end
        if end is None:
            others = self.lease_bounds.apply(update.records, now)
            return self.job_index.apply(self.queue_moves.apply(others))
        others = self.lease_bounds.apply_snapshot(update.records, end, now)
        others = self.queue_moves.apply_snapshot(others, end)
        return self.job_index.apply_snapshot(others, end)

    def _apply(self, update: RecordUpdate) -> None:
        changed = self._index(update)
        indexes = (self.job_index, self.lease_bounds, self.queue_moves)
        for error in chain.from_iterable(index.errors for index in indexes):
            LOG.emit(
                'Invalid record ignored.',
                partition=self.partition,
                reason=str(error),
            )
        for index in indexes:
            index.errors.clear()
        if changed and self._subscriber is not None:
            self._subscriber.send_nowait(changed)
        self.last_read_at = self._clock.read_boottime()
        self._is_at_end = update.is_at_end
