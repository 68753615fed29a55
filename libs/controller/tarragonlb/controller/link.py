"""Everything that is said to one worker, by a few tasks.

One task looks at the worker all the time, which extends the leases of what
runs there; a few senders carry orders.  All answers go to the owner's inbox.
"""

from collections.abc import Callable

import trio

from tarragonlb.controller.events import (
    Answered,
    Event,
    LifeEnded,
    Reported,
    Silent,
    TermEnded,
)
from tarragonlb.controller.lease import WorkerLease
from tarragonlb.controller.ports import Clock, Look, LookAnswer, Workers
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.orders import (
    OrderResult,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from tarragonlb.scheduling.worker import Worker
from tarragonlb.telemetry.log import Log

LOG = Log('worker')
# A worker has room for a few hundred tasks; more orders are not waiting.
MAX_WAITING_ORDERS = 2000
# One answer may be lost; a second one in a row shows that more is wrong.
FAILURES_OF_SILENCE = 2

Order = StartOrder | StopOrder | PaceOrder


class WorkerLink:
    """Speaks to one worker during one term."""

    __slots__ = (
        '_clock',
        '_inbox',
        '_lease',
        '_lease_seconds',
        '_orders',
        '_seen',
        '_settings',
        '_term',
        '_waiting',
        '_wants_order',
        '_workers',
        'scope',
        'worker',
    )

    def __init__(
        self,
        worker: Worker,
        term: int,
        workers: Workers,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Prepare to speak to ``worker`` under ``term``."""
        self.worker = worker
        self.scope = trio.CancelScope()
        self._term = term
        self._workers = workers
        self._settings = settings
        self._clock = clock
        self._lease = WorkerLease()
        self._seen: tuple[int | None, int] = (None, 0)
        self._orders, self._waiting = trio.open_memory_channel[Order](
            MAX_WAITING_ORDERS
        )

    async def run(
        self,
        inbox: trio.MemorySendChannel[Event],
        lease_seconds: Callable[[], float],
        wants_order: Callable[[StartOrder], bool],
    ) -> None:
        """Speak to the worker until the scope is cancelled."""
        self._inbox = inbox
        self._lease_seconds = lease_seconds
        self._wants_order = wants_order
        with self.scope:
            async with trio.open_nursery() as nursery:
                for _ in range(self._settings.order_senders):
                    nursery.start_soon(self._send_orders)
                await self._look_always()

    def allow_forgetting(self, born: int | None, number: int) -> None:
        """Let the worker of this birth forget its ends up to a number."""
        self._seen = (born, number)

    def give(self, order: Order) -> bool:
        """Queue an order; return False if too many are waiting."""
        try:
            self._orders.send_nowait(order)
        except trio.WouldBlock:
            return False
        return True

    async def _look_always(self) -> None:
        settings = self._settings
        born: int | None = None
        failures = FAILURES_OF_SILENCE
        while True:
            answer = await self._look(born, failures)
            if isinstance(answer, LookAnswer):
                born = answer.report.incarnation
                failures = 0
                await self._inbox.send(Reported(answer.report))
                await trio.sleep(settings.look_pause_seconds)
                continue
            failures += 1
            if failures >= FAILURES_OF_SILENCE:
                await self._report_failure(answer)
                await trio.sleep(settings.look_retry_seconds)

    async def _look(
        self, born: int | None, failures: int
    ) -> LookAnswer | OrderResult:
        settings = self._settings
        until_ms = self._grant(failures)
        seen_born, seen_end = self._seen
        question = Look(
            worker=self.worker,
            term=self._term,
            seen_end=seen_end if seen_born == born else 0,
            lease_until_ms=until_ms,
            wait_seconds=0 if failures else settings.look_wait_seconds,
        )
        answer = await self._workers.look(question)
        if isinstance(answer, LookAnswer):
            self._lease.note_answer(answer.clock_ms, answer.report.received_at)
        return answer

    def _grant(self, failures: int) -> int | None:
        seconds = self._lease_seconds()
        if not seconds:
            return None
        if failures:
            return self._lease.granted_ms
        return self._lease.extend(self._clock.read_steady(), seconds)

    async def _report_failure(self, result: OrderResult) -> None:
        worker_id = self.worker.worker_id
        if result is OrderResult.FENCED:
            await self._inbox.send(TermEnded('a worker saw a later owner'))
        elif result is OrderResult.OTHER_INCARNATION:
            await self._inbox.send(LifeEnded(worker_id))
        else:
            end = self._lease.bound_end()
            await self._inbox.send(Silent(worker_id, end))

    async def _send_orders(self) -> None:
        async for order in self._waiting:
            if isinstance(order, StartOrder):
                result = await self._start(order)
            elif isinstance(order, StopOrder):
                result = await self._workers.stop(
                    self.worker, order, self._term
                )
            else:
                result = await self._workers.pace(
                    self.worker, order, self._term
                )
            if result is OrderResult.FENCED:
                await self._inbox.send(TermEnded('a worker saw a later owner'))
            await self._inbox.send(Answered(order, result))

    async def _start(self, order: StartOrder) -> OrderResult:
        until_ms = self._lease.granted_ms
        if until_ms is None or not self._lease_seconds():
            return OrderResult.REFUSED
        if not self._wants_order(order):
            return OrderResult.REFUSED
        return await self._workers.start(
            self.worker, order, self._term, until_ms
        )
