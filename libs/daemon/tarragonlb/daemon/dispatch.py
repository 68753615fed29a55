"""Carries out what the routing front of each pool decides.

One task serves each request.  It tells the front what has happened and waits
for its orders: to send the request to an endpoint, or to refuse it.  The
order for one request may follow from the end of another, so each request has
a place where orders for it are put.
"""

import random

import trio

from tarragonlb.daemon.attempt import Attempt
from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.connections import EndpointConnections
from tarragonlb.daemon.exchange import Exchange
from tarragonlb.model.errors import RefusedError
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.action import Action, Refuse, Send
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.event import (
    Arrived,
    AttemptEnded,
    CallerLeft,
    DeadlinePassed,
    EndpointsChanged,
    Event,
    TimePassed,
)
from tarragonlb.routing.front import RoutingFront
from tarragonlb.routing.journey import ENDS
from tarragonlb.routing.load import Outcome
from tarragonlb.routing.retry import RetryBudget

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
CLEANUP_SECONDS = 5


class Gate:
    """The way into one pool: its front, and the orders for each request."""

    __slots__ = ('_orders', 'endpoints', 'front')

    def __init__(self, front: RoutingFront) -> None:
        """Start without any request."""
        self.front = front
        self.endpoints: list[Endpoint] = []
        self._orders: dict[str, trio.MemorySendChannel[Action]] = {}

    def open_orders(self, request_id: str) -> trio.MemoryReceiveChannel[Action]:
        """Return where the orders for a request arrive."""
        sender, receiver = trio.open_memory_channel[Action](2)
        self._orders[request_id] = sender
        return receiver

    def close_orders(self, request_id: str) -> None:
        """Forget a request that has ended."""
        self._orders.pop(request_id, None)

    def tell(self, event: Event) -> None:
        """Tell the front what has happened and hand out its orders."""
        for action in self.front.handle(event, read_monotonic()):
            self._orders[action.request.request_id].send_nowait(action)


class Dispatcher:
    """Owns the connections to endpoints and the gates of all pools."""

    __slots__ = (
        '_connections',
        '_gates',
        '_random',
        '_retries',
        '_wake_at',
        '_woken',
        '_zone',
    )

    def __init__(self, zone: str, source: random.Random) -> None:
        """Prefer endpoints of ``zone``; ``source`` draws candidates."""
        self._zone = zone
        self._random = source
        self._gates: dict[str, Gate] = {}
        self._retries = RetryBudget()
        self._connections = EndpointConnections()
        self._wake_at = float('inf')
        self._woken = trio.Event()

    async def run(self) -> None:
        """Wake the fronts when time alone decides something."""
        while True:
            for gate in self._gates.values():
                if gate.front.find_next_wake() <= read_monotonic():
                    gate.tell(TimePassed())
            await self._connections.close_retired()
            await self._sleep()

    def update_pool(self, pool: str, endpoints: list[Endpoint]) -> None:
        """Take over the endpoints of a pool that may get new requests."""
        gate = self._open_gate(pool)
        gate.endpoints = endpoints
        self._connections.retain(
            frozenset(
                spot.address
                for other in self._gates.values()
                for spot in other.endpoints
            )
        )
        self._tell(gate, EndpointsChanged(tuple(endpoints)))
        self._woken.set()

    async def serve(self, exchange: Exchange) -> None:
        """Get a request answered.

        Raises ``RefusedError`` with the verdict where there is no answer, and
        ``AnswerCutError`` where the answer ended before it was whole.
        """
        info = exchange.info
        gate = self._open_gate(info.pool)
        orders = gate.open_orders(info.request_id)
        try:
            with trio.move_on_at(info.deadline):
                await self._follow(gate, exchange, orders)
                return
            self._tell(gate, DeadlinePassed(info.request_id))
            exchange.check_uncut('the deadline has passed')
            raise _make_error(_take_refusal(orders), STATUS_TIMEOUT)
        finally:
            self._tell(gate, CallerLeft(info.request_id))
            gate.close_orders(info.request_id)

    def _open_gate(self, pool: str) -> Gate:
        gate = self._gates.get(pool)
        if gate is None:
            front = RoutingFront(self._zone, self._random, self._retries)
            gate = Gate(front)
            self._gates[pool] = gate
        return gate

    async def _follow(
        self,
        gate: Gate,
        exchange: Exchange,
        orders: trio.MemoryReceiveChannel[Action],
    ) -> None:
        self._tell(gate, Arrived(exchange.info))
        async for order in orders:
            if isinstance(order, Refuse):
                raise _make_error(order, STATUS_BAD_GATEWAY)
            ended = await self._attempt(exchange, order)
            self._tell(gate, ended)
            if ended.outcome is Outcome.CUT:
                exchange.check_uncut(ended.reason)
            if ended.outcome in ENDS:
                return

    async def _attempt(self, exchange: Exchange, order: Send) -> AttemptEnded:
        attempt = Attempt(self._connections, exchange, order)
        try:
            return await attempt.run()
        except trio.Cancelled:
            if read_monotonic() >= exchange.info.deadline:
                attempt.suspect()
            raise

    def _tell(self, gate: Gate, event: Event) -> None:
        gate.tell(event)
        if gate.front.find_next_wake() < self._wake_at:
            self._woken.set()

    async def _sleep(self) -> None:
        self._woken = trio.Event()
        wakes = [gate.front.find_next_wake() for gate in self._gates.values()]
        if self._connections.has_retired():
            wakes.append(read_monotonic() + CLEANUP_SECONDS)
        self._wake_at = min(wakes, default=float('inf'))
        with trio.move_on_at(self._wake_at):
            await self._woken.wait()


def _take_refusal(orders: trio.MemoryReceiveChannel[Action]) -> Refuse:
    while True:
        order = orders.receive_nowait()
        if isinstance(order, Refuse):
            return order


def _make_error(order: Refuse, status: int) -> RefusedError:
    if order.verdict is Verdict.NOT_RUN:
        status = STATUS_UNAVAILABLE
    return RefusedError(
        order.reason,
        verdict=order.verdict,
        status=status,
        retry_after=order.retry_after,
    )
