"""Tasks that follow what operators and workers write into the store."""

import abc

import trio

from tarragonlb.controller.dependency import Dependency
from tarragonlb.controller.follower import Follower, News
from tarragonlb.controller.ports import (
    Configuration,
    Documents,
    Store,
    Topic,
)
from tarragonlb.controller.results import NotDone
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.controller.view import View
from tarragonlb.scheduling.wave import Wave
from tarragonlb.telemetry.log import Log

LOG = Log('feed')


class DocumentFeed(abc.ABC):
    """Follows a topic and writes what is decoded into the view."""

    __slots__ = (
        '_dependency',
        '_documents',
        '_follower',
        '_settings',
        '_view',
    )

    def __init__(
        self,
        store: Store,
        documents: Documents,
        settings: ControllerSettings,
        view: View,
    ) -> None:
        """Write what is read into ``view``."""
        topic = self.get_topic()
        self._follower = Follower(store, topic, 0)
        self._dependency = Dependency(f'documents of {topic.value}')
        self._documents = documents
        self._settings = settings
        self._view = view

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            news = await self._follower.poll(self.get_wait_seconds())
            if isinstance(news, NotDone):
                self._dependency.note_failure(news.reason, trio.current_time())
                await trio.sleep(self._settings.store_retry_seconds)
                continue
            self._dependency.note_answer(trio.current_time())
            self.take(news)
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
    def take(self, news: News) -> None:
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

    def take(self, news: News) -> None:
        """Take over configurations and waves."""
        for record in news.records:
            document = self._documents.read_operator(record)
            if isinstance(document, Configuration):
                self._take_configuration(document)
            elif isinstance(document, Wave):
                self._view.waves[document.number] = document
                LOG.say(
                    'A maintenance wave was requested.',
                    wave=document.number,
                    vms=len(document.vm_ids),
                    cap=document.cap,
                    within_seconds=document.within_seconds,
                )
        if news.records:
            self._view.announce()

    def _take_configuration(self, document: Configuration) -> None:
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
        return self._settings.worker_read_seconds

    def take(self, news: News) -> None:
        """Take over entries; a full answer replaces all."""
        workers = {} if news.is_full else dict(self._view.workers)
        for record in news.records:
            worker = self._documents.read_worker(record)
            if worker is not None:
                workers[record.key] = worker
            elif not record.value:
                workers.pop(record.key, None)
        if workers != self._view.workers:
            self._view.workers = workers
            self._view.announce()


class BoardFeed:
    """Follows the maintenance records of the fleet's partition."""

    __slots__ = ('_dependency', '_follower', '_settings', '_view')

    def __init__(
        self, store: Store, settings: ControllerSettings, view: View
    ) -> None:
        """Write what is read into ``view``."""
        self._follower = Follower(store, Topic.JOBS, FLEET_PARTITION)
        self._dependency = Dependency('records on VMs')
        self._settings = settings
        self._view = view

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self.refresh()
            await trio.sleep(self._settings.worker_read_seconds)

    async def refresh(self) -> bool:
        """Read what is new; return whether that was possible."""
        news = await self._follower.poll(0)
        if isinstance(news, NotDone):
            self._dependency.note_failure(news.reason, trio.current_time())
            return False
        self._dependency.note_answer(trio.current_time())
        board = self._view.board
        board.apply(news.records)
        for error in board.errors:
            LOG.say('A record was ignored.', reason=str(error))
        board.errors.clear()
        if news.records:
            self._view.announce()
        return True
