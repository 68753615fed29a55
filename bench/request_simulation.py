"""Simulates entry VMs, endpoints and callers in virtual time.

Several entry VMs share endpoints without knowing of each other.  A request
takes ``ONE_WAY_SECONDS`` to its endpoint, and its answer as long to return.  An
endpoint without a free slot either refuses a request at once or queues it.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from request_entries import RoutingPolicy

from tarragonlb.routing.action import Refuse, Send
from tarragonlb.routing.balancer import Endpoint
from tarragonlb.routing.endpointhealth import Outcome
from tarragonlb.routing.event import (
    AttemptEnded,
    DeadlinePassed,
    EndpointsChanged,
    Event,
    RequestArrived,
    TimePassed,
)
from tarragonlb.routing.request import RequestInfo

ONE_WAY_SECONDS = 0.0015
FAST_FAILURE_SECONDS = 0.001
CONNECTIONS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class RunnerSettings:
    """Actual capacity and behaviour of a simulated endpoint."""

    slots: int = 8
    keeps_queue: bool = False
    fails_fast: bool = False
    slow_factor: float = 1


@dataclass(slots=True)
class Call:
    """One request of a caller, and its result."""

    request: RequestInfo
    seconds: float
    arrived_at: float
    answered_at: float | None = None
    ended: bool = False
    refused: bool = False
    attempts: int = 0


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of a call; ``cancelled`` once its result is ignored."""

    call: Call
    entry: int
    cancelled: bool = False
    running: bool = False


class Simulation:
    """The event queue that connects entry VMs, endpoints and calls."""

    def __init__(self, entries: list[RoutingPolicy]) -> None:
        """Start at time 0 without events."""
        self.now = 0.0
        self.calls: list[Call] = []
        self.busy_refusals = 0
        self._entries = entries
        self._wake_times = [float('inf') for _ in entries]
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._event_number = 0
        self._runners: dict[str, Runner] = {}
        self._attempts: dict[str, Attempt] = {}

    def schedule(self, at: float, function: Callable[[], None]) -> None:
        """Call ``function`` at the time ``at``."""
        self._event_number += 1
        heapq.heappush(self._queue, (at, self._event_number, function))

    def add_runners(
        self, endpoints: list[Endpoint], runners: tuple[RunnerSettings, ...]
    ) -> None:
        """Create the endpoints and announce them to all entry VMs."""
        for endpoint, settings in zip(endpoints, runners, strict=True):
            self._runners[endpoint.vm_id] = Runner(self, settings)
        for index, _ in enumerate(self._entries):
            self._dispatch(index, EndpointsChanged(tuple(endpoints)))

    def add_call(self, call: Call, entry: int) -> None:
        """Schedule the arrival of a request at an entry VM."""
        self.calls.append(call)
        self.schedule(call.arrived_at, lambda: self._arrive(call, entry))

    def run(self, until: float) -> None:
        """Run until the given time, or until no event is left."""
        while self._queue and self.now < until:
            self.now, _, function = heapq.heappop(self._queue)
            function()

    def return_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Schedule the arrival of an attempt's outcome at its entry VM."""
        self.busy_refusals += outcome is Outcome.BUSY
        self.schedule(
            self.now + ONE_WAY_SECONDS,
            lambda: self._deliver_outcome(attempt, outcome),
        )

    def _arrive(self, call: Call, entry: int) -> None:
        self._register(call)
        self.schedule(call.request.deadline, lambda: self._expire(call, entry))
        self._dispatch(entry, RequestArrived(call.request))

    def _register(self, call: Call) -> None:
        request_id = call.request.request_id
        self._attempts[request_id] = Attempt(call, -1, cancelled=True)

    def _dispatch(self, index: int, event: Event) -> None:
        entry = self._entries[index]
        for action in entry.handle(event, self.now):
            attempt = self._attempts[action.request.request_id]
            if isinstance(action, Refuse):
                attempt.call.refused = True
                attempt.call.ended = True
            else:
                self._send_attempt(attempt.call, index, action)
        wake_time = entry.find_next_wake()
        if wake_time < self._wake_times[index]:
            self._wake_times[index] = wake_time
            self.schedule(wake_time, lambda: self._wake_entry(index))

    def _send_attempt(self, call: Call, entry: int, action: Send) -> None:
        attempt = Attempt(call, entry)
        call.attempts += 1
        self._attempts[call.request.request_id] = attempt
        runner = self._runners[action.endpoint.vm_id]
        arrival = self.now + ONE_WAY_SECONDS
        self.schedule(arrival, lambda: runner.receive(attempt))

    def _deliver_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        call = attempt.call
        if attempt.cancelled or call.ended:
            return
        attempt.cancelled = True
        if outcome is Outcome.ANSWERED:
            call.answered_at = self.now
        call.ended = outcome is not Outcome.BUSY
        request_id = call.request.request_id
        self._dispatch(
            attempt.entry, AttemptEnded(request_id, outcome, outcome.value)
        )

    def _expire(self, call: Call, entry: int) -> None:
        if call.ended:
            return
        request_id = call.request.request_id
        attempt = self._attempts[request_id]
        attempt.cancelled = True
        self._dispatch(entry, DeadlinePassed(request_id))
        call.ended = True

    def _wake_entry(self, index: int) -> None:
        if self._wake_times[index] <= self.now:
            self._wake_times[index] = float('inf')
            self._dispatch(index, TimePassed())


class Runner:
    """A simulated endpoint with slots, and optionally a queue.

    A cancelled request frees its slot, or is skipped if it is in the queue.
    """

    def __init__(
        self, simulation: Simulation, settings: RunnerSettings
    ) -> None:
        """Start idle."""
        self._simulation = simulation
        self._settings = settings
        self._active = 0
        self._queue: deque[Attempt] = deque()

    def receive(self, attempt: Attempt) -> None:
        """Start, queue or refuse an attempt that has arrived."""
        simulation = self._simulation
        if self._settings.fails_fast:
            end = simulation.now + FAST_FAILURE_SECONDS
            simulation.schedule(
                end, lambda: simulation.return_outcome(attempt, Outcome.FAILED)
            )
        elif self._active < self._settings.slots:
            self._start(attempt)
        elif self._settings.keeps_queue and len(self._queue) < CONNECTIONS:
            self._queue.append(attempt)
        else:
            simulation.return_outcome(attempt, Outcome.BUSY)

    def _start(self, attempt: Attempt) -> None:
        self._active += 1
        attempt.running = True
        simulation = self._simulation
        seconds = attempt.call.seconds * self._settings.slow_factor
        deadline = attempt.call.request.deadline + ONE_WAY_SECONDS
        end = min(simulation.now + seconds, max(deadline, simulation.now))
        simulation.schedule(end, lambda: self._end(attempt))

    def _end(self, attempt: Attempt) -> None:
        self._active -= 1
        self._simulation.return_outcome(attempt, Outcome.ANSWERED)
        while self._queue and self._active < self._settings.slots:
            waiting = self._queue.popleft()
            if not waiting.cancelled:
                self._start(waiting)


def draw_service_seconds(rng: random.Random, mean: float) -> float:
    """Return an exponentially distributed service time."""
    return rng.expovariate(1 / mean)
