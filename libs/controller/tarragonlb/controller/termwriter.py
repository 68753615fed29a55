"""Writes to one partition in one term, in order and each append exactly once.

A term starts by fencing all earlier ones and reading the records they left.
An append is retried with the same number until it is stored or the term has
ended.
"""

from collections.abc import Awaitable, Callable

import trio

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.ports import AppendKey, Store, Topic
from tarragonlb.controller.results import Fenced, Stored
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.telemetry.log import Log

LOG = Log('storage')


class TermWriter:
    """The exclusive writer of a partition for as long as its term lasts."""

    __slots__ = ('_next_sequence', '_owned', '_settings', '_store', '_topic')

    def __init__(
        self,
        owned: OwnedPartition,
        store: Store,
        settings: ControllerSettings,
        topic: Topic = Topic.JOBS,
    ) -> None:
        """Write to the partition ``owned`` of a topic."""
        self._topic = topic
        self._owned = owned
        self._store = store
        self._settings = settings
        self._next_sequence = 0

    async def fence(self, refresh: Callable[[], Awaitable[bool]]) -> str:
        """Fence all earlier terms and read their records with ``refresh``.

        Return why the term can't start, '' if it has started.
        """
        owned = self._owned
        while True:
            fenced = await self._store.fence(
                owned.partition, owned.term, self._topic
            )
            if isinstance(fenced, Fenced):
                return fenced.reason
            if isinstance(fenced, Stored) and await refresh():
                return ''
            await trio.sleep(self._settings.store_retry_seconds)

    async def append(self, records: tuple[KeyedRecord, ...]) -> Stored | Fenced:
        """Append records, retrying until they are stored or fenced."""
        append_key = AppendKey(self._owned.term, self._next_sequence)
        self._next_sequence += 1
        while True:
            result = await self._store.append(
                self._owned.partition, records, append_key, self._topic
            )
            if isinstance(result, Stored | Fenced):
                return result
            LOG.emit(
                'Retrying an append.',
                partition=self._owned.partition,
                result=repr(result),
            )
            await trio.sleep(self._settings.store_retry_seconds)
