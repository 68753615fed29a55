"""Writes to one partition under one term, in order and each append once.

A term begins by fencing all earlier ones and reading what they left.  An append
is repeated under its number until the store has it or the term has ended.
"""

from collections.abc import Awaitable, Callable

import trio

from tarragonlb.controller.membership import Holding
from tarragonlb.controller.ports import Store, Writer
from tarragonlb.controller.results import Deposed, Stored
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.telemetry.log import Log

LOG = Log('storage')


class TermWriter:
    """The only writer of a partition, for as long as its term lasts."""

    __slots__ = ('_holding', '_number', '_settings', '_store')

    def __init__(
        self, holding: Holding, store: Store, settings: ControllerSettings
    ) -> None:
        """Write to the partition of ``holding``."""
        self._holding = holding
        self._store = store
        self._settings = settings
        self._number = 0

    async def fence(self, refresh: Callable[[], Awaitable[bool]]) -> str:
        """End all former terms and read what they left with ``refresh``.

        Return why the term can't begin, or an empty text.
        """
        holding = self._holding
        while True:
            fenced = await self._store.fence(holding.partition, holding.term)
            if isinstance(fenced, Deposed):
                return fenced.reason
            if isinstance(fenced, Stored) and await refresh():
                return ''
            await trio.sleep(self._settings.store_retry_seconds)

    async def append(
        self, records: tuple[KeyedRecord, ...]
    ) -> Stored | Deposed:
        """Append records; repeat until the store has them."""
        writer = Writer(self._holding.term, self._number)
        self._number += 1
        while True:
            result = await self._store.append(
                self._holding.partition, records, writer
            )
            if isinstance(result, Stored | Deposed):
                return result
            LOG.say(
                'An append is repeated.',
                partition=self._holding.partition,
                result=repr(result),
            )
            await trio.sleep(self._settings.store_retry_seconds)
