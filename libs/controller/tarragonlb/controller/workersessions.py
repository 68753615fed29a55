"""The sessions of one owner with all workers of its pools."""

from collections.abc import Callable, Mapping

import trio

from tarragonlb.controller.events import Event
from tarragonlb.controller.fencingtoken import FencingTokens
from tarragonlb.controller.ordergate import WorkerAccess
from tarragonlb.controller.ports import Clock
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.controller.workersession import Order, WorkerSession
from tarragonlb.scheduling.orders import StartOrder
from tarragonlb.scheduling.worker import WorkerState

LeaseChooser = Callable[[], float]


class WorkerSessions:
    """Starts and ends sessions as workers come and go."""

    __slots__ = ('_clock', '_sessions', '_settings', '_tokens', '_workers')

    def __init__(
        self,
        term: int,
        workers: WorkerAccess,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Start without sessions; all calls are sent in ``term``."""
        self._tokens = FencingTokens(term)
        self._workers = workers
        self._settings = settings
        self._clock = clock
        self._sessions: dict[str, WorkerSession] = {}

    def update(
        self,
        workers: Mapping[str, WorkerState],
        nursery: trio.Nursery,
        inbox: trio.MemorySendChannel[Event],
        limit_leases: Callable[[str], LeaseChooser],
        is_still_wanted: Callable[[StartOrder], bool],
    ) -> None:
        """Hold a session with each of the workers and with no other.

        ``limit_leases`` returns, for a worker id, the function that chooses how
        long leases may be granted on that worker.
        """
        for worker_id in tuple(self._sessions):
            if worker_id not in workers:
                self._sessions.pop(worker_id).scope.cancel()
        for worker_id, state in workers.items():
            session = self._sessions.get(worker_id)
            if session is not None:
                session.worker = state.entry
            elif state.entry.address:
                session = WorkerSession(
                    state.entry,
                    self._tokens,
                    self._workers,
                    self._settings,
                    self._clock,
                )
                self._sessions[worker_id] = session
                nursery.start_soon(
                    session.run,
                    inbox,
                    limit_leases(worker_id),
                    is_still_wanted,
                )

    def enqueue(self, order: Order) -> bool:
        """Queue an order to its worker; return whether it will be sent."""
        session = self._sessions.get(order.worker_id)
        return session is not None and session.enqueue(order)

    def acknowledge_ends(
        self, end_acks: Mapping[str, tuple[int | None, int]]
    ) -> None:
        """Let workers forget the ends that are stored.

        ``end_acks`` maps a worker id to its incarnation and the number of the
        last such end.
        """
        for worker_id, (incarnation, number) in end_acks.items():
            session = self._sessions.get(worker_id)
            if session is not None:
                session.acknowledge_ends(incarnation, number)
