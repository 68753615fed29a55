"""Limits how many orders of a process are under way at once.

A daemon that has more to send than it can would otherwise begin all calls at
the same moment.  Each then waits for the processor, polls that extend leases
among them, until their timeouts run out.  Orders therefore wait here, in order
of arrival, and polls pass by.

An order that waits for an unreachable worker uses no processor time, so after
``hold_seconds`` it no longer counts.
"""

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import trio

from tarragonlb.controller.pollbudget import PollBudget
from tarragonlb.controller.ports import WorkerApi


class OrderGate:
    """Admits orders while fewer than ``limit`` are under way."""

    __slots__ = ('_entered_at', '_head', '_hold_seconds', '_left', '_limit')

    def __init__(self, limit: int, hold_seconds: float) -> None:
        """Admit ``limit`` orders at once."""
        self._limit = limit
        self._hold_seconds = hold_seconds
        # By ticket, in order of entry.
        self._entered_at: dict[object, float] = {}
        # Only the first in the queue waits for an order to leave.
        self._head = trio.Lock()
        self._left = trio.Event()

    @asynccontextmanager
    async def enter(self) -> AsyncGenerator[None]:
        """Wait for admission; the order counts until the block ends."""
        ticket = object()
        async with self._head:
            await self._wait_for_room()
            self._entered_at[ticket] = trio.current_time()
        try:
            yield
        finally:
            self._entered_at.pop(ticket, None)
            self._left.set()

    async def _wait_for_room(self) -> None:
        while len(self._entered_at) >= self._limit:
            ticket, entered_at = next(iter(self._entered_at.items()))
            held_until = entered_at + self._hold_seconds
            if trio.current_time() >= held_until:
                self._entered_at.pop(ticket)
                continue
            self._left = trio.Event()
            with trio.move_on_at(held_until):
                await self._left.wait()


@dataclass(frozen=True, slots=True)
class WorkerAccess:
    """How all owners of a process call workers, and what they share."""

    api: WorkerApi
    gate: OrderGate
    poll_budget: PollBudget
