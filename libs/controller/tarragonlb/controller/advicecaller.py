"""Calls the placement policy service for one owner.

Only an owner with jobs on queues with advice sends or logs anything here.
"""

import random
from collections import Counter
from dataclasses import dataclass

import trio

from tarragonlb.controller import events
from tarragonlb.controller.clock import read_moment
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.ports import Clock, PlacementAdvisor
from tarragonlb.scheduling.advice import (
    AdviceAnswer,
    AdviceCall,
    AdviceCallLimit,
    AdviceOutcome,
)
from tarragonlb.scheduling.adviceplanner import AdvicePlanner
from tarragonlb.scheduling.orders import (
    OrderResult,
    PaceOrder,
    StartOrder,
    StopOrder,
)
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.policies import WorkerFilter
from tarragonlb.scheduling.ticketbook import TicketBook
from tarragonlb.telemetry.fleetmetrics import (
    ADVICE_CALLS,
    FLEET_METER,
    STEPS_UNADVISED,
    TICKETS_HELD,
    TICKETS_REFUSED,
)
from tarragonlb.telemetry.log import Log

LOG = Log('advice')
REPORT_INTERVAL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class AdviceAccess:
    """How all owners of a process call the placement policy service."""

    advisor: PlacementAdvisor
    limit: AdviceCallLimit
    # Jitter of backoffs.
    source: random.Random


def build_advice_access(
    advisor: PlacementAdvisor | None, member: str
) -> AdviceAccess | None:
    """Return the access of a process, None without such a service."""
    if advisor is None:
        return None
    return AdviceAccess(advisor, AdviceCallLimit(), random.Random(member))


class AdviceCaller:
    """Sends the calls of one owner and keeps the tickets, for one term."""

    __slots__ = (
        '_access',
        '_book',
        '_clock',
        '_outcomes',
        '_owned',
        '_planner',
        '_refused',
        '_reported_at',
    )

    def __init__(
        self, access: AdviceAccess | None, owned: OwnedPartition, clock: Clock
    ) -> None:
        """Start without tickets; without ``access`` nothing is ever asked."""
        self._access = access
        self._owned = owned
        self._clock = clock
        self._book = TicketBook()
        self._planner = None
        if access is not None:
            self._planner = AdvicePlanner(
                self._book, access.limit, access.source
            )
        self._outcomes: Counter[str] = Counter()
        self._refused = 0
        self._reported_at = clock.read_monotonic()

    @property
    def filters(self) -> tuple[WorkerFilter, ...]:
        """Return what limits the owner's placements."""
        return () if self._access is None else (self._book,)

    def start_calls(
        self,
        nursery: trio.Nursery,
        inbox: trio.MemorySendChannel[events.Event],
        partition_state: PartitionState,
    ) -> None:
        """Start the calls that are due after a round."""
        if self._planner is None:
            return
        moment = read_moment(self._clock)
        for call in self._planner.plan(partition_state, moment):
            nursery.start_soon(self._ask, call, inbox)
        self._report_if_due(moment.seconds)

    def apply_answer(
        self, event: events.AdviceAnswered, partition_state: PartitionState
    ) -> None:
        """Apply the result of a call; the step's pool is looked at again."""
        if self._planner is None:
            return
        outcome = self._planner.apply_answer(
            event.call,
            event.answer,
            event.sent_at,
            self._clock.read_monotonic(),
        )
        FLEET_METER.count(ADVICE_CALLS, outcome.value)
        self._outcomes[outcome.value] += 1
        partition_state.changed_pools.add(event.call.pool)

    def note_result(
        self, order: StartOrder | StopOrder | PaceOrder, result: OrderResult
    ) -> None:
        """Drop the ticket of a start that was refused for it."""
        if result is not OrderResult.TICKET_REFUSED:
            return
        if isinstance(order, StartOrder):
            self._book.drop_ticket(order)
            FLEET_METER.count(TICKETS_REFUSED)
            self._refused += 1

    async def _ask(
        self, call: AdviceCall, inbox: trio.MemorySendChannel[events.Event]
    ) -> None:
        if self._access is None:
            return
        sent_at = self._clock.read_monotonic()
        answer = AdviceAnswer(AdviceOutcome.SILENT)
        try:
            # Also bounds a response that arrives in many small parts.
            with trio.move_on_after(2 * call.timeout_seconds):
                answer = await self._access.advisor.ask(call)
        finally:
            self._access.limit.leave(call.queue)
        await inbox.send(events.AdviceAnswered(call, answer, sent_at))

    def _report_if_due(self, now: float) -> None:
        if now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return
        self._reported_at = now
        tickets = self._book.count_tickets(now)
        waiting = self._book.count_unadvised(now)
        if not (self._outcomes or self._refused or tickets or waiting):
            return
        FLEET_METER.record(TICKETS_HELD, tickets)
        FLEET_METER.record(STEPS_UNADVISED, waiting)
        LOG.emit(
            'State of the advice.',
            calls=dict(self._outcomes),
            tickets=tickets,
            waiting_steps=waiting,
            refused_starts=self._refused,
            partition=self._owned.partition,
            term=self._owned.term,
        )
        self._outcomes.clear()
        self._refused = 0
