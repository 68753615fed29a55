"""Publishes the demand of a partition's pools to the fleet's owner."""

import trio

from tarragonlb.controller.clock import read_moment
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Store
from tarragonlb.controller.results import Stored
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.controller.waitpublisher import WaitPublisher
from tarragonlb.scheduling.demand import measure_load
from tarragonlb.scheduling.fleetrecords import (
    PoolLoad,
    build_load_record,
)
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.records import KeyedRecord

# The fleet's owner makes decisions a few times a second.
PUBLISH_INTERVAL_SECONDS = 0.2
# A load that is stored has been read by then.
REPEAT_SECONDS = 1.0


class LoadPublisher:
    """Writes the loads that have changed, at a limited rate.

    An append that got no answer may still be carried out, after later ones, so
    a load is written again while the store shows another one.  The waits of new
    jobs are published beside them where the settings say so.
    """

    __slots__ = (
        '_checked_at',
        '_published',
        '_store',
        '_view',
        '_wait_publisher',
    )

    def __init__(
        self,
        owned: OwnedPartition,
        store: Store,
        view: PlatformView,
        settings: ControllerSettings,
    ) -> None:
        """Publish through ``store`` for one term."""
        self._store = store
        self._view = view
        self._wait_publisher = WaitPublisher(owned, store, view, settings)
        # By pool: the newest load, and when it was written.
        self._published: dict[str, tuple[PoolLoad, float]] = {}
        self._checked_at = 0.0

    def start_reports(
        self, nursery: trio.Nursery, state: PartitionState, clock: Clock
    ) -> None:
        """Store what is due."""
        moment = read_moment(clock)
        for record in self.list_changed(state, moment.seconds):
            nursery.start_soon(self.publish, record)
        self._wait_publisher.start_reports(nursery, state, moment)

    def list_changed(
        self, partition_state: PartitionState, now: float
    ) -> list[KeyedRecord]:
        """Return records of the loads that are not published."""
        if now - self._checked_at < PUBLISH_INTERVAL_SECONDS:
            return []
        self._checked_at = now
        found = []
        names = {
            worker.entry.pool for worker in partition_state.workers.values()
        }
        names.update(
            state.job.pool for state in partition_state.open_jobs.values()
        )
        for name in sorted(names):
            load = measure_load(partition_state, name)
            if load is not None and not self._is_published(name, load, now):
                self._published[name] = (load, now)
                found.append(build_load_record(name, load))
        return found

    async def publish(self, record: KeyedRecord) -> None:
        """Store a load; after a failure all loads are published again."""
        result = await self._store.append(FLEET_PARTITION, (record,), None)
        if not isinstance(result, Stored):
            self._published.clear()

    def _is_published(self, pool: str, load: PoolLoad, now: float) -> bool:
        published, written_at = self._published.get(pool, (None, now))
        if published != load:
            return False
        is_read = self._view.fleet_state.loads.get(pool) == load
        return is_read or now - written_at < REPEAT_SECONDS
