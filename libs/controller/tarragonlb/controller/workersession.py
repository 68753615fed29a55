"""Sends status requests and orders to one worker.

One trio task polls the worker's status continuously, which also extends the
leases of the attempts that run there; a few more send orders.  All results go
to the owner's inbox.
"""

from collections.abc import Callable
from types import MappingProxyType

import trio

from tarragonlb.controller.calllog import Call
from tarragonlb.controller.contact import WorkerContact
from tarragonlb.controller.events import (
    Event,
    OrderAnswered,
    ReportReceived,
    TermEnded,
    WorkerReplaced,
    WorkerSilent,
)
from tarragonlb.controller.fencingtoken import FencingTokens
from tarragonlb.controller.ordergate import WorkerAccess
from tarragonlb.controller.ports import (
    Clock,
    OrderReply,
    StatusReply,
    StatusRequest,
)
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.orders import (
    OrderResult,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from tarragonlb.scheduling.worker import Worker, WorkerReport
from tarragonlb.telemetry.log import Log

LOG = Log('worker')
# A worker runs at most a few hundred tasks, so fewer orders are ever queued.
MAX_QUEUED_ORDERS = 2000
# A single reply may get lost; two failures in a row indicate a real problem.
SILENT_AFTER_FAILURES = 2

Order = StartOrder | StopOrder | PaceOrder
KIND_BY_ORDER = MappingProxyType(
    {StartOrder: 'start', StopOrder: 'stop', PaceOrder: 'pace'}
)


class WorkerSession:
    """Communicates with one worker during one term."""

    __slots__ = (
        '_acknowledgement',
        '_clock',
        '_contact',
        '_inbox',
        '_is_still_wanted',
        '_lease_seconds',
        '_order_receiver',
        '_order_sender',
        '_settings',
        '_workers',
        'scope',
        'worker',
    )

    def __init__(
        self,
        worker: Worker,
        tokens: FencingTokens,
        workers: WorkerAccess,
        settings: ControllerSettings,
        clock: Clock,
    ) -> None:
        """Prepare to send orders to ``worker`` under ``tokens``."""
        self.worker = worker
        self.scope = trio.CancelScope()
        self._workers = workers
        self._settings = settings
        self._clock = clock
        self._contact = WorkerContact(
            worker.worker_id, tokens, settings.scheduling
        )
        self._acknowledgement = trio.Event()
        self._order_sender, self._order_receiver = trio.open_memory_channel[
            Order
        ](MAX_QUEUED_ORDERS)

    async def run(
        self,
        inbox: trio.MemorySendChannel[Event],
        lease_seconds: Callable[[], float],
        is_still_wanted: Callable[[StartOrder], bool],
    ) -> None:
        """Poll the worker and send orders until the scope is cancelled.

        ``lease_seconds`` returns how long leases may be granted now, 0 if not
        at all.  Start orders for which ``is_still_wanted`` returns false are
        not sent and count as refused.
        """
        self._inbox = inbox
        self._lease_seconds = lease_seconds
        self._is_still_wanted = is_still_wanted
        with self.scope:
            async with trio.open_nursery() as nursery:
                for _ in range(self._settings.order_senders):
                    nursery.start_soon(self._send_orders)
                await self._poll_forever()

    def acknowledge_ends(self, incarnation: int | None, number: int) -> None:
        """Acknowledge the ends of an incarnation up to ``number``."""
        self._contact.acknowledge_ends(incarnation, number)
        self._acknowledgement.set()

    def enqueue(self, order: Order) -> bool:
        """Queue an order; return False if the queue is full."""
        try:
            self._order_sender.send_nowait(order)
        except trio.WouldBlock:
            return False
        return True

    async def _poll_forever(self) -> None:
        settings = self._settings
        failures = SILENT_AFTER_FAILURES
        while True:
            reply = await self._poll(failures)
            if isinstance(reply, StatusReply):
                failures = 0
                await self._inbox.send(ReportReceived(reply.report))
                await self._pause(reply.report)
                continue
            if reply is None:
                continue
            failures += 1
            if failures >= SILENT_AFTER_FAILURES:
                await self._report_failure(reply)
                await trio.sleep(settings.poll_retry_seconds)

    async def _pause(self, report: WorkerReport) -> None:
        """Wait before the next poll.

        The worker answers at once while it lists ends that are not
        acknowledged, so acknowledgements are awaited.
        """
        now = self._clock.read_monotonic()
        lease_seconds = self._contact.lease.compute_remaining(now)
        poll_at = self._workers.poll_budget.plan(now, lease_seconds)
        is_urgent = lease_seconds < self._settings.urgent_lease_seconds
        if report.ended and not is_urgent:
            with trio.move_on_after(self._settings.max_poll_pause_seconds):
                await self._wait_for_acknowledgement(report)
        await trio.sleep(max(poll_at - self._clock.read_monotonic(), 0))

    async def _wait_for_acknowledgement(self, report: WorkerReport) -> None:
        while not self._contact.has_acknowledged(report):
            self._acknowledgement = trio.Event()
            await self._acknowledgement.wait()

    async def _poll(self, failures: int) -> StatusReply | OrderResult | None:
        """Ask for a report, without a wait if that settles open calls.

        Return None if a newer call of this session has shut the request out.
        """
        settings = self._settings
        until_ms = self._extend_lease(failures)
        must_settle = failures or self._contact.has_open_calls
        wait_seconds = 0.0 if must_settle else settings.poll_wait_seconds
        if until_ms is None:
            # Leases may be extended again at any moment.
            wait_seconds = min(wait_seconds, settings.poll_retry_seconds)
        call = self._contact.begin_status(until_ms)
        request = StatusRequest(
            worker=self.worker,
            token=call.token,
            acknowledged_end=call.acknowledged_end,
            lease_until_ms=until_ms,
            wait_seconds=wait_seconds,
        )
        reply = await self._workers.api.poll_status(request)
        if isinstance(reply, StatusReply):
            self._contact.note_report(call, reply)
        else:
            now = self._clock.read_monotonic()
            self._contact.note_failure(call, reply, failures, now)
            if self._is_shut_out(call, reply):
                return None
        return reply

    def _extend_lease(self, failures: int) -> int | None:
        seconds = self._lease_seconds()
        # The worker may have restarted, with a clock that is not known.
        if failures or not seconds:
            return None
        return self._contact.lease.extend(self._clock.read_monotonic(), seconds)

    async def _report_failure(self, result: OrderResult) -> None:
        worker_id = self.worker.worker_id
        if result is OrderResult.FENCED:
            await self._inbox.send(TermEnded('a worker saw a later owner'))
        elif result is OrderResult.OTHER_INCARNATION:
            await self._inbox.send(WorkerReplaced(worker_id))
        else:
            silent = WorkerSilent(
                worker_id,
                self._contact.lease.compute_expiry(),
                self._contact.compute_unread_expiry(),
            )
            await self._inbox.send(silent)

    async def _send_orders(self) -> None:
        async for order in self._order_receiver:
            async with self._workers.gate.enter() as entered_at:
                answered = await self._send_order(order)
                if answered.result is OrderResult.DONE:
                    self._workers.gate.record_answer(entered_at)
            if answered.result is OrderResult.FENCED:
                await self._inbox.send(TermEnded('a worker saw a later owner'))
            await self._inbox.send(answered)

    async def _send_order(self, order: Order) -> OrderAnswered:
        """Send an order, again if a newer call of this session overtook it."""
        while True:
            until_ms: int | None = None
            if isinstance(order, StartOrder):
                until_ms = self._choose_start_lease(order)
                if until_ms is None:
                    return OrderAnswered(order, OrderResult.WITHHELD)
            call = self._contact.begin_order(
                KIND_BY_ORDER[type(order)],
                f'{order.key} {order.attempt}',
                until_ms,
            )
            reply = await self._call(order, call.token, until_ms or 0)
            now = self._clock.read_monotonic()
            result = self._contact.note_order_reply(call, reply, now)
            if not self._is_shut_out(call, result):
                return OrderAnswered(order, result, call.token)

    def _choose_start_lease(self, order: StartOrder) -> int | None:
        """Return the lease of a start, None if it may not be sent."""
        if not (self._lease_seconds() and self._is_still_wanted(order)):
            return None
        return self._contact.lease.granted_until_ms

    def _is_shut_out(self, call: Call, result: OrderResult) -> bool:
        return result is OrderResult.FENCED and self._contact.is_outdated(call)

    async def _call(
        self, order: Order, token: int, lease_until_ms: int
    ) -> OrderReply:
        api = self._workers.api
        if isinstance(order, StartOrder):
            return await api.start(self.worker, order, token, lease_until_ms)
        if isinstance(order, StopOrder):
            return await api.stop(self.worker, order, token)
        return await api.pace(self.worker, order, token)
