"""Routing policies of an entry VM: the pool router and three baselines.

All of them have the interface of the router, events in and actions out, so that
the same simulation can run each of them.
"""

import random
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Iterable

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
)
from tarragonlb.routing.request import RequestInfo
from tarragonlb.routing.retry import RetryBudget
from tarragonlb.routing.router import PoolRouter

MAX_ATTEMPTS = 4
RETRYABLE = frozenset((Outcome.BUSY, Outcome.NOT_SENT))


class RoutingPolicy(ABC):
    """Routing policy of one simulated entry VM."""

    @abstractmethod
    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return the actions that follow from an event."""

    def find_next_wake(self) -> float:
        """Return the time at which the policy needs a ``TimePassed`` event."""
        return float('inf')


class UnlimitedRetries(RetryBudget):
    """Retry budget that never runs out."""

    __slots__ = ()

    def spend(self) -> bool:
        """Allow a retry."""
        return True


class RouterPolicy(RoutingPolicy):
    """The pool router, with its retry budget if ``budgeted`` is true."""

    __slots__ = ('_router',)

    def __init__(
        self, zone: str, rng: random.Random, *, budgeted: bool
    ) -> None:
        """Start without endpoints."""
        retries = RetryBudget() if budgeted else UnlimitedRetries()
        self._router = PoolRouter(zone, rng, retries)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Delegate to the router."""
        return self._router.handle(event, now)

    def find_next_wake(self) -> float:
        """Delegate to the router."""
        return self._router.find_next_wake()


class RoundRobinPolicy(RoutingPolicy):
    """Round robin; each request is sent once, on arrival."""

    __slots__ = ('_endpoints', '_last_index')

    def __init__(self, start_index: int) -> None:
        """Begin with the endpoint after ``start_index``."""
        self._endpoints: tuple[Endpoint, ...] = ()
        self._last_index = start_index

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Send each request on arrival."""
        if isinstance(event, EndpointsChanged):
            self._endpoints = event.endpoints
        if isinstance(event, RequestArrived):
            return (self._send(event.request),)
        return ()

    def _send(self, request: RequestInfo) -> Send:
        self._last_index += 1
        endpoint = self._endpoints[self._last_index % len(self._endpoints)]
        return Send(
            request, endpoint, new_connection=False, silence_seconds=None
        )


class FifoPolicy(RoutingPolicy):
    """One FIFO queue, random endpoints and a few retries per request.

    ``share`` is the share of the declared slots that this entry VM uses.
    """

    __slots__ = (
        '_attempts',
        '_endpoints',
        '_limit',
        '_queue',
        '_requests',
        '_rng',
        '_share',
    )

    def __init__(self, rng: random.Random, share: float) -> None:
        """Start without endpoints."""
        self._rng = rng
        self._share = share
        self._limit = 0.0
        self._endpoints: tuple[Endpoint, ...] = ()
        self._queue: deque[RequestInfo] = deque()
        self._requests: dict[str, RequestInfo] = {}
        self._attempts: dict[str, int] = {}

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Queue new requests and send as many as the limit allows."""
        actions: list[Action] = []
        if isinstance(event, EndpointsChanged):
            self._endpoints = event.endpoints
            slots = sum(endpoint.slots for endpoint in event.endpoints)
            self._limit = max(1, slots * self._share)
        elif isinstance(event, RequestArrived):
            self._queue.append(event.request)
            self._requests[event.request.request_id] = event.request
        elif isinstance(event, AttemptEnded):
            actions.extend(self._end(event))
        elif isinstance(event, RequestCancelled | DeadlinePassed):
            self._forget(event.request_id)
        while self._queue and len(self._attempts) < self._limit:
            request = self._queue.popleft()
            if request.request_id in self._requests:
                self._attempts[request.request_id] = 0
                actions.append(self._send(request))
        return tuple(actions)

    def _end(self, event: AttemptEnded) -> Iterable[Action]:
        request = self._requests[event.request_id]
        retryable = event.outcome in RETRYABLE
        if retryable and self._attempts[event.request_id] < MAX_ATTEMPTS:
            return [self._send(request)]
        self._forget(event.request_id)
        if retryable:
            return [Refuse(request, event.reason, Verdict.NOT_RUN, 1)]
        return []

    def _send(self, request: RequestInfo) -> Send:
        self._attempts[request.request_id] += 1
        endpoint = self._rng.choice(self._endpoints)
        return Send(
            request, endpoint, new_connection=False, silence_seconds=None
        )

    def _forget(self, request_id: str) -> None:
        self._requests.pop(request_id, None)
        self._attempts.pop(request_id, None)
