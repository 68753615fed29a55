"""Tasks that follow what operators and workers write into the store."""

import abc

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.partitionreader import PartitionReader, RecordUpdate
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import (
    Configuration,
    DocumentDecoder,
    Store,
    Topic,
)
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.scheduling.wave import Wave
from tarragonlb.telemetry.log import Log

LOG = Log('feed')


class DocumentFeed(abc.ABC):
    """Follows a topic and writes what is decoded into the view."""

    __slots__ = (
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
    ) -> None:
        """Write what is read into ``view``."""
        topic = self.get_topic()
        self._reader = PartitionReader(store, topic, 0)
        self._dependency_log = DependencyLog(f'documents of {topic.value}')
        self._documents = documents
        self._settings = settings
        self._view = view

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            update = await self._reader.poll(self.get_wait_seconds())
            if isinstance(update, NotDone):
                self._dependency_log.record_failure(
                    update.reason, trio.current_time()
                )
                await trio.sleep(self._settings.store_retry_seconds)
                continue
            self._dependency_log.record_success(trio.current_time())
            self.apply(update)
            await trio.sleep(self.get_pause_seconds())

    @abc.abstractmethod
    def get_topic(self) -> Topic:
        """Return the topic to follow."""

    @abc.abstractmethod
    def get_wait_seconds(self) -> float:
        """Return how long a read waits for a record."""

    @abc.abstractmethod
    def get_pause_seconds(self) -> float:
        """Return the pause between two reads."""

    @abc.abstractmethod
    def apply(self, update: RecordUpdate) -> None:
        """Take over what was read."""


class OperatorFeed(DocumentFeed):
    """Follows configurations and maintenance waves."""

    __slots__ = ()

    def get_topic(self) -> Topic:
        """Return the topic to follow."""
        return Topic.OPERATORS

    def get_wait_seconds(self) -> float:
        """Wait, since a configuration has to be in force soon."""
        return self._settings.operator_wait_seconds

    def get_pause_seconds(self) -> float:
        """Read on at once."""
        return 0

    def apply(self, update: RecordUpdate) -> None:
        """Take over configurations and waves."""
        for record in update.records:
            document = self._documents.decode_operator_record(record)
            if isinstance(document, Configuration):
                self._apply_configuration(document)
            elif isinstance(document, Wave):
                self._view.waves[document.number] = document
                LOG.say(
                    'A maintenance wave was requested.',
                    wave=document.number,
                    vms=len(document.vm_ids),
                    cap=document.cap,
                    within_seconds=document.within_seconds,
                )
        if update.records:
            self._view.notify()

    def _apply_configuration(self, document: Configuration) -> None:
        known = self._view.configuration
        if known is not None and known.version >= document.version:
            return
        self._view.configuration = document
        LOG.say(
            'A configuration is in force.',
            version=document.version,
            queues=len(document.queues.by_name),
        )


class WorkerFeed(DocumentFeed):
    """Follows the directory of workers."""

    __slots__ = ()

    def get_topic(self) -> Topic:
        """Return the topic to follow."""
        return Topic.WORKERS

    def get_wait_seconds(self) -> float:
        """Do not wait: records come all the time."""
        return 0

    def get_pause_seconds(self) -> float:
        """Return the pause between two reads."""
        return self._settings.worker_read_interval_seconds

    def apply(self, update: RecordUpdate) -> None:
        """Take over entries; a full answer replaces all."""
        workers = {} if update.is_snapshot else dict(self._view.workers)
        for record in update.records:
            worker = self._documents.decode_worker_record(record)
            if worker is not None:
                workers[record.key] = worker
            elif not record.value:
                workers.pop(record.key, None)
        if workers != self._view.workers:
            self._view.workers = workers
            self._view.notify()


class FleetStateFeed:
    """Follows the maintenance records of the fleet's partition."""

    __slots__ = ('_dependency_log', '_reader', '_settings', '_view')

    def __init__(
        self, store: Store, settings: ControllerSettings, view: PlatformView
    ) -> None:
        """Write what is read into ``view``."""
        self._reader = PartitionReader(store, Topic.JOBS, FLEET_PARTITION)
        self._dependency_log = DependencyLog('records on VMs')
        self._settings = settings
        self._view = view

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self.refresh()
            await trio.sleep(self._settings.worker_read_interval_seconds)

    async def refresh(self) -> bool:
        """Read what is new; return whether that was possible."""
        update = await self._reader.poll(0)
        if isinstance(update, NotDone):
            self._dependency_log.record_failure(
                update.reason, trio.current_time()
            )
            return False
        self._dependency_log.record_success(trio.current_time())
        fleet_state = self._view.fleet_state
        fleet_state.apply(update.records)
        for error in fleet_state.errors:
            LOG.say('A record was ignored.', reason=str(error))
        fleet_state.errors.clear()
        if update.records:
            self._view.notify()
        return True
