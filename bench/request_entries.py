"""How an entry VM may treat requests: the routing front and three baselines.

All of them take the events and give the actions of the routing front, so that
one simulation runs each of them.
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


class Entry(ABC):
    """One entry VM, as the simulation sees it."""

    @abstractmethod
    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Return what is to be done now that something has happened."""

    def find_next_wake(self) -> float:
        """Return when the entry VM has to be told the time."""
        return float('inf')


class UnlimitedRetries(RetryBudget):
    """Grants every retry."""

    __slots__ = ()

    def spend(self) -> bool:
        """Grant a retry."""
        return True


class FrontEntry(Entry):
    """The routing front; ``budgeted`` keeps its retry budget."""

    __slots__ = ('_front',)

    def __init__(
        self, zone: str, source: random.Random, *, budgeted: bool
    ) -> None:
        """Start without endpoints."""
        retries = RetryBudget() if budgeted else UnlimitedRetries()
        self._front = PoolRouter(zone, source, retries)

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Ask the front."""
        return self._front.handle(event, now)

    def find_next_wake(self) -> float:
        """Ask the front."""
        return self._front.find_next_wake()


class TurnEntry(Entry):
    """Endpoints in turn; every request is sent on arrival, and sent once."""

    __slots__ = ('_endpoints', '_turn')

    def __init__(self, turn: int) -> None:
        """Start the round at an endpoint of its own."""
        self._endpoints: tuple[Endpoint, ...] = ()
        self._turn = turn

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Send what arrives; tell the caller when it fails."""
        if isinstance(event, EndpointsChanged):
            self._endpoints = event.endpoints
        if isinstance(event, RequestArrived):
            return (self._send(event.request),)
        return ()

    def _send(self, request: RequestInfo) -> Send:
        self._turn += 1
        spot = self._endpoints[self._turn % len(self._endpoints)]
        return Send(request, spot, new_connection=False, silence_seconds=None)


class FifoEntry(Entry):
    """One queue in order of arrival, endpoints at random, some retries.

    ``share`` is the part of the declared slots that it takes for itself.
    """

    __slots__ = (
        '_attempts',
        '_endpoints',
        '_limit',
        '_queue',
        '_random',
        '_requests',
        '_share',
    )

    def __init__(self, source: random.Random, share: float) -> None:
        """Start without endpoints."""
        self._random = source
        self._share = share
        self._limit = 0.0
        self._endpoints: tuple[Endpoint, ...] = ()
        self._queue: deque[RequestInfo] = deque()
        self._requests: dict[str, RequestInfo] = {}
        self._attempts: dict[str, int] = {}

    def handle(self, event: Event, now: float) -> tuple[Action, ...]:
        """Queue what arrives and send the first of the queue."""
        actions: list[Action] = []
        if isinstance(event, EndpointsChanged):
            self._endpoints = event.endpoints
            slots = sum(spot.slots for spot in event.endpoints)
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
        spot = self._random.choice(self._endpoints)
        return Send(request, spot, new_connection=False, silence_seconds=None)

    def _forget(self, request_id: str) -> None:
        self._requests.pop(request_id, None)
        self._attempts.pop(request_id, None)
