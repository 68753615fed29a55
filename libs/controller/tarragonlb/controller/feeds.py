"""Tasks that read the records of operators, workers and owners from the store.

Each feed polls one partition and updates the process's ``PlatformView``.
"""

import abc
import operator

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.feedreader import FeedReader
from tarragonlb.controller.partitionreader import PartitionReader, RecordUpdate
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import (
    Clock,
    Configuration,
    DocumentDecoder,
    Store,
    Topic,
)
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.ownershiprecords import is_owner_record
from tarragonlb.scheduling.wave import Wave
from tarragonlb.scheduling.worker import Worker
from tarragonlb.telemetry.log import Log

LOG = Log('feed')
# A configuration that was confirmed longer ago than this many waits of a read
# shows that a read has failed.  Without failures, the last read was sent just
# over one wait ago.
MAX_CONFIRMATION_WAITS = 2


class DocumentFeed(abc.ABC):
    """Polls a topic, decodes its records and updates the view."""

    __slots__ = (
        '_clock',
        '_dependency_log',
        '_documents',
        '_reader',
        '_settings',
        '_view',
    )

    def __init__(
        self,
        store: Store,
        documents: DocumentDecoder,
        settings: ControllerSettings,
        view: PlatformView,
        clock: Clock,
    ) -> None:
        """Read from ``store``, decode with ``documents``, update ``view``."""
        self._clock = clock
        topic = self.get_topic()
        self._reader = PartitionReader(store, topic, 0)
        self._dependency_log = DependencyLog(f'documents of {topic.value}')
        self._documents = documents
        self._settings = settings
        self._view = view

    async def run(self) -> None:
        """Poll until cancelled.  After an error, the next run starts over."""
        try:
            await self._poll()
        except Exception:
            # Some of the records that were read may not have been applied.
            self._reader.start_over()
            raise

    async def pause(self) -> None:
        """Wait until the next read is due."""
        await trio.sleep(self.get_pause_seconds())

    @abc.abstractmethod
    def get_topic(self) -> Topic:
        """Return the topic to read."""

    @abc.abstractmethod
    def get_wait_seconds(self) -> float:
        """Return how long a read waits for a record."""

    @abc.abstractmethod
    def get_pause_seconds(self) -> float:
        """Return the pause between two reads."""

    @abc.abstractmethod
    def apply(self, update: RecordUpdate, sent_at: float) -> None:
        """Apply the records of one read to the view.

        The read was sent at ``sent_at`` seconds on the boot-time clock.
        """

    async def _poll(self) -> None:
        while True:
            sent_at = self._clock.read_boottime()
            update = await self._reader.poll(self.get_wait_seconds())
            if isinstance(update, NotDone):
                self._dependency_log.record_failure(
                    update.reason, trio.current_time()
                )
                await trio.sleep(self._settings.store_retry_seconds)
                continue
            self._dependency_log.record_success(trio.current_time())
            self.apply(update, sent_at)
            await self.pause()


class OperatorFeed(DocumentFeed):
    """Reads the operators' configurations and maintenance waves."""

    __slots__ = ()

    def get_topic(self) -> Topic:
        """Return the topic to read."""
        return Topic.OPERATORS

    def get_wait_seconds(self) -> float:
        """Return a wait, so that configurations are read without delay.

        With tenants, a read does not wait after a failed one: unknown keys
        can't be refused before it returns.
        """
        wait_seconds = self._settings.operator_wait_seconds
        if self._settings.has_tenants:
            now = self._clock.read_boottime()
            age = self._view.compute_configuration_age(now)
            if age > MAX_CONFIRMATION_WAITS * wait_seconds:
                return 0
        return wait_seconds

    def get_pause_seconds(self) -> float:
        """Return no pause, since a read waits for records."""
        return 0

    def apply(self, update: RecordUpdate, sent_at: float) -> None:
        """Apply configurations and waves."""
        for record in update.records:
            document = self._documents.decode_operator_record(record)
            if isinstance(document, Configuration):
                self._apply_configuration(document)
            elif isinstance(document, Wave):
                self._view.add_wave(document, self._clock.read_monotonic())
                LOG.emit(
                    'Maintenance wave requested.',
                    wave=document.number,
                    vms=len(document.vm_ids),
                    cap=document.cap,
                    within_seconds=document.within_seconds,
                )
        # A snapshot has the newest configuration as well, but a read that ends
        # before the last record may not.
        if update.is_at_end or update.is_snapshot:
            self._view.configuration_read_at = sent_at
        if update.records:
            self._view.notify()

    def _apply_configuration(self, document: Configuration) -> None:
        current = self._view.configuration
        if current is not None and current.version >= document.version:
            return
        self._view.apply_configuration(document)
        LOG.emit(
            'Configuration applied.',
            version=document.version,
            queues=len(document.queues.by_name),
        )


