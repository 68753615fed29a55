"""The records on the caps of tenants, read by long polling.

Only a daemon that owns a partition reads them, and only once the configuration
has a tenant with a cap.
"""

import math
from collections.abc import Iterable

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.feedreader import FeedReader, FeedRestartedError
from tarragonlb.controller.partitionreader import RecordUpdate
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Store, Topic
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.scheduling.amounts import count_demand, has_limit
from tarragonlb.scheduling.quotaindex import QuotaIndex
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.telemetry.log import Log

LOG = Log('quota')

Subscriber = trio.MemorySendChannel[set[str]]


class QuotaFeed:
    """Reads the records on caps and tells subscribers which tenants changed."""

    __slots__ = (
        '_dependency_log',
        '_is_used',
        '_progress',
        '_reader',
        '_settings',
        '_subscribers',
        '_view',
        'index',
    )

    def __init__(
        self, store: Store, settings: ControllerSettings, view: PlatformView
    ) -> None:
        """Read from ``store`` while ``view`` says that it is needed."""
        self.index = QuotaIndex()
        self._reader = FeedReader(
            store, Topic.TENANTS, FLEET_PARTITION, self._apply, self._discard
        )
        self._settings = settings
        self._view = view
        self._dependency_log = DependencyLog('records on caps of tenants')
        self._subscribers: list[Subscriber] = []
        self._is_used = False
        self._progress = trio.Event()

    async def run(self) -> None:
        """Read until cancelled, while this process owns a partition."""
        self._reader.start()
        while True:
            self._reader.check()
            await self._view.wait_for_ownership()
            await self.wait_until_used()
            wait_seconds = self._settings.read_wait_seconds
            update = await self._reader.read(wait_seconds)
            self._reader.check()
            if isinstance(update, NotDone):
                self._dependency_log.record_failure(
                    update.reason, trio.current_time()
                )
                await trio.sleep(self._settings.store_retry_seconds)
                continue
            self._dependency_log.record_success(trio.current_time())
            # Records that arrive at short intervals are read together.
            await trio.sleep(self._settings.min_round_interval_seconds)

    async def wait_until_used(self) -> None:
        """Wait until the configuration has a tenant with a cap.

        From then on the records are read for good, as tenants that are removed
        keep their caps.
        """
        while not self._is_used:
            configuration = self._view.configuration
            if configuration is not None:
                self._is_used = any(
                    has_limit(count_demand(tenant.cap))
                    for tenant in configuration.tenants.by_name.values()
                )
            if not self._is_used:
                await self._view.wait_for_change()

    async def refresh(self) -> bool:
        """Read all that is stored now; return whether the store answered."""
        while True:
            update = await self._reader.read(0)
            if isinstance(update, NotDone):
                return False
            if update.is_at_end:
                return True

    async def wait_past(self, offset: int) -> None:
        """Wait until the record at an offset and all before it are read."""
        while self._reader.next_offset <= offset:
            await self._progress.wait()

    def apply_stored(self, records: Iterable[KeyedRecord], first: int) -> None:
        """Apply records that this process stored at offset ``first``."""
        self._reader.apply_stored(records, first, self._apply_records)

    def check_index(self, index: QuotaIndex) -> None:
        """Raise ``FeedRestartedError`` if an index is not the present one."""
        if index is not self.index:
            raise FeedRestartedError('the records on caps are read anew')

    def subscribe(self) -> trio.MemoryReceiveChannel[set[str]]:
        """Return a channel that receives the tenants with new records.

        It ends when it is closed, or when the index is replaced, as the records
        have to be read anew.  Sending never waits, since a wait could be
        cancelled and the change would get lost.
        """
        subscriber, changes = trio.open_memory_channel[set[str]](math.inf)
        # Those of ended terms, also if nothing has changed since.
        self._subscribers = [
            one
            for one in self._subscribers
            if one.statistics().open_receive_channels
        ]
        self._subscribers.append(subscriber)
        return changes

    def _discard(self) -> None:
        """Discard all that was read; terms that rely on it can't go on."""
        self.index = QuotaIndex()
        for subscriber in self._subscribers:
            subscriber.close()
        self._subscribers.clear()

    def _apply_records(self, update: RecordUpdate) -> None:
        self._notify(self.index.apply(update.records))

    def _apply(self, update: RecordUpdate) -> None:
        if update.is_snapshot:
            changed = self.index.apply_snapshot(update.records)
        else:
            changed = self.index.apply(update.records)
        for error in self.index.errors:
            LOG.emit('Invalid record ignored.', reason=str(error))
        self.index.errors.clear()
        self._progress.set()
        self._progress = trio.Event()
        self._notify(changed)

    def _notify(self, changed: set[str]) -> None:
        if not changed:
            return
        for subscriber in tuple(self._subscribers):
            try:
                subscriber.send_nowait(changed)
            except trio.BrokenResourceError:
                self._subscribers.remove(subscriber)
