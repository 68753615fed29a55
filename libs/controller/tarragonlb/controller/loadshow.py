"""Tells the fleet's owner how much the pools of a partition ask for."""

from tarragonlb.controller.ports import Store
from tarragonlb.controller.results import Stored
from tarragonlb.controller.settings import FLEET_PARTITION
from tarragonlb.scheduling.demand import measure_load
from tarragonlb.scheduling.fleetrecords import (
    PoolLoad,
    build_load_record,
)
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.records import KeyedRecord

# The fleet's owner decides a few times a second.
SHOW_SECONDS = 0.2


class LoadShow:
    """Writes the loads that have changed, a few times a second at most."""

    __slots__ = ('_shown', '_shown_at', '_store')

    def __init__(self, store: Store) -> None:
        """Write through ``store``."""
        self._store = store
        self._shown: dict[str, PoolLoad] = {}
        self._shown_at = 0.0

    def list_changed(
        self, pool: PartitionState, now: float
    ) -> list[KeyedRecord]:
        """Return the records of loads that differ from those shown."""
        if now - self._shown_at < SHOW_SECONDS:
            return []
        self._shown_at = now
        found = []
        names = {worker.entry.pool for worker in pool.workers.values()}
        for name in sorted(names):
            load = measure_load(pool, name)
            if load is not None and load != self._shown.get(name):
                self._shown[name] = load
                found.append(build_load_record(name, load))
        return found

    async def announce(self, record: KeyedRecord) -> None:
        """Store a load; a lost one is followed by the next."""
        result = await self._store.append(FLEET_PARTITION, (record,), None)
        if not isinstance(result, Stored):
            self._shown.clear()
