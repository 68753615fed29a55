"""Choice of an endpoint: two random candidates, the cheaper one wins.

Endpoints of the own availability zone come first; others get a request when
none of them has room.  Room is what this process allows itself: the slots, less
while an endpoint is ejected, probed or newly started.  An endpoint that has
just refused for want of a slot is taken only when there is no other.

At most half of the endpoints are ejected at once, so that a fault of this
entry VM doesn't make it eject everybody.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonlb.model.invariant import ensure
from tarragonlb.routing.endpointhealth import FAILURES, EndpointHealth, Outcome

MAX_EJECTED_SHARE = 0.5
MAX_DRAWS = 4
CANDIDATES = 2
SMOOTHING = 0.05
INITIAL_LATENCY_SECONDS = 0.1

_NO_VM: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An endpoint of a pool: its VM, ``ip:port`` and availability zone."""

    vm_id: str
    address: str
    zone: str
    slots: int


class Room:
    """Which endpoints have room for one request now.

    ``avoid`` holds the VMs that it has tried already.  ``take_busy`` admits
    endpoints that have just refused a request.  ``typical`` is the pool's
    latency in seconds, for endpoints with none of their own.
    """

    __slots__ = ('_avoid', '_loads', '_now', '_take_busy', 'typical')

    def __init__(
        self,
        loads: dict[str, EndpointHealth],
        now: float,
        avoid: frozenset[str],
        *,
        take_busy: bool,
    ) -> None:
        """Look at the loads as they are now."""
        self._loads = loads
        self._now = now
        self._avoid = avoid
        self._take_busy = take_busy
        self.typical = INITIAL_LATENCY_SECONDS

    def list_free(self, spots: Iterable[Endpoint]) -> list[Endpoint]:
        """Return those of the endpoints that have room."""
        return [spot for spot in spots if self._is_free(spot)]

    def rate_cost(self, spot: Endpoint) -> float:
        """Return the expected cost of a request there; lower is better."""
        load = self._loads[spot.vm_id]
        return load.rate_cost(spot.slots, self.typical, self._now)

    def _is_free(self, spot: Endpoint) -> bool:
        load = self._loads[spot.vm_id]
        if spot.vm_id in self._avoid:
            return False
        if load.busy_until > self._now and not self._take_busy:
            return False
        return load.active < load.count_allowed(spot.slots, self._now)


class Balancer:
    """The endpoints of one pool that may take new requests."""

    __slots__ = (
        '_endpoints',
        '_far',
        '_latency',
        '_loads',
        '_near',
        '_random',
        '_zone',
    )

    def __init__(self, zone: str, source: random.Random) -> None:
        """Prefer endpoints of ``zone``; ``source`` draws the candidates."""
        self._zone = zone
        self._random = source
        self._latency: float | None = None
        self._endpoints: dict[str, Endpoint] = {}
        self._near: list[Endpoint] = []
        self._far: list[Endpoint] = []
        self._loads: dict[str, EndpointHealth] = {}

    def replace(self, endpoints: Iterable[Endpoint], now: float) -> None:
        """Take over the endpoints that may get new requests.

        One that joins others starts slowly.
        """
        since = now if self._endpoints else float('-inf')
        self._endpoints = {spot.vm_id: spot for spot in endpoints}
        self._loads = {
            vm_id: load
            for vm_id, load in self._loads.items()
            if vm_id in self._endpoints or load.active
        }
        for vm_id in self._endpoints:
            if vm_id not in self._loads:
                self._loads[vm_id] = EndpointHealth(since)
        spots = list(self._endpoints.values())
        self._near = [spot for spot in spots if spot.zone == self._zone]
        self._far = [spot for spot in spots if spot.zone != self._zone]

    def count_slots(self, now: float) -> int:
        """Return the slots that may be used now, of all endpoints together."""
        return sum(
            self._loads[spot.vm_id].count_allowed(spot.slots, now)
            for spot in self._endpoints.values()
        )

    def count_ejected(self, now: float) -> int:
        """Return how many endpoints get nothing at the moment."""
        return sum(
            self._loads[vm_id].ejected_until > now for vm_id in self._endpoints
        )

    def choose(
        self, now: float, avoid: frozenset[str] = _NO_VM
    ) -> Endpoint | None:
        """Return an endpoint with room, or None.

        ``avoid`` holds the VMs that this request has tried already.
        """

        for take_busy in (False, True):
            room = Room(self._loads, now, avoid, take_busy=take_busy)
            if self._latency is not None:
                room.typical = self._latency
            for spots in (self._near, self._far):
                found = self._draw(spots, room)
                if found:
                    return found
        return None

    def begin(self, vm_id: str) -> None:
        """Count a request that is sent to an endpoint."""
        ensure(vm_id in self._endpoints, 'only listed endpoints get work')
        self._loads[vm_id].active += 1

    def finish(
        self, vm_id: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Count the end of a request and what it tells of the endpoint."""
        load = self._loads[vm_id]
        load.active -= 1
        ensure(load.active >= 0, 'an attempt ends once', vm_id)
        if vm_id in self._endpoints:
            self._learn(vm_id, outcome, seconds, now)
        elif not load.active:
            self._loads.pop(vm_id)

    def count_declared(self) -> int:
        """Return the slots of all endpoints together, usable or not."""
        return sum(spot.slots for spot in self._endpoints.values())

    def _learn(
        self, vm_id: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        load = self._loads[vm_id]
        if outcome is Outcome.ANSWERED:
            load.succeed(seconds, now)
            self._learn_latency(seconds)
        elif outcome is Outcome.BUSY:
            load.refuse(now)
        elif outcome in FAILURES:
            should_eject = load.fail()
            if should_eject and self._may_eject(now):
                load.eject(now)

    def _learn_latency(self, seconds: float) -> None:
        before = seconds if self._latency is None else self._latency
        self._latency = before + SMOOTHING * (seconds - before)

    def _draw(self, spots: list[Endpoint], room: Room) -> Endpoint | None:
        for _ in range(MAX_DRAWS):
            drawn = room.list_free(self._sample(spots))
            if drawn:
                return min(drawn, key=room.rate_cost)
        free = self._sample(room.list_free(spots))
        return min(free, key=room.rate_cost, default=None)

    def _sample(self, spots: list[Endpoint]) -> list[Endpoint]:
        return self._random.sample(spots, min(CANDIDATES, len(spots)))

    def _may_eject(self, now: float) -> bool:
        ejected = self.count_ejected(now) + 1
        return ejected <= len(self._endpoints) * MAX_EJECTED_SHARE
