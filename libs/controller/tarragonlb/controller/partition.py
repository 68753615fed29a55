"""The jobs of one partition, kept up to date by a task of its own.

Every daemon follows every partition that has a pool, slowly; the owner follows
its own quickly and is told which jobs have changed.
"""

from collections import Counter
from collections.abc import Iterable

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.partitionreader import PartitionReader
from tarragonlb.controller.ports import Clock, Store, Topic
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.jobindex import JobIndex
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.telemetry.log import Log

LOG = Log('partition')
# Pending jobs may be shown as they were so many seconds ago.
COUNT_CACHE_SECONDS = 0.3


class PartitionFeed:
    """Follows one partition of the jobs' topic."""

    __slots__ = (
        '_clock',
        '_counted_at',
        '_counts',
        '_dependency_log',
        '_reader',
        '_settings',
        '_subscriber',
        '_wake',
        'job_index',
        'last_read_at',
        'partition',
    )

    def __init__(
        self,
        partition: int,
        store: Store,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Follow ``partition``."""
        self.partition = partition
        self.job_index = JobIndex()
        self.last_read_at: float | None = None
        self._settings = settings
        self._clock = clock
        self._reader = PartitionReader(store, Topic.JOBS, partition)
        self._dependency_log = DependencyLog(
            f'records of partition {partition}'
        )
        self._subscriber: trio.MemorySendChannel[list[str]] | None = None
        self._wake = trio.Event()
        self._counts: Counter[str] = Counter()
        self._counted_at = -1.0

    async def run(self) -> None:
        """Follow the partition until cancelled."""
        settings = self._settings
        while True:
            is_owner = self._subscriber is not None
            wait = settings.read_wait_seconds if is_owner else 0
            update = await self._reader.poll(wait)
            if isinstance(update, NotDone):
                self._dependency_log.record_failure(
                    update.reason, trio.current_time()
                )
                await trio.sleep(settings.store_retry_seconds)
                continue
            self._dependency_log.record_success(trio.current_time())
            await self._apply(update.records)
            if is_owner:
                await trio.sleep(settings.owner_read_interval_seconds)
                continue
            with trio.move_on_after(settings.follower_read_interval_seconds):
                await self._wake.wait()
            self._wake = trio.Event()

    async def refresh(self) -> bool:
        """Read to the present end; return whether that was possible."""
        records = await self._reader.catch_up()
        if isinstance(records, NotDone):
            return False
        await self._apply(records)
        return True

    def apply_stored(self, records: Iterable[KeyedRecord], first: int) -> None:
        """Take over records of this process, stored from ``first`` on."""
        self.job_index.apply(
            KeyedRecord(record.key, record.value, offset)
            for offset, record in enumerate(records, first)
        )

    def subscribe(self, subscriber: trio.MemorySendChannel[list[str]]) -> None:
        """Follow quickly and tell which jobs change."""
        self._subscriber = subscriber
        self._wake.set()

    def unsubscribe(self) -> None:
        """Follow slowly again."""
        self._subscriber = None

    def count_pending(self, queue: str) -> int:
        """Return how many jobs of a queue wait for their first task."""
        now = self._clock.read_steady()
        if now - self._counted_at > COUNT_CACHE_SECONDS:
            self._counts = self.job_index.count_pending()
            self._counted_at = now
        return self._counts[queue]

    async def _apply(self, records: tuple[KeyedRecord, ...]) -> None:
        self.last_read_at = self._clock.read_boottime()
        changed = self.job_index.apply(records)
        for error in self.job_index.errors:
            LOG.say(
                'A record was ignored.',
                partition=self.partition,
                reason=str(error),
            )
        self.job_index.errors.clear()
        if changed and self._subscriber is not None:
            await self._subscriber.send(changed)
