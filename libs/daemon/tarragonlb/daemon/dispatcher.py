"""Executes the decisions of each pool's router.

One task serves each request.  It passes events to the router and executes the
actions that the router returns: send the request to an endpoint, or refuse it.
The end of one request can cause an action for another, so each request has a
queue of actions.
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
CLEANUP_INTERVAL_SECONDS = 5
SILENCE_RECHECK_SECONDS = 0.5


class ActionQueue:
    """Actions for one request, oldest first."""

    __slots__ = ('_actions', '_arrived')

    def __init__(self) -> None:
        """Create an empty queue."""
        self._actions: deque[Action] = deque()
        self._arrived: trio.Event | None = None

    def put(self, action: Action) -> None:
        """Append an action and wake the task that waits for it."""
        self._actions.append(action)
        if self._arrived is not None:
            self._arrived.set()

    async def take(self) -> Action:
        """Wait for the next action, remove it and return it."""
        if not self._actions:
            self._arrived = trio.Event()
            await self._arrived.wait()
            self._arrived = None
        return self._actions.popleft()

    def take_refusal(self) -> Refuse:
        """Return the queued refusal; there must be one."""
        while True:
            action = self._actions.popleft()
            if isinstance(action, Refuse):
                return action


class PoolDriver:
    """Drives the router of one pool and queues its actions by request."""

    __slots__ = ('_queues', 'endpoints', 'router')

    def __init__(self, router: PoolRouter) -> None:
        """Drive ``router``, without any request yet."""
        self.router = router
        self.endpoints: list[Endpoint] = []
        self._queues: dict[str, ActionQueue] = {}

    def open_queue(self, request_id: str) -> ActionQueue:
        """Create the action queue of a request and return it."""
        queue = ActionQueue()
        self._queues[request_id] = queue
        return queue

    def close_queue(self, request_id: str) -> None:
        """Remove the action queue of a request that has ended."""
        self._queues.pop(request_id, None)

    def handle(self, event: Event) -> None:
        """Pass an event to the router and queue the actions it returns."""
        for action in self.router.handle(event, read_monotonic()):
            self._queues[action.request.request_id].put(action)


@dataclass(eq=False, slots=True)
class SilenceCheck:
    """An attempt without response bytes yet, and when to check it."""

    driver: PoolDriver
    attempt: Attempt
    due: float


class Dispatcher:
    """Dispatches requests of all pools to endpoints.

    ``list_read_at`` is the monotonic time of the last VM list while that list
    is stale, else None.
    """

    __slots__ = (
        '_connections',
        '_drivers',
        '_retries',
        '_rng',
        '_silence_checks',
        '_wake_at',
        '_woken',
        '_zone',
        'list_read_at',
    )

    def __init__(
        self,
        zone: str,
        rng: random.Random,
        connections: EndpointConnections | None = None,
    ) -> None:
        """Prefer endpoints of ``zone``; choose candidates with ``rng``."""
        self._zone = zone
        self._rng = rng
        self._drivers: dict[str, PoolDriver] = {}
        self._retries = RetryBudget()
        self._silence_checks: dict[str, SilenceCheck] = {}
        self._connections = connections or EndpointConnections()
        self._wake_at = float('inf')
        self._woken = trio.Event()
        self.list_read_at: float | None = None

    async def run(self) -> None:
        """Run timers and connection clean-up until cancelled."""
        while True:
            for driver in self._drivers.values():
                if driver.router.find_next_wake() <= read_monotonic():
                    driver.handle(TimePassed())
            self._run_silence_checks(read_monotonic())
            await self._connections.close_retired()
            await self._sleep()

    def update_pool(self, pool: str, endpoints: list[Endpoint]) -> None:
        """Set the endpoints of a pool that may get new requests."""
        driver = self._ensure_driver(pool)
        driver.endpoints = endpoints
        self._connections.retain(
            frozenset(
                endpoint.address
                for other in self._drivers.values()
                for endpoint in other.endpoints
            )
        )
        self._handle(driver, EndpointsChanged(tuple(endpoints)))
        self._woken.set()

    async def serve(self, exchange: Exchange) -> None:
        """Send a request to endpoints until one responds.

        Raise ``RefusedError`` with the verdict if there is no response, and
        ``ResponseCutError`` if the response ended before it was complete.  A
        caller that closes its connection cancels the attempt.
        """
        failure: TarragonError | None = None
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(_cancel_on_disconnect, exchange, scope)
            try:
                await self._serve(exchange)
            except TarragonError as error:
                failure = error
            scope.cancel()
        if failure:
            raise failure

    def find_list_age(self, now: float) -> float | None:
        """Return the age of a stale VM list in seconds, else None."""
        if self.list_read_at is None:
            return None
        return now - self.list_read_at

    def _ensure_driver(self, pool: str) -> PoolDriver:
        driver = self._drivers.get(pool)
        if driver is None:
            router = PoolRouter(self._zone, self._rng, self._retries)
            driver = PoolDriver(router)
            self._drivers[pool] = driver
        return driver

    async def _serve(self, exchange: Exchange) -> None:
        exchange.list_age = self.find_list_age(read_monotonic())
        info = exchange.info
        driver = self._ensure_driver(info.pool)
        queue = driver.open_queue(info.request_id)
        try:
            with trio.move_on_at(info.deadline):
                await self._execute_actions(driver, exchange, queue)
                return
            self._handle(driver, DeadlinePassed(info.request_id))
            exchange.raise_if_started('the deadline has passed')
            raise _make_refused_error(queue.take_refusal(), STATUS_TIMEOUT)
        finally:
            if info.request_id in driver.router.requests:
                self._handle(driver, RequestCancelled(info.request_id))
            driver.close_queue(info.request_id)

    async def _execute_actions(
        self,
        driver: PoolDriver,
        exchange: Exchange,
        queue: ActionQueue,
    ) -> None:
        self._handle(driver, RequestArrived(exchange.info))
        while True:
            action = await queue.take()
            if isinstance(action, Refuse):
                raise _make_refused_error(action, STATUS_BAD_GATEWAY)
            ended = await self._run_attempt(driver, exchange, action)
            self._handle(driver, ended)
            if ended.outcome is Outcome.CUT:
                exchange.raise_if_started(ended.reason)
            if ended.outcome in FINAL_OUTCOMES:
                return

    async def _run_attempt(
        self, driver: PoolDriver, exchange: Exchange, action: Send
    ) -> AttemptEnded:
        attempt = Attempt(self._connections, exchange, action)
        if action.silence_seconds is not None:
            self._schedule_silence_check(driver, attempt, action)
        try:
            return await attempt.run()
        except trio.Cancelled:
            if read_monotonic() >= exchange.info.deadline:
                attempt.retire_connections()
            raise
        finally:
            self._silence_checks.pop(exchange.info.request_id, None)

    def _schedule_silence_check(
        self, driver: PoolDriver, attempt: Attempt, action: Send
    ) -> None:
        due = read_monotonic() + (action.silence_seconds or 0)
        check = SilenceCheck(driver, attempt, due)
        self._silence_checks[action.request.request_id] = check
        if due < self._wake_at:
            self._woken.set()

    def _run_silence_checks(self, now: float) -> None:
        due = [
            (request_id, check)
            for request_id, check in self._silence_checks.items()
            if check.due <= now
        ]
        for request_id, check in due:
            router = check.driver.router
            replayable = check.attempt.replayable
            if replayable and router.can_replace_attempt(request_id, now):
                check.attempt.cancel_wait()
                self._silence_checks.pop(request_id)
            else:
                check.due = now + SILENCE_RECHECK_SECONDS

    def _handle(self, driver: PoolDriver, event: Event) -> None:
        driver.handle(event)
        if driver.router.find_next_wake() < self._wake_at:
            self._woken.set()

    async def _sleep(self) -> None:
        self._woken = trio.Event()
        wakes = [
            driver.router.find_next_wake() for driver in self._drivers.values()
        ]
        wakes.extend(check.due for check in self._silence_checks.values())
        if self._connections.has_retired():
            wakes.append(read_monotonic() + CLEANUP_INTERVAL_SECONDS)
        self._wake_at = min(wakes, default=float('inf'))
        with trio.move_on_at(self._wake_at):
            await self._woken.wait()


async def _cancel_on_disconnect(
    exchange: Exchange, scope: trio.CancelScope
) -> None:
    await exchange.wait_for_disconnect()
    scope.cancel()


def _make_refused_error(action: Refuse, status: int) -> RefusedError:
    if action.verdict is Verdict.NOT_RUN:
        status = STATUS_UNAVAILABLE
    return RefusedError(
        action.reason,
        verdict=action.verdict,
        status=status,
        retry_after=action.retry_after,
    )
