"""Carries out what the routing front of each pool decides.

One task serves each request.  It tells the front what has happened and waits
for its orders: to send the request to an endpoint, or to refuse it.  The
order for one request may follow from the end of another, so each request has
a place where orders for it are put.
"""

import random
from collections import deque
from dataclasses import dataclass

import trio

from tarragonlb.daemon.attempt import Attempt
from tarragonlb.daemon.clock import read_monotonic
from tarragonlb.daemon.connections import EndpointConnections
from tarragonlb.daemon.exchange import Exchange
from tarragonlb.model.errors import RefusedError, TarragonError
from tarragonlb.model.verdict import Verdict
from tarragonlb.routing.action import Action, Refuse, Send
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.endpointhealth import Outcome
from tarragonlb.routing.event import (
    AttemptEnded,
    DeadlinePassed,
    EndpointsChanged,
    Event,
    RequestArrived,
    RequestCancelled,
    TimePassed,
)
from tarragonlb.routing.requeststate import FINAL_OUTCOMES
from tarragonlb.routing.retry import RetryBudget
from tarragonlb.routing.router import PoolRouter

STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
CLEANUP_SECONDS = 5
SILENCE_RECHECK_SECONDS = 0.5


class Orders:
    """The orders for one request, oldest first."""

    __slots__ = ('_arrived', '_orders')

    def __init__(self) -> None:
        """Start without any order."""
        self._orders: deque[Action] = deque()
        self._arrived: trio.Event | None = None

    def put(self, order: Action) -> None:
        """Append an order and wake the task that waits for it."""
        self._orders.append(order)
        if self._arrived is not None:
            self._arrived.set()

    async def take(self) -> Action:
        """Return the next order, as soon as there is one."""
        if not self._orders:
            self._arrived = trio.Event()
            await self._arrived.wait()
            self._arrived = None
        return self._orders.popleft()

    def take_refusal(self) -> Refuse:
        """Return the refusal among the orders, which must be there."""
        while True:
            order = self._orders.popleft()
            if isinstance(order, Refuse):
                return order


class Gate:
    """The way into one pool: its front, and the orders for each request."""

    __slots__ = ('_orders', 'endpoints', 'front')

    def __init__(self, front: PoolRouter) -> None:
        """Start without any request."""
        self.front = front
        self.endpoints: list[Endpoint] = []
        self._orders: dict[str, Orders] = {}

    def open_orders(self, request_id: str) -> Orders:
        """Return where the orders for a request arrive."""
        orders = Orders()
        self._orders[request_id] = orders
        return orders

    def close_orders(self, request_id: str) -> None:
        """Forget a request that has ended."""
        self._orders.pop(request_id, None)

    def tell(self, event: Event) -> None:
        """Tell the front what has happened and hand out its orders."""
        for action in self.front.handle(event, read_monotonic()):
            self._orders[action.request.request_id].put(action)


@dataclass(eq=False, slots=True)
class Silence:
    """An attempt without a byte of an answer, and when to look at it."""

    gate: Gate
    attempt: Attempt
    due: float


