"""Writes records on the ownership of partitions.

They are hints that are written again soon, so a failure is only logged.
"""

from collections.abc import Iterable

import trio

from tarragonlb.controller.dependencylog import DependencyLog
from tarragonlb.controller.ports import Store
from tarragonlb.controller.results import Stored
from tarragonlb.controller.settings import FLEET_PARTITION
from tarragonlb.scheduling.ownershiprecords import (
    OwnerOffer,
    OwnerStatus,
    build_offer_record,
    build_owner_record,
)
from tarragonlb.scheduling.records import KeyedRecord


class OwnershipWriter:
    """Writes statuses of owners and offers to them."""

    __slots__ = ('_dependency_log', '_store')

    def __init__(self, store: Store) -> None:
        """Write to ``store``."""
        self._store = store
        self._dependency_log = DependencyLog('statuses of owners')

    async def write_statuses(self, statuses: Iterable[OwnerStatus]) -> None:
        """Write statuses, if there are any, in one call."""
        records = tuple(build_owner_record(status) for status in statuses)
        if records:
            await self._write(records)

    async def write_offer(self, offer: OwnerOffer) -> None:
        """Write an offer."""
        await self._write((build_offer_record(offer),))

    async def _write(self, records: tuple[KeyedRecord, ...]) -> None:
        stored = await self._store.append(FLEET_PARTITION, records, None)
        now = trio.current_time()
        if isinstance(stored, Stored):
            self._dependency_log.record_success(now)
        else:
            self._dependency_log.record_failure(stored.reason, now)
