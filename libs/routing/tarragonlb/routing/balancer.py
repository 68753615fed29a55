"""Endpoint selection: the cheaper of two random candidates.

Endpoints in the own availability zone are preferred; those in other zones get a
request if no local one has free capacity.  The capacity of an endpoint is its
slots, reduced while it is ejected, probed or in slow start.  An endpoint that
has just refused a request as busy is used only if there is no other.

At most half of the endpoints are ejected at once, so a fault of this entry VM
itself can't make it eject all of them.
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
    """An endpoint of a pool: VM, ``ip:port``, availability zone and slots."""

    vm_id: str
    address: str
    zone: str
    slots: int


class Candidates:
    """Filters and rates the endpoints that can take one request now.

    ``avoid`` holds the VMs that this request has already tried.
    ``include_busy`` accepts endpoints that have just refused a request as busy.
    ``default_latency`` is the latency of the pool in seconds, for endpoints
    without a measurement of their own.
    """

    __slots__ = (
        '_avoid',
        '_health',
        '_include_busy',
        '_now',
        'default_latency',
    )

    def __init__(
        self,
        health: dict[str, EndpointHealth],
        now: float,
        avoid: frozenset[str],
        *,
        include_busy: bool,
    ) -> None:
        """Use the current health of the endpoints."""
        self._health = health
        self._now = now
        self._avoid = avoid
        self._include_busy = include_busy
        self.default_latency = INITIAL_LATENCY_SECONDS

    def list_available(self, endpoints: Iterable[Endpoint]) -> list[Endpoint]:
        """Return the endpoints that have free capacity."""
        return [
            endpoint for endpoint in endpoints if self._is_available(endpoint)
        ]

    def estimate_cost(self, endpoint: Endpoint) -> float:
        """Return the expected cost of a request; lower is better."""
        health = self._health[endpoint.vm_id]
        return health.estimate_cost(
            endpoint.slots, self.default_latency, self._now
        )

    def _is_available(self, endpoint: Endpoint) -> bool:
        health = self._health[endpoint.vm_id]
        if endpoint.vm_id in self._avoid:
            return False
        if health.busy_until > self._now and not self._include_busy:
            return False
        return health.active < health.count_allowed(endpoint.slots, self._now)


class Balancer:
    """Selects among the endpoints of one pool that accept new requests."""

    __slots__ = (
        '_endpoints',
        '_health',
        '_latency',
        '_local',
        '_remote',
        '_rng',
        '_zone',
    )

    def __init__(self, zone: str, rng: random.Random) -> None:
        """Prefer endpoints in ``zone``; ``rng`` draws the candidates."""
        self._zone = zone
        self._rng = rng
        self._latency: float | None = None
        self._endpoints: dict[str, Endpoint] = {}
        self._local: list[Endpoint] = []
        self._remote: list[Endpoint] = []
        self._health: dict[str, EndpointHealth] = {}

    def update_endpoints(
        self, endpoints: Iterable[Endpoint], now: float
    ) -> None:
        """Replace the endpoints that accept new requests.

        An endpoint that joins others goes through a slow start.
        """
        joined_at = now if self._endpoints else float('-inf')
        self._endpoints = {endpoint.vm_id: endpoint for endpoint in endpoints}
        self._health = {
            vm_id: health
            for vm_id, health in self._health.items()
            if vm_id in self._endpoints or health.active
        }
        for vm_id in self._endpoints:
            if vm_id not in self._health:
                self._health[vm_id] = EndpointHealth(joined_at)
        current = list(self._endpoints.values())
        self._local = [
            endpoint for endpoint in current if endpoint.zone == self._zone
        ]
        self._remote = [
            endpoint for endpoint in current if endpoint.zone != self._zone
        ]

    def count_usable_slots(self, now: float) -> int:
        """Return the sum of the slots that may be used now."""
        return sum(
            self._health[endpoint.vm_id].count_allowed(endpoint.slots, now)
            for endpoint in self._endpoints.values()
        )

    def count_ejected(self, now: float) -> int:
        """Return the number of endpoints that are ejected."""
        return sum(
            self._health[vm_id].ejected_until > now for vm_id in self._endpoints
        )

    def choose(
        self, now: float, avoid: frozenset[str] = _NO_VM
    ) -> Endpoint | None:
        """Return an endpoint with free capacity, or None.

        ``avoid`` holds the VMs that this request has already tried.
        """

        for include_busy in (False, True):
            candidates = Candidates(
                self._health, now, avoid, include_busy=include_busy
            )
            if self._latency is not None:
                candidates.default_latency = self._latency
            for group in (self._local, self._remote):
                found = self._pick(group, candidates)
                if found:
                    return found
        return None

    def record_start(self, vm_id: str) -> None:
        """Record that a request is sent to an endpoint."""
        ensure(vm_id in self._endpoints, 'requests go only to listed endpoints')
        self._health[vm_id].active += 1

    def record_end(
        self, vm_id: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        """Record the end of an attempt and the health of its endpoint."""
        health = self._health[vm_id]
        health.active -= 1
        ensure(health.active >= 0, 'each attempt ends only once', vm_id)
        if vm_id in self._endpoints:
            self._record_outcome(vm_id, outcome, seconds, now)
        elif not health.active:
            self._health.pop(vm_id)

    def count_declared_slots(self) -> int:
        """Return the sum of the declared slots, usable or not."""
        return sum(endpoint.slots for endpoint in self._endpoints.values())

    def _record_outcome(
        self, vm_id: str, outcome: Outcome, seconds: float, now: float
    ) -> None:
        health = self._health[vm_id]
        if outcome is Outcome.ANSWERED:
            health.record_success(seconds, now)
            self._update_latency(seconds)
        elif outcome is Outcome.BUSY:
            health.record_refusal(now)
        elif outcome in FAILURES:
            should_eject = health.record_failure()
            if should_eject and self._can_eject(now):
                health.eject(now)

    def _update_latency(self, seconds: float) -> None:
        previous = seconds if self._latency is None else self._latency
        self._latency = previous + SMOOTHING * (seconds - previous)

    def _pick(
        self, endpoints: list[Endpoint], candidates: Candidates
    ) -> Endpoint | None:
        for _ in range(MAX_DRAWS):
            drawn = candidates.list_available(self._sample(endpoints))
            if drawn:
                return min(drawn, key=candidates.estimate_cost)
        available = self._sample(candidates.list_available(endpoints))
        return min(available, key=candidates.estimate_cost, default=None)

    def _sample(self, endpoints: list[Endpoint]) -> list[Endpoint]:
        return self._rng.sample(endpoints, min(CANDIDATES, len(endpoints)))

    def _can_eject(self, now: float) -> bool:
        ejected = self.count_ejected(now) + 1
        return ejected <= len(self._endpoints) * MAX_EJECTED_SHARE