class Dispatcher:
    """Owns the connections to endpoints and the gates of all pools.

    ``list_read_at`` is set while the endpoints come from an old list.
    """

    __slots__ = (
        '_connections',
        '_gates',
        '_random',
        '_retries',
        '_silences',
        '_wake_at',
        '_woken',
        '_zone',
        'list_read_at',
    )

    def __init__(
        self,
        zone: str,
        source: random.Random,
        connections: EndpointConnections | None = None,
    ) -> None:
        """Prefer endpoints of ``zone``; ``source`` draws candidates."""
        self._zone = zone
        self._random = source
        self._gates: dict[str, Gate] = {}
        self._retries = RetryBudget()
        self._silences: dict[str, Silence] = {}
        self._connections = connections or EndpointConnections()
        self._wake_at = float('inf')
        self._woken = trio.Event()
        self.list_read_at: float | None = None

    async def run(self) -> None:
        """Wake the fronts when time alone decides something."""
        while True:
            for gate in self._gates.values():
                if gate.front.find_next_wake() <= read_monotonic():
                    gate.tell(TimePassed())
            self._check_silences(read_monotonic())
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
        ``AnswerCutError`` where the answer ended before it was whole.  When
        the caller closes its connection, so does the attempt.
        """
        failure: TarragonError | None = None
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(_cancel_when_gone, exchange, scope)
            try:
                await self._serve(exchange)
            except TarragonError as error:
                failure = error
            scope.cancel()
        if failure:
            raise failure

    def find_list_age(self, now: float) -> float | None:
        """Return the age in seconds of an old list, or None."""
        if self.list_read_at is None:
            return None
        return now - self.list_read_at

    def _open_gate(self, pool: str) -> Gate:
        gate = self._gates.get(pool)
        if gate is None:
            front = PoolRouter(self._zone, self._random, self._retries)
            gate = Gate(front)
            self._gates[pool] = gate
        return gate

    async def _serve(self, exchange: Exchange) -> None:
        exchange.list_age = self.find_list_age(read_monotonic())
        info = exchange.info
        gate = self._open_gate(info.pool)
        orders = gate.open_orders(info.request_id)
        try:
            with trio.move_on_at(info.deadline):
                await self._follow(gate, exchange, orders)
                return
            self._tell(gate, DeadlinePassed(info.request_id))
            exchange.check_uncut('the deadline has passed')
            raise _make_error(orders.take_refusal(), STATUS_TIMEOUT)
        finally:
            if info.request_id in gate.front.requests:
                self._tell(gate, RequestCancelled(info.request_id))
            gate.close_orders(info.request_id)

    async def _follow(
        self,
        gate: Gate,
        exchange: Exchange,
        orders: Orders,
    ) -> None:
        self._tell(gate, RequestArrived(exchange.info))
        while True:
            order = await orders.take()
            if isinstance(order, Refuse):
                raise _make_error(order, STATUS_BAD_GATEWAY)
            ended = await self._attempt(gate, exchange, order)
            self._tell(gate, ended)
            if ended.outcome is Outcome.CUT:
                exchange.check_uncut(ended.reason)
            if ended.outcome in FINAL_OUTCOMES:
                return

    async def _attempt(
        self, gate: Gate, exchange: Exchange, order: Send
    ) -> AttemptEnded:
        attempt = Attempt(self._connections, exchange, order)
        if order.silence_seconds is not None:
            self._watch_silence(gate, attempt, order)
        try:
            return await attempt.run()
        except trio.Cancelled:
            if read_monotonic() >= exchange.info.deadline:
                attempt.suspect()
            raise
        finally:
            self._silences.pop(exchange.info.request_id, None)

    def _watch_silence(self, gate: Gate, attempt: Attempt, order: Send) -> None:
        due = read_monotonic() + (order.silence_seconds or 0)
        silence = Silence(gate, attempt, due)
        self._silences[order.request.request_id] = silence
        if due < self._wake_at:
            self._woken.set()

    def _check_silences(self, now: float) -> None:
        due = [
            (request_id, silence)
            for request_id, silence in self._silences.items()
            if silence.due <= now
        ]
        for request_id, silence in due:
            front = silence.gate.front
            replayable = silence.attempt.replayable
            if replayable and front.can_replace_attempt(request_id, now):
                silence.attempt.give_up()
                self._silences.pop(request_id)
            else:
                silence.due = now + SILENCE_RECHECK_SECONDS

    def _tell(self, gate: Gate, event: Event) -> None:
        gate.tell(event)
        if gate.front.find_next_wake() < self._wake_at:
            self._woken.set()

    async def _sleep(self) -> None:
        self._woken = trio.Event()
        wakes = [gate.front.find_next_wake() for gate in self._gates.values()]
        wakes.extend(silence.due for silence in self._silences.values())
        if self._connections.has_retired():
            wakes.append(read_monotonic() + CLEANUP_SECONDS)
        self._wake_at = min(wakes, default=float('inf'))
        with trio.move_on_at(self._wake_at):
            await self._woken.wait()


async def _cancel_when_gone(
    exchange: Exchange, scope: trio.CancelScope
) -> None:
    await exchange.wait_until_gone()
    scope.cancel()


def _make_error(order: Refuse, status: int) -> RefusedError:
    if order.verdict is Verdict.NOT_RUN:
        status = STATUS_UNAVAILABLE
    return RefusedError(
        order.reason,
        verdict=order.verdict,
        status=status,
        retry_after=order.retry_after,
    )
