"""Entry VMs, endpoints and callers in virtual time.

Several entry VMs share endpoints and know nothing of each other.  A request
takes one way of ``ONE_WAY_SECONDS`` to its endpoint and one back.  An endpoint
without a free slot either refuses at once or keeps a queue of its own.
"""

import heapq
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from request_entries import Entry

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
    """What an endpoint of the simulation really takes."""

    slots: int = 8
    keeps_queue: bool = False
    fails_fast: bool = False
    slow_factor: float = 1


@dataclass(slots=True)
class Call:
    """One request of a caller, and how it ended."""

    request: RequestInfo
    seconds: float
    arrived_at: float
    answered_at: float | None = None
    ended: bool = False
    refused: bool = False
    attempts: int = 0


@dataclass(slots=True, eq=False)
class Flight:
    """One attempt on its way; ``gone`` after its deadline."""

    call: Call
    entry: int
    gone: bool = False
    running: bool = False


class Simulation:
    """The event queue, and the parts that it joins."""

    def __init__(self, entries: list[Entry]) -> None:
        """Start at time 0 with nothing to do."""
        self.now = 0.0
        self.calls: list[Call] = []
        self.busy_refusals = 0
        self._entries = entries
        self._wakes = [float('inf') for _ in entries]
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = 0
        self._runners: dict[str, Runner] = {}
        self._flights: dict[str, Flight] = {}

    def schedule(self, at: float, act: Callable[[], None]) -> None:
        """Call ``act`` at a time."""
        self._number += 1
        heapq.heappush(self._queue, (at, self._number, act))

    def add_runners(
        self, spots: list[Endpoint], runners: tuple[RunnerSettings, ...]
    ) -> None:
        """Tell all entry VMs of the endpoints."""
        for spot, settings in zip(spots, runners, strict=True):
            self._runners[spot.vm_id] = Runner(self, settings)
        for index, _ in enumerate(self._entries):
            self._tell(index, EndpointsChanged(tuple(spots)))

    def add_call(self, call: Call, entry: int) -> None:
        """Let a request arrive at an entry VM."""
        self.calls.append(call)
        self.schedule(call.arrived_at, lambda: self._arrive(call, entry))

    def run(self, until: float) -> None:
        """Run until a time, or until nothing is left to do."""
        while self._queue and self.now < until:
            self.now, _, act = heapq.heappop(self._queue)
            act()

    def come_back(self, flight: Flight, outcome: Outcome) -> None:
        """Bring the end of an attempt to its entry VM."""
        self.busy_refusals += outcome is Outcome.BUSY
        self.schedule(
            self.now + ONE_WAY_SECONDS, lambda: self._land(flight, outcome)
        )

    def _arrive(self, call: Call, entry: int) -> None:
        self._remember(call)
        self.schedule(
            call.request.deadline, lambda: self._time_out(call, entry)
        )
        self._tell(entry, RequestArrived(call.request))

    def _remember(self, call: Call) -> None:
        name = call.request.request_id
        self._flights[name] = Flight(call, -1, gone=True)

    def _tell(self, index: int, event: Event) -> None:
        entry = self._entries[index]
        for action in entry.handle(event, self.now):
            flight = self._flights[action.request.request_id]
            if isinstance(action, Refuse):
                flight.call.refused = True
                flight.call.ended = True
            else:
                self._take_off(flight.call, index, action)
        wake = entry.find_next_wake()
        if wake < self._wakes[index]:
            self._wakes[index] = wake
            self.schedule(wake, lambda: self._wake(index))

    def _take_off(self, call: Call, entry: int, action: Send) -> None:
        flight = Flight(call, entry)
        call.attempts += 1
        self._flights[call.request.request_id] = flight
        runner = self._runners[action.endpoint.vm_id]
        arrival = self.now + ONE_WAY_SECONDS
        self.schedule(arrival, lambda: runner.take(flight))

    def _land(self, flight: Flight, outcome: Outcome) -> None:
        call = flight.call
        if flight.gone or call.ended:
            return
        flight.gone = True
        if outcome is Outcome.ANSWERED:
            call.answered_at = self.now
        call.ended = outcome is not Outcome.BUSY
        name = call.request.request_id
        self._tell(flight.entry, AttemptEnded(name, outcome, outcome.value))

    def _time_out(self, call: Call, entry: int) -> None:
        if call.ended:
            return
        name = call.request.request_id
        flight = self._flights[name]
        flight.gone = True
        self._tell(entry, DeadlinePassed(name))
        call.ended = True

    def _wake(self, index: int) -> None:
        if self._wakes[index] <= self.now:
            self._wakes[index] = float('inf')
            self._tell(index, TimePassed())


class Runner:
    """An endpoint: slots, and perhaps a queue of its own.

    A cancelled request frees its slot; one that waits is skipped.
    """

    def __init__(
        self, simulation: Simulation, settings: RunnerSettings
    ) -> None:
        """Start idle."""
        self._simulation = simulation
        self._settings = settings
        self._active = 0
        self._queue: deque[Flight] = deque()

    def take(self, flight: Flight) -> None:
        """Take a request that has arrived."""
        simulation = self._simulation
        if self._settings.fails_fast:
            end = simulation.now + FAST_FAILURE_SECONDS
            simulation.schedule(
                end, lambda: simulation.come_back(flight, Outcome.FAILED)
            )
        elif self._active < self._settings.slots:
            self._start(flight)
        elif self._settings.keeps_queue and len(self._queue) < CONNECTIONS:
            self._queue.append(flight)
        else:
            simulation.come_back(flight, Outcome.BUSY)

    def _start(self, flight: Flight) -> None:
        self._active += 1
        flight.running = True
        simulation = self._simulation
        seconds = flight.call.seconds * self._settings.slow_factor
        deadline = flight.call.request.deadline + ONE_WAY_SECONDS
        end = min(simulation.now + seconds, max(deadline, simulation.now))
        simulation.schedule(end, lambda: self._end(flight))

    def _end(self, flight: Flight) -> None:
        self._active -= 1
        self._simulation.come_back(flight, Outcome.ANSWERED)
        while self._queue and self._active < self._settings.slots:
            waiting = self._queue.popleft()
            if not waiting.gone:
                self._start(waiting)


def draw_seconds(source: random.Random, mean: float) -> float:
    """Return a random time of service around a mean."""
    return source.expovariate(1 / mean)
