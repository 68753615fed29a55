"""Limits how many orders of a process are under way at once.

A daemon that has more to send than it can would otherwise begin all calls at
the same moment.  Each then waits for the processor, polls that extend leases
among them, until their timeouts run out.  Orders therefore wait here, in order
of arrival, and polls pass by.

An order that waits for an unreachable worker uses no processor time, so it soon
no longer counts.
"""

import itertools
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from tarragonlb.controller.advicecaller import AdviceAccess, AdviceCaller
from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.orderlimit import OrderLimit
from tarragonlb.controller.pollbudget import PollBudget
from tarragonlb.controller.ports import Clock, VmApi, WorkerApi
from tarragonlb.controller.settings import ControllerSettings


class OrderGate:
    """Admits orders while fewer than a limit are under way."""

    __slots__ = ('_entered_at', '_limit', '_settings', '_waiting')

    def __init__(self, settings: ControllerSettings) -> None:
        """Start with no order under way."""
        self._settings = settings
        self._limit = OrderLimit(settings)
        # Both by ticket, in order of entry and of arrival.
        self._entered_at: dict[object, float] = {}
        self._waiting: dict[object, trio.Event] = {}

    @asynccontextmanager
    async def enter(self) -> AsyncGenerator[float]:
        """Wait for admission; the order counts until the block ends.

        Yields the time of admission in seconds.
        """
        ticket = object()
        admitted = trio.Event()
        self._waiting[ticket] = admitted
        self._admit()
        try:
            while not admitted.is_set():
                await self._wait(admitted)
            yield self._entered_at.get(ticket, trio.current_time())
        finally:
            self._remove(ticket)
            self._admit()

    def record_answer(self, entered_at: float) -> None:
        """Record that an order admitted at ``entered_at`` was answered now."""
        self._limit.record(
            entered_at, len(self._entered_at), trio.current_time()
        )

    def _remove(self, ticket: object) -> None:
        self._waiting.pop(ticket, None)
        self._entered_at.pop(ticket, None)

    async def _wait(self, admitted: trio.Event) -> None:
        with trio.move_on_after(self._settings.order_hold_seconds):
            await admitted.wait()
        self._admit()

    def _admit(self) -> None:
        now = trio.current_time()
        held_since = now - self._settings.order_hold_seconds
        while self._entered_at:
            ticket, entered_at = next(iter(self._entered_at.items()))
            if entered_at > held_since:
                break
            self._entered_at.pop(ticket)
        free = max(self._limit.orders - len(self._entered_at), 0)
        for ticket in tuple(itertools.islice(self._waiting, free)):
            self._entered_at[ticket] = now
            self._waiting.pop(ticket).set()


@dataclass(frozen=True, slots=True)
class WorkerAccess:
    """How all owners of a process call workers and services about them."""

    api: WorkerApi
    vms: VmApi
    gate: OrderGate
    poll_budget: PollBudget
    # None if this installation has no placement policy service.
    advice: AdviceAccess | None = None

    def create_advice_caller(
        self, owned: OwnedPartition, clock: Clock
    ) -> AdviceCaller:
        """Return what asks the placement policy service for one owner."""
        return AdviceCaller(self.advice, owned, clock)
