"""Keeps an owner's leases within the bounds on which the next owner relies.

While a worker has a stored bound, its leases are not extended.  At the end of a
term the bounds of silent workers are stored once more, so that the next owner
does not count again what this one has waited.
"""

import functools
from collections.abc import Callable

import trio

from tarragonlb.controller import events
from tarragonlb.controller.decisionlog import DecisionLog
from tarragonlb.controller.decisionstorage import DecisionStorage
from tarragonlb.scheduling.orders import SchedulingDecision
from tarragonlb.scheduling.scheduler import Scheduler

# The handover of a partition waits for its last append no longer than this.
LAST_APPEND_SECONDS = 0.2


class LeaseHandover:
    """Limits the leases of one owner and hands their bounds over."""

    __slots__ = ('_decision_log', '_scheduler', '_storage')

    def __init__(
        self,
        scheduler: Scheduler,
        storage: DecisionStorage,
        decision_log: DecisionLog,
    ) -> None:
        """Hand over the bounds of ``scheduler`` through ``storage``."""
        self._scheduler = scheduler
        self._storage = storage
        self._decision_log = decision_log

    def limit_leases(
        self, worker_id: str, lease_seconds: Callable[[], float]
    ) -> Callable[[], float]:
        """Return a function like ``lease_seconds`` for one worker.

        It returns 0 while the worker has a stored bound.
        """
        return functools.partial(
            self._choose_lease_seconds, worker_id, lease_seconds
        )

    async def store_last_bounds(
        self, inbox: trio.MemoryReceiveChannel[events.Event], now: float
    ) -> None:
        """Store the bounds of silent workers after all sessions have ended.

        ``inbox`` may hold news of workers: one that has just answered may have
        got a longer lease.
        """
        while True:
            try:
                event = inbox.receive_nowait()
            except trio.WouldBlock:
                break
            match event:
                case events.TermEnded():
                    return
                case events.ReportReceived():
                    self._scheduler.reconciler.apply_report(event.report)
                case events.WorkerSilent():
                    self._scheduler.reconciler.note_silence(
                        event.worker_id,
                        event.lease_until,
                        now,
                        event.unread_lease_until,
                    )
        changes = self._scheduler.bound_keeper.decide_last(now)
        if changes.is_empty:
            return
        self._decision_log.log_bounds(changes)
        with trio.move_on_after(LAST_APPEND_SECONDS, shield=True):
            decision = SchedulingDecision(bound_changes=changes)
            await self._storage.store(decision, now)

    def _choose_lease_seconds(
        self, worker_id: str, lease_seconds: Callable[[], float]
    ) -> float:
        if not self._scheduler.may_extend_lease(worker_id):
            return 0
        return lease_seconds()
