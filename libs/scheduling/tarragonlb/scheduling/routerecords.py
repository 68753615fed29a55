"""Records of the pools that serve each route, in the fleet partition.

    route/DIGEST   the names and pools that a queue had, the present one last

A daemon that starts knows from them where jobs of a queue may be that has moved
while it was not running.  The owner of the fleet writes them after each
configuration.

>>> queue = Queue(name='q', host='h', path_prefix='/', pool='a')
>>> record, = plan_route_records([queue], {}, wall_ms=0.0)
>>> decode_route(record.value).homes
[('q', 'a')]
"""

import hashlib
from collections.abc import Iterable, Iterator, Mapping

import cbor2
import msgspec

from tarragonlb.model.decoding import Amount, convert, decode_cbor
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.queuemoves import RETENTION_MS
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.scheduling.routehistory import (
    MAX_HOMES,
    Home,
    Route,
    get_route,
)

ROUTE = 'route'
DIGEST_BYTES = 8


class RouteRecord(msgspec.Struct, array_like=True, frozen=True):
    """The names and pools that a queue had, reached by a host and a prefix.

    ``changed_ms`` is when the last one was added, or when the route went, in
    Unix milliseconds.
    """

    host: str
    path_prefix: str
    homes: list[tuple[str, str]]
    is_configured: bool
    changed_ms: Amount

    @property
    def route(self) -> Route:
        """Return how requests reach the queue."""
        return (self.host, self.path_prefix)

    def is_old(self, wall_ms: float) -> bool:
        """Return whether only the present home matters any more."""
        return wall_ms - self.changed_ms > RETENTION_MS

    def list_homes(self, wall_ms: float) -> list[Home]:
        """Return the names and pools that jobs of the queue may have."""
        return self.homes[-1:] if self.is_old(wall_ms) else self.homes


def decode_route(value: bytes) -> RouteRecord:
    """Return the route in a record; raise ``ValueError`` if it is invalid."""
    return convert(decode_cbor(value), RouteRecord)


def plan_route_records(
    queues: Iterable[Queue], stored: Mapping[Route, RouteRecord], wall_ms: float
) -> list[KeyedRecord]:
    """Return the records to store for the queues of a configuration.

    ``stored`` are the routes that are stored so far.
    """
    configured = {get_route(queue): queue for queue in queues}
    records = [
        _build(_add_home(stored.get(route), queue, wall_ms))
        for route, queue in configured.items()
        if not _is_current(stored.get(route), queue)
    ]
    records.extend(_list_unconfigured(configured, stored, wall_ms))
    return records


def _list_unconfigured(
    configured: Mapping[Route, Queue],
    stored: Mapping[Route, RouteRecord],
    wall_ms: float,
) -> Iterator[KeyedRecord]:
    for route, known in stored.items():
        if route in configured:
            continue
        if known.is_configured:
            yield _build(
                msgspec.structs.replace(
                    known, is_configured=False, changed_ms=wall_ms
                )
            )
        elif known.is_old(wall_ms):
            yield KeyedRecord(_build_key(route), b'')


def _is_current(known: RouteRecord | None, queue: Queue) -> bool:
    if known is None or not known.is_configured:
        return False
    return known.homes[-1:] == [(queue.name, queue.pool)]


def _add_home(
    known: RouteRecord | None, queue: Queue, wall_ms: float
) -> RouteRecord:
    home = (queue.name, queue.pool)
    homes = [] if known is None else known.list_homes(wall_ms)
    others = [one for one in homes if one != home]
    host, path_prefix = get_route(queue)
    return RouteRecord(
        host, path_prefix, [*others, home][-MAX_HOMES:], True, wall_ms
    )


def _build(record: RouteRecord) -> KeyedRecord:
    return KeyedRecord(
        _build_key(record.route), cbor2.dumps(msgspec.to_builtins(record))
    )


def _build_key(route: Route) -> str:
    text = '\0'.join(route).encode()
    digest = hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
    return f'{ROUTE}/{digest}'
