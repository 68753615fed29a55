"""Stores the rounds of one owner, in order and each exactly once."""

import trio

from tarragonlb.controller.membership import Holding
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.ports import Store, Writer
from tarragonlb.controller.results import AppendResult, Deposed, Stored
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.orders import Round
from tarragonlb.scheduling.progress import write_progress
from tarragonlb.scheduling.records import KeyedRecord, write_removal
from tarragonlb.telemetry.log import Log

LOG = Log('storage')


class RoundStorage:
    """Appends records under one term."""

    __slots__ = ('_feed', '_holding', '_number', '_settings', '_store')

    def __init__(
        self,
        holding: Holding,
        store: Store,
        feed: PartitionFeed,
        settings: ControllerSettings,
    ) -> None:
        """Write to the partition of ``holding``."""
        self._holding = holding
        self._store = store
        self._feed = feed
        self._settings = settings
        self._number = 0

    async def fence(self) -> str:
        """End all former terms and read what they left.

        Return why the term can't begin, or an empty text.
        """
        holding = self._holding
        while True:
            fenced = await self._store.fence(holding.partition, holding.term)
            if isinstance(fenced, Deposed):
                return fenced.reason
            if isinstance(fenced, Stored) and await self._feed.refresh():
                return ''
            await trio.sleep(self._settings.store_retry_seconds)

    async def store(self, decided: Round) -> str:
        """Store what a round changed.

        Return why that is impossible for good, or an empty text.
        """
        records = [
            write_progress(job, self._holding.term) for job in decided.jobs
        ]
        for job_id in decided.removed:
            records.extend(write_removal(job_id))
        return await self.append(tuple(records))

    async def append(self, records: tuple[KeyedRecord, ...]) -> str:
        """Append records; repeat until the store has them."""
        writer = Writer(self._holding.term, self._number)
        self._number += 1
        while True:
            appended = await self._store.append(
                self._holding.partition, records, writer
            )
            if isinstance(appended, Deposed):
                return appended.reason
            if isinstance(appended, Stored):
                self._apply(records, appended.first)
                return ''
            self._log(appended)
            await trio.sleep(self._settings.store_retry_seconds)

    def _apply(self, records: tuple[KeyedRecord, ...], first: int) -> None:
        stored = tuple(
            KeyedRecord(record.key, record.value, first + index)
            for index, record in enumerate(records)
        )
        self._feed.apply_own(stored)

    def _log(self, result: AppendResult) -> None:
        LOG.say(
            'An append is repeated.',
            partition=self._holding.partition,
            result=repr(result),
        )
