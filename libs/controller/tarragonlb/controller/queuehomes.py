"""Finds the partitions where the jobs of a queue may be, while it moves.

Jobs stay in the partition of the pool that their queue had when they were
accepted.  Which partitions that may be is known from the configurations that
this process has seen, and from the records of moves in the partitions, which
other daemons may have written (see ``tarragonlb.scheduling.queuemoves``).

A queue that has not moved has one home, and costs no call to the store.  One
that has moved is settled once by each daemon that accepts jobs for it: the move
is recorded in its former partition, which is then read up to that record.
"""

import secrets
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, replace

import trio

from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock, Configuration, Store
from tarragonlb.controller.results import Stored
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.job import MS_PER_SECOND, Job
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.queuemoves import QueueMove, build_move_record
from tarragonlb.scheduling.routehistory import Home, Route, get_route
from tarragonlb.telemetry.log import Log

LOG = Log('desk')
TOKEN_BYTES = 8

# How often a route has changed, and its names and pools, the present first.
Settled = tuple[int, tuple[Home, ...]]


@dataclass(frozen=True, slots=True)
class Place:
    """A queue's name and pool, now or formerly, and that pool's partition."""

    queue: str
    pool: str
    feed: PartitionFeed


class QueueHomes:
    """The partitions of the jobs of each queue, as far as is known."""

    __slots__ = (
        '_clock',
        '_feeds',
        '_locks',
        '_settings',
        '_settled',
        '_store',
        '_view',
    )

    def __init__(
        self,
        store: Store,
        feeds: Mapping[int, PartitionFeed],
        settings: ControllerSettings,
        clock: Clock,
        view: PlatformView,
    ) -> None:
        """Read the partitions of ``feeds``, to which the caller adds."""
        self._store = store
        self._feeds = feeds
        self._settings = settings
        self._clock = clock
        self._view = view
        self._locks: dict[Route, trio.Lock] = {}
        # What was known of each route when it was settled.
        self._settled: dict[Route, Settled] = {}

    def find_feed(self, pool: str) -> PartitionFeed | None:
        """Return the feed of a pool's partition, None if it has none yet."""
        partition = self._view.find_partition(pool)
        return None if partition is None else self._feeds.get(partition)

    def list_places(self, queue: Queue) -> Iterator[Place]:
        """Yield where jobs of a queue may be, the present place first."""
        present = (queue.name, queue.pool)
        for name, pool in (present, *self._list_former(queue)):
            feed = self.find_feed(pool)
            if feed is not None:
                yield Place(name, pool, feed)

    async def read_all(self, queue: Queue) -> bool:
        """Read all partitions where jobs of a queue may be, to their ends.

        Return whether all that is stored now has been read, so that a job that
        is still unknown does not exist.
        """
        read: set[int] = set()
        while True:
            unread = [
                place
                for place in self.list_places(queue)
                if place.feed.partition not in read
            ]
            if not unread:
                break
            for place in unread:
                if not await place.feed.refresh():
                    return False
                read.add(place.feed.partition)
        return bool(read) and await self._read_first()

    def must_settle(self, queue: Queue) -> bool:
        """Return whether a queue has moved and jobs can't be accepted yet."""
        feed = self.find_feed(queue.pool)
        if feed is None:
            return False
        if _is_away(feed, queue):
            return True
        places = self._list_other_places(queue, feed)
        return bool(places) and not self._is_settled(queue, places)

    async def settle(self, job: Job, queue: Queue) -> Job | None:
        """Return a job as it may be accepted now, None if that is not known.

        What the former partitions of its queue keep has been read then.  If the
        queue has moved on, to where a later configuration says, the job belongs
        there.
        """
        lock = self._locks.setdefault(get_route(queue), trio.Lock())
        with trio.move_on_after(self._settings.submit_timeout_seconds):
            async with lock:
                # The configuration may have changed since the request came.
                configuration = self._view.configuration
                present = _find_same_route(configuration, queue)
                if configuration is None or present is None:
                    return self._follow(job, queue)
                if not self.must_settle(present) or await self._settle_places(
                    present, configuration.version
                ):
                    return self._follow(job, present)
        return None

    def _is_settled(self, queue: Queue, places: tuple[Place, ...]) -> bool:
        known = self._settled.get(get_route(queue))
        return known == self._describe(queue, places)

    def _describe(self, queue: Queue, places: tuple[Place, ...]) -> Settled:
        changes = self._view.route_history.count_changes(queue)
        homes = tuple((place.queue, place.pool) for place in places)
        return (changes, ((queue.name, queue.pool), *homes))

    async def _settle_places(self, queue: Queue, version: int) -> bool:
        """Record that a queue has moved, in its former partitions and here.

        ``version`` is that of the configuration that has the queue.  Return
        whether that is done, or this daemon is behind.
        """
        present = self.find_feed(queue.pool)
        if present is None:
            return False
        move = present.queue_moves.find(queue.name, queue.pool)
        if move is not None and move.is_away and move.version >= version:
            return True
        places = self._list_other_places(queue, present)
        described = self._describe(queue, places)
        for place in places:
            target = (queue.name, queue.pool)
            await self._record(place, queue, target, version)
            if not await _read_moves(place.feed):
                return False
        # A daemon that is behind can't record any more that it is elsewhere.
        own = Place(queue.name, queue.pool, present)
        await self._record(own, queue, ('', ''), version)
        self._settled[get_route(queue)] = described
        return True

    async def _record(
        self, place: Place, queue: Queue, target: Home, version: int
    ) -> None:
        """Record in a partition where jobs of a queue belong, until stored.

        Nothing is written if a record of this configuration, or of a later one,
        is known.
        """
        feed = place.feed
        known = feed.queue_moves.find(place.queue, place.pool)
        if known is not None and known.version >= version:
            return
        host, path_prefix = get_route(queue)
        move = QueueMove(
            version=version,
            queue=place.queue,
            pool=place.pool,
            host=host,
            path_prefix=path_prefix,
            target_queue=target[0],
            target_pool=target[1],
            stored_ms=max(self._clock.read_wall() * MS_PER_SECOND, 0),
        )
        while True:
            # An append without an answer may have been carried out.
            record = build_move_record(move, secrets.token_hex(TOKEN_BYTES))
            result = await self._store.append(feed.partition, (record,), None)
            if isinstance(result, Stored):
                break
            await trio.sleep(self._settings.store_retry_seconds)
        feed.apply_stored((record,), result.first)
        LOG.emit(
            'Move of a queue recorded.',
            queue=place.queue,
            pool=place.pool,
            partition=feed.partition,
            target_queue=move.target_queue,
            target_pool=move.target_pool,
            version=version,
        )

    def _follow(self, job: Job, queue: Queue) -> Job | None:
        """Return a job with the pool that the latest known record names."""
        name, pool = queue.name, queue.pool
        passed: set[Home] = set()
        while (name, pool) not in passed:
            passed.add((name, pool))
            feed = self.find_feed(pool)
            if feed is None:
                return None
            move = feed.queue_moves.find(name, pool)
            if move is None or not move.is_away:
                return replace(job, queue=name, pool=pool)
            name, pool = move.target_queue, move.target_pool
        # Each of these pools has passed the queue on to another one: a daemon
        # is just recording the latest configuration.
        return None

    async def _read_first(self) -> bool:
        """Read the partitions that were never read; return whether all are."""
        for partition in set(self._view.fleet_state.partitions.values()):
            feed = self._feeds.get(partition)
            if feed is None:
                return False
            if feed.last_read_at is None and not await feed.refresh():
                return False
        return True

    def _list_former(self, queue: Queue) -> tuple[Home, ...]:
        """Return the names and pools that a queue had, or may get next.

        Pools that have no partition never had a job.
        """
        found = {
            *self._view.route_history.list_former(queue),
            *self._list_stored(get_route(queue)),
        }
        for feed in self._feeds.values():
            if not feed.queue_moves.is_empty:
                found.update(_list_moved(feed, get_route(queue)))
        found.discard((queue.name, queue.pool))
        return tuple(sorted(home for home in found if self.find_feed(home[1])))

    def _list_stored(self, route: Route) -> list[Home]:
        """Return what the owner of the fleet has stored about a route."""
        stored = self._view.fleet_state.routes.get(route)
        if stored is None:
            return []
        return stored.list_homes(self._clock.read_wall() * MS_PER_SECOND)

    def _list_other_places(
        self, queue: Queue, present: PartitionFeed
    ) -> tuple[Place, ...]:
        """Return where a queue had jobs outside its present partition."""
        return tuple(
            place
            for place in self.list_places(queue)
            if place.feed is not present
        )


def _find_same_route(
    configuration: Configuration | None, queue: Queue
) -> Queue | None:
    """Return the queue that a configuration has for the route of another."""
    if configuration is None:
        return None
    found = configuration.queues.find(queue.host, queue.path_prefix)
    if found is None or get_route(found) != get_route(queue):
        return None
    return found


async def _read_moves(feed: PartitionFeed) -> bool:
    """Read a partition up to its last known record of a move.

    Return whether the store has answered.
    """
    while not feed.has_read(feed.queue_moves.last_offset):
        if not await feed.refresh():
            return False
    return True


def _is_away(feed: PartitionFeed, queue: Queue) -> bool:
    """Return whether the partition of a queue's pool passes its jobs on."""
    move = feed.queue_moves.find(queue.name, queue.pool)
    return move is not None and move.is_away


def _list_moved(feed: PartitionFeed, route: Route) -> Iterator[Home]:
    """Yield the names and pools that the moves of a partition name."""
    for move in feed.queue_moves.list_moves():
        if move.route == route:
            yield (move.queue, move.pool)
            if move.is_away:
                yield (move.target_queue, move.target_pool)
