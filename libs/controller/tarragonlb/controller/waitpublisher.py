"""Publishes the waits of new jobs in the pools of one partition.

Nothing is written unless a pool is full and somebody waits, and one record
after that says that nobody waits any more.
"""

import trio

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Store
from tarragonlb.controller.results import Stored
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.scheduling.job import Moment
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.poolbacklog import BacklogMeter
from tarragonlb.scheduling.waitforecast import PoolWaits, WaitForecast
from tarragonlb.scheduling.waitrecords import StoredWaits, build_wait_record

# Readers read four times a second.
PUBLISH_INTERVAL_SECONDS = 0.2
# A figure counts for a second after it was read, up to 0.25 s after it was
# stored.
REPEAT_SECONDS = 0.5


class _PublishedPool:
    """The meters of one pool, and what was last published."""

    __slots__ = ('forecast', 'is_storing', 'meter', 'published', 'published_at')

    def __init__(self, pool: str, now: float, *, is_stored: bool) -> None:
        """Start; ``is_stored`` if a former owner's waits must be cleared."""
        self.meter = BacklogMeter(pool, now)
        self.forecast = WaitForecast()
        # A former owner's waits are unknown, and differ from all others.
        self.published = PoolWaits(clears_in=-1) if is_stored else None
        self.published_at = now - REPEAT_SECONDS
        self.is_storing = False

    def is_due(self, waits: PoolWaits | None, now: float) -> bool:
        """Return whether a record is to be written."""
        if self.is_storing:
            return False
        if waits != self.published:
            return True
        return waits is not None and now - self.published_at >= REPEAT_SECONDS


class WaitPublisher:
    """Writes the waits of one term's pools, at a limited rate."""

    __slots__ = (
        '_is_enabled',
        '_next_at',
        '_owned',
        '_pools',
        '_store',
        '_view',
    )

    def __init__(
        self,
        owned: OwnedPartition,
        store: Store,
        view: PlatformView,
        settings: ControllerSettings,
    ) -> None:
        """Publish through ``store`` if the settings enable it."""
        self._owned = owned
        self._store = store
        self._view = view
        self._is_enabled = settings.rejects_hopeless_jobs
        self._next_at = 0.0
        self._pools: dict[str, _PublishedPool] = {}

    def start_reports(
        self, nursery: trio.Nursery, state: PartitionState, moment: Moment
    ) -> None:
        """Store the waits that are due."""
        now = moment.seconds
        if not self._is_enabled or now < self._next_at:
            return
        self._next_at = now + PUBLISH_INTERVAL_SECONDS
        names = {queue.pool for queue in state.queues.values()}
        for name in sorted(names):
            if self._view.find_partition(name) != self._owned.partition:
                continue
            waits = self._measure(name, state, moment)
            if self._pools[name].is_due(waits, now):
                self._pools[name].is_storing = True
                nursery.start_soon(self._publish, name, waits, now)

    def _measure(
        self, name: str, state: PartitionState, moment: Moment
    ) -> PoolWaits | None:
        now = moment.seconds
        pool = self._pools.get(name)
        if pool is None:
            is_stored = self._view.fleet_state.waits.is_stored(name)
            pool = _PublishedPool(name, now, is_stored=is_stored)
            self._pools[name] = pool
        queues = [
            queue for queue in state.queues.values() if queue.pool == name
        ]
        backlog = pool.meter.measure(state, moment)
        waits = pool.forecast.forecast(backlog, queues, state.tenants, now)
        return None if waits.is_clear else waits

    async def _publish(
        self, name: str, waits: PoolWaits | None, now: float
    ) -> None:
        """Store waits; what could not be stored is due again."""
        pool = self._pools[name]
        record = build_wait_record(name, StoredWaits(self._owned.term, waits))
        result = await self._store.append(FLEET_PARTITION, (record,), None)
        pool.is_storing = False
        if isinstance(result, Stored):
            pool.published = waits
            pool.published_at = now
        else:
            # The record may have been stored all the same.
            pool.published = PoolWaits(clears_in=-1)