class WorkerFeed(DocumentFeed):
    """Reads the directory of workers."""

    __slots__ = ()

    def get_topic(self) -> Topic:
        """Return the topic to read."""
        return Topic.WORKERS

    def get_wait_seconds(self) -> float:
        """Return no wait, since records arrive all the time."""
        return 0

    def get_pause_seconds(self) -> float:
        """Return the pause between two reads of an owner."""
        return self._settings.worker_read_interval_seconds

    async def pause(self) -> None:
        """Wait until the next read is due.

        A daemon that owns nothing reads seldom, but at once when it has become
        an owner.
        """
        if self._view.renewed_at:
            await super().pause()
            return
        with trio.move_on_after(
            self._settings.follower_worker_interval_seconds
        ):
            await self._view.wait_for_ownership()

    def apply(self, update: RecordUpdate, sent_at: float) -> None:
        """Apply the entries of workers; a snapshot replaces all of them."""
        workers = {} if update.is_snapshot else dict(self._view.workers)
        # Most records only repeat an entry, and the newest valid one counts.
        applied: set[str] = set()
        decoded: list[tuple[int, Worker]] = []
        for record in reversed(update.records):
            if record.key in applied:
                continue
            worker = self._documents.decode_worker_record(record)
            if worker is not None:
                workers[record.key] = worker
                applied.add(record.key)
                decoded.append((record.offset, worker))
            elif not record.value:
                workers.pop(record.key, None)
                applied.add(record.key)
        if update.is_at_end:
            self._view.workers_read_at = sent_at
        if workers != self._view.workers:
            self._note_addresses(decoded, sent_at)
            self._view.workers = workers
            self._view.notify()

    def _note_addresses(
        self, decoded: list[tuple[int, Worker]], sent_at: float
    ) -> None:
        history = self._view.address_history
        # Of two workers with one address the later entry is true.
        for _, worker in sorted(decoded, key=operator.itemgetter(0)):
            history.note(worker.worker_id, worker.address, sent_at)


class FleetStateFeed:
    """Reads the records on drains, orders and loads in the fleet partition.

    After an error the view keeps the former state, which grows old visibly,
    until all records have been read anew.
    """

    __slots__ = (
        '_clock',
        '_dependency_log',
        '_fleet_state',
        '_reader',
        '_settings',
        '_view',
    )

    def __init__(
        self,
        store: Store,
        settings: ControllerSettings,
        view: PlatformView,
        clock: Clock,
    ) -> None:
        """Read from ``store`` and update ``view``."""
        self._clock = clock
        self._reader = FeedReader(
            store, Topic.JOBS, FLEET_PARTITION, self._apply, self._discard
        )
        self._dependency_log = DependencyLog('records on VMs')
        self._settings = settings
        self._view = view
        self._fleet_state = view.fleet_state

    async def run(self) -> None:
        """Poll until cancelled."""
        self._reader.start()
        while True:
            await self.refresh()
            self._reader.check()
            await trio.sleep(self._settings.worker_read_interval_seconds)

    async def refresh(self) -> bool:
        """Read all that is stored now; return whether the store answered."""
        while True:
            sent_at = self._clock.read_boottime()
            update = await self._reader.read(0)
            if isinstance(update, NotDone):
                self._dependency_log.record_failure(
                    update.reason, trio.current_time()
                )
                return False
            self._dependency_log.record_success(trio.current_time())
            if update.is_at_end and self._view.replace_fleet_state(
                self._fleet_state
            ):
                LOG.emit('Records on VMs were read anew.')
            if self._view.fleet_state is self._fleet_state:
                self._view.last_read_at = sent_at
            if update.is_at_end:
                return True

    def _discard(self) -> None:
        self._fleet_state = FleetState(self._settings.pool_partitions)

    def _apply(self, update: RecordUpdate) -> None:
        fleet_state = self._fleet_state
        now = self._clock.read_monotonic()
        if update.snapshot_end is None:
            fleet_state.apply(update.records, now)
        else:
            fleet_state.apply_snapshot(update.records, update.snapshot_end, now)
        for error in fleet_state.errors:
            LOG.emit('Invalid record ignored.', reason=str(error))
        fleet_state.errors.clear()
        # Statuses of owners arrive all the time, and only bids use them.
        is_changed = not all(map(is_owner_record, update.records))
        if is_changed or update.is_snapshot:
            self._view.notify()
