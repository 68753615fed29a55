"""The state of the fleet's VMs, built from the records about them.

>>> fleet_state = FleetState()
>>> fleet_state.apply([KeyedRecord('through/1/m-1', b'1', 0)], now=0.0)
>>> fleet_state.maintenance_done
{(1, 'm-1')}
"""

from collections.abc import Iterable, Sequence

from tarragonlb.model.decoding import parse_count
from tarragonlb.scheduling.fleetcontent import (
    decode_drain,
    decode_load,
    decode_order,
    decode_worker_id,
)
from tarragonlb.scheduling.fleetrecords import (
    CLOSE,
    EMPTY,
    DrainRequest,
    PoolLoad,
    VmOrder,
)
from tarragonlb.scheduling.ownershiprecords import (
    OwnerOffer,
    OwnerStatus,
    decode_owner_offer,
    decode_owner_status,
    decode_pool_partition,
)
from tarragonlb.scheduling.records import KeyedRecord, RecordError
from tarragonlb.scheduling.routehistory import Route
from tarragonlb.scheduling.routerecords import RouteRecord, decode_route
from tarragonlb.scheduling.waitrecords import WaitFigures, decode_waits

# More partitions than any store has.
ANY_PARTITION = range(65_536)


class FleetState:
    """The newest records about VMs, by kind."""

    __slots__ = (
        '_offsets',
        '_pool_partitions',
        '_route_keys',
        'drain_requests',
        'drained',
        'errors',
        'loads',
        'maintenance_begun',
        'maintenance_begun_at',
        'maintenance_done',
        'orders',
        'owner_offers',
        'owner_statuses',
        'partitions',
        'routes',
        'waits',
    )

    def __init__(self, pool_partitions: Sequence[int] = ANY_PARTITION) -> None:
        """Start without records.

        ``pool_partitions`` are those to which pools may be assigned.
        """
        self._pool_partitions = pool_partitions
        self._offsets: dict[str, int] = {}
        self.drain_requests: dict[str, DrainRequest] = {}
        self.drained: dict[str, DrainRequest] = {}
        self.loads: dict[str, PoolLoad] = {}
        self.orders: dict[str, VmOrder] = {}
        # The worker that ran on a VM before its maintenance, by wave and VM.
        self.maintenance_begun: dict[tuple[int, str], str] = {}
        # When this process first read that a maintenance has begun.
        self.maintenance_begun_at: dict[tuple[int, str], float] = {}
        self.maintenance_done: set[tuple[int, str]] = set()
        # The partition of each pool's jobs.
        self.partitions: dict[str, int] = {}
        # The newest status of each partition's owner.
        self.owner_statuses: dict[int, OwnerStatus] = {}
        # The newest offer to take over each partition.
        self.owner_offers: dict[int, OwnerOffer] = {}
        # The routes of queues, by host and path prefix.
        self.routes: dict[Route, RouteRecord] = {}
        self._route_keys: dict[str, Route] = {}
        self.waits = WaitFigures()
        self.errors: list[RecordError] = []

    def apply(self, records: Iterable[KeyedRecord], now: float) -> None:
        """Apply records that were read at ``now`` seconds.

        For each key the one with the highest offset wins.
        """
        for record in records:
            if self._offsets.get(record.key, -1) >= record.offset:
                continue
            self._offsets[record.key] = record.offset
            try:
                self._apply(record, now)
            except ValueError as error:
                self.errors.append(RecordError(f'{record.key}: {error}'))
        for key in self.maintenance_begun:
            self.maintenance_begun_at.setdefault(key, now)

    def apply_snapshot(
        self, records: Iterable[KeyedRecord], end: int, now: float
    ) -> None:
        """Apply the newest record of each key, complete up to offset ``end``.

        Drain requests that are not listed were withdrawn while nobody read;
        records of other kinds are never removed.
        """
        found = tuple(records)
        listed = {record.key for record in found}
        for key, offset in self._offsets.items():
            kind, _, vm_id = key.partition('/')
            if offset >= end or key in listed:
                continue
            if kind == CLOSE:
                self.drain_requests.pop(vm_id, None)
            elif kind == EMPTY:
                self.drained.pop(vm_id, None)
        self.apply(found, now)

    @property
    def drain_requests_by_worker(self) -> dict[str, DrainRequest]:
        """Return the drain requests by worker id."""
        return {
            request.worker_id: request
            for request in self.drain_requests.values()
        }

    def find_drain_request(
        self, vm_id: str, worker_id: str
    ) -> DrainRequest | None:
        """Return the drain request for a VM's worker, or None.

        Requests for former workers of the VM are ignored.
        """
        request = self.drain_requests.get(vm_id)
        if request is None or request.worker_id != worker_id:
            return None
        return request

    def is_drained(self, vm_id: str, worker_id: str) -> bool:
        """Return whether a VM's worker was drained as requested."""
        request = self.find_drain_request(vm_id, worker_id)
        return request is not None and self.drained.get(vm_id) == request

    def list_recently_ordered(
        self, term: int, wall_ms: float, min_gap_ms: float
    ) -> frozenset[str]:
        """Return the VMs for which another owner recently sent an order.

        Orders of two owners for one VM must be ``min_gap_ms`` apart.  Wall
        clocks differ between owners and may jump, so twice the gap is kept.
        """
        return frozenset(
            vm_id
            for vm_id, order in self.orders.items()
            if order.term != term
            and abs(wall_ms - order.wall_ms) < 2 * min_gap_ms
        )

    def _apply(self, record: KeyedRecord, now: float) -> None:
        kind, _, name = record.key.partition('/')
        match kind:
            case 'begun' | 'through':
                self._apply_maintenance(kind, name, record.value)
            case 'close':
                _apply_drain(self.drain_requests, name, record.value)
            case 'empty':
                _apply_drain(self.drained, name, record.value)
            case 'order':
                self.orders[name] = decode_order(record.value)
            case 'load' | 'wait' | 'route':
                self._apply_pool(kind, name, record.value, now)
            case 'pool' | 'owner' | 'offer':
                self._apply_ownership(kind, name, record.value)
            case _:
                raise RecordError('unknown kind')

    def _apply_maintenance(self, kind: str, name: str, value: bytes) -> None:
        number, _, vm_id = name.partition('/')
        key = (parse_count(number), vm_id)
        if kind == 'begun':
            self.maintenance_begun[key] = decode_worker_id(value)
        else:
            self.maintenance_done.add(key)

    def _apply_pool(
        self, kind: str, name: str, value: bytes, now: float
    ) -> None:
        if kind == 'load':
            self.loads[name] = decode_load(value)
        elif kind == 'route':
            self._apply_route(name, value)
        else:
            self.waits.apply(name, decode_waits(value), now)

    def _apply_route(self, key: str, value: bytes) -> None:
        if not value:
            self.routes.pop(self._route_keys.pop(key, ('', '')), None)
            return
        record = decode_route(value)
        self._route_keys[key] = record.route
        self.routes[record.route] = record

    def _apply_ownership(self, kind: str, name: str, value: bytes) -> None:
        if kind == 'pool':
            partition = decode_pool_partition(value)
            if partition not in self._pool_partitions:
                raise RecordError(f'there is no partition {partition}')
            self.partitions[name] = partition
            return
        if kind == 'offer':
            offer = decode_owner_offer(parse_count(name), value)
            self.owner_offers[offer.partition] = offer
            return
        status = decode_owner_status(parse_count(name), value)
        known = self.owner_statuses.get(status.partition)
        if known is None or known.term <= status.term:
            self.owner_statuses[status.partition] = status


def _apply_drain(
    requests: dict[str, DrainRequest], vm_id: str, value: bytes
) -> None:
    if not value:
        requests.pop(vm_id, None)
        return
    requests[vm_id] = decode_drain(vm_id, value)
