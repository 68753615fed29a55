"""Reports drained workers to the owner of the fleet partition."""

import math
from collections.abc import Mapping

import trio

from tarragonlb.controller.ports import Clock, Store
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
# A report that is stored has been read by then.
REPEAT_SECONDS = 1.0


class DrainReporter:
    """Reports drained workers.

    An append that got no answer may still be carried out, after the report for
    a later request, so a report is repeated while the store shows another one.
    """

    __slots__ = ('_clock', '_reported_at', '_settings', '_store')

    def __init__(
        self, store: Store, settings: ControllerSettings, clock: Clock
    ) -> None:
        """Report through ``store``."""
        self._store = store
        self._settings = settings
        self._clock = clock
        # When each report was stored, infinite while it is being stored.
        self._reported_at: dict[DrainRequest, float] = {}

    def start_reports(
        self,
        nursery: trio.Nursery,
        fleet_state: FleetState,
        workers: Mapping[str, WorkerState],
    ) -> None:
        """Report the workers that have become empty, as tasks of a nursery."""
        for request in self.list_newly_drained(fleet_state, workers):
            nursery.start_soon(self.report, request)

    def list_newly_drained(
        self, fleet_state: FleetState, workers: Mapping[str, WorkerState]
    ) -> list[DrainRequest]:
        """Return the drain requests whose workers have become empty."""
        now = self._clock.read_monotonic()
        found = []
        for worker_id, request in fleet_state.drain_requests_by_worker.items():
            state = workers.get(worker_id)
            if state is None or self._is_reported(request, fleet_state, now):
                continue
            is_known = state.last_report_at is not None and not state.is_silent
            is_empty = not (state.attached or state.orphans)
            if state.is_drain_requested and is_known and is_empty:
                self._reported_at[request] = math.inf
                found.append(request)
        return found

    async def report(self, request: DrainRequest) -> None:
        """Store that a worker is drained, retrying until it is stored."""
        record = build_drained_record(request)
        while True:
            result = await self._store.append(FLEET_PARTITION, (record,), None)
            if isinstance(result, Stored):
                self._reported_at[request] = self._clock.read_monotonic()
                LOG.emit(
                    'Worker drained.',
                    vm=request.vm_id,
                    worker=request.worker_id,
                    wave=request.wave,
                )
                return
            await trio.sleep(self._settings.store_retry_seconds)

    def _is_reported(
        self, request: DrainRequest, fleet_state: FleetState, now: float
    ) -> bool:
        reported_at = self._reported_at.get(request)
        if reported_at is None:
            return False
        is_read = fleet_state.drained.get(request.vm_id) == request
        return is_read or now - reported_at < REPEAT_SECONDS
