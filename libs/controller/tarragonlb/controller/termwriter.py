"""Writes to one partition under one term, in order and each append once.

A term begins by fencing all earlier ones and reading what they left.  An append
is repeated under its number until the store has it or the term has ended.
"""

from collections.abc import Awaitable, Callable

import trio

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.ports import AppendKey, Store
from tarragonlb.controller.results import Fenced, Stored
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.telemetry.log import Log

LOG = Log('storage')


class TermWriter:
    """The only append_key of a partition, for as long as its term lasts."""

    __slots__ = ('_next_sequence', '_owned', '_settings', '_store')

    def __init__(
        self, owned: OwnedPartition, store: Store, settings: ControllerSettings
    ) -> None:
        """Write to the partition of ``holding``."""
        self._owned = owned
        self._store = store
        self._settings = settings
        self._next_sequence = 0

    async def fence(self, refresh: Callable[[], Awaitable[bool]]) -> str:
        """End all former terms and read what they left with ``refresh``.

        Return why the term can't begin, or an empty text.
        """
        owned = self._owned
        while True:
            fenced = await self._store.fence(owned.partition, owned.term)
            if isinstance(fenced, Fenced):
                return fenced.reason
            if isinstance(fenced, Stored) and await refresh():
                return ''
            await trio.sleep(self._settings.store_retry_seconds)

    async def append(self, records: tuple[KeyedRecord, ...]) -> Stored | Fenced:
        """Append records; repeat until the store has them."""
        append_key = AppendKey(self._owned.term, self._next_sequence)
        self._next_sequence += 1
        while True:
            result = await self._store.append(
                self._owned.partition, records, append_key
            )
            if isinstance(result, Stored | Fenced):
                return result
            LOG.say(
                'An append is repeated.',
                partition=self._owned.partition,
                result=repr(result),
            )
            await trio.sleep(self._settings.store_retry_seconds)
