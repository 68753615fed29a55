"""Choice of an endpoint: two random candidates, the less busy one wins.

Endpoints of the own availability zone come first.  One that failed lately is
passed over until its ejection ends, but never more than half of them at once,
so that a fault of this entry VM does not make it eject everybody.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

EJECTION_SECONDS = 5
FAILURES_TO_EJECT = 3
MAX_EJECTED_SHARE = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class Endpoint:
    """An endpoint of a pool: its VM, ``ip:port`` and availability zone."""

    vm_id: str
    address: str
    zone: str
    slots: int


class Load:
    """What this process knows of an endpoint from its own requests."""

    __slots__ = ('active', 'ejected_until', 'failures')

    def __init__(self) -> None:
        """Start idle and trusted."""
        self.active = 0
        self.failures = 0
        self.ejected_until = 0.0


class Balancer:
    """The endpoints of one pool that may take new requests."""

    __slots__ = ('_endpoints', '_loads', '_random', '_zone')

    def __init__(self, zone: str, source: random.Random) -> None:
        """Prefer endpoints of ``zone``; ``source`` draws the candidates."""
        self._zone = zone
        self._random = source
        self._endpoints: dict[str, Endpoint] = {}
        self._loads: dict[str, Load] = {}

    def replace(self, endpoints: Iterable[Endpoint]) -> None:
        """Take over the endpoints that may get new requests."""
        self._endpoints = {spot.vm_id: spot for spot in endpoints}
        self._loads = {
            vm_id: load
            for vm_id, load in self._loads.items()
            if vm_id in self._endpoints or load.active
        }

    def count_slots(self) -> int:
        """Return the slots of all endpoints together."""
        return sum(spot.slots for spot in self._endpoints.values())

    def choose(self, now: float, avoid: frozenset[str]) -> Endpoint | None:
        """Return an endpoint with a free slot, or None.

        ``avoid`` holds the VMs that this request has tried already.
        """
        free = [
            spot
            for spot in self._list_trusted(now)
            if spot.vm_id not in avoid
            and self._load(spot.vm_id).active < spot.slots
        ]
        near = [spot for spot in free if spot.zone == self._zone]
        candidates = near or free
        if not candidates:
            return None
        pair = self._random.choices(candidates, k=2)
        return min(pair, key=self._rate)

    def begin(self, vm_id: str) -> None:
        """Count a request that is sent to an endpoint."""
        self._load(vm_id).active += 1

    def finish(self, vm_id: str, now: float, *, failed: bool) -> None:
        """Count the end of a request and what it tells of the endpoint."""
        load = self._load(vm_id)
        load.active -= 1
        load.failures = load.failures + 1 if failed else 0
        if load.failures >= FAILURES_TO_EJECT:
            load.ejected_until = now + EJECTION_SECONDS

    def _rate(self, spot: Endpoint) -> float:
        return self._load(spot.vm_id).active / spot.slots

    def _load(self, vm_id: str) -> Load:
        load = self._loads.get(vm_id)
        if load is None:
            load = Load()
            self._loads[vm_id] = load
        return load

    def _list_trusted(self, now: float) -> list[Endpoint]:
        spots = list(self._endpoints.values())
        trusted = [
            spot
            for spot in spots
            if self._load(spot.vm_id).ejected_until <= now
        ]
        if len(trusted) < len(spots) * (1 - MAX_EJECTED_SHARE):
            return spots
        return trusted
