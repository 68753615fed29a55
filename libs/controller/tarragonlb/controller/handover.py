"""Tells the fleet's owner which closing workers are empty."""

from collections.abc import Mapping

import trio

from tarragonlb.controller.ports import Store
from tarragonlb.controller.results import Stored
from tarragonlb.controller.settings import FLEET_PARTITION, ControllerSettings
from tarragonlb.scheduling.fleetrecords import (
    DrainRequest,
    build_drained_record,
)
from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.worker import WorkerState
from tarragonlb.telemetry.log import Log

LOG = Log('handover')


class HandOver:
    """Announces each empty worker once."""

    __slots__ = ('_announced', '_settings', '_store')

    def __init__(self, store: Store, settings: ControllerSettings) -> None:
        """Announce through ``store``."""
        self._store = store
        self._settings = settings
        self._announced: set[DrainRequest] = set()

    def list_new(
        self, board: FleetState, workers: Mapping[str, WorkerState]
    ) -> list[DrainRequest]:
        """Return the workers that have become empty."""
        found = []
        for worker_id, closing in board.drain_requests_by_worker.items():
            state = workers.get(worker_id)
            if state is None or closing in self._announced:
                continue
            is_known = state.last_report_at is not None and not state.is_silent
            is_empty = not (state.attached or state.orphans)
            if state.is_drain_requested and is_known and is_empty:
                self._announced.add(closing)
                found.append(closing)
        return found

    async def announce(self, closing: DrainRequest) -> None:
        """Store that a worker is empty; repeat until it is stored."""
        record = build_drained_record(closing)
        while True:
            result = await self._store.append(FLEET_PARTITION, (record,), None)
            if isinstance(result, Stored):
                LOG.say(
                    'A closing worker is empty.',
                    vm=closing.vm_id,
                    worker=closing.worker_id,
                    wave=closing.wave,
                )
                return
            await trio.sleep(self._settings.store_retry_seconds)
