"""The pools that served a route in the configurations that a process has seen.

A queue is reached by a host and a path prefix.  Its name and its pool may
change, while jobs that it accepted before stay where they are.

>>> old = Queue(name='q1', host='h', path_prefix='/', pool='a')
>>> new = Queue(name='q2', host='h', path_prefix='/', pool='b')
>>> history = RouteHistory()
>>> history.apply([old])
>>> history.apply([new])
>>> history.list_former(new), history.count_changes(new)
((('q1', 'a'),), 1)
"""

from collections import Counter
from collections.abc import Iterable

from tarragonlb.scheduling.queue import Queue

# Routes that are not configured any more are forgotten beyond this number, the
# longest unseen first.
MAX_ROUTES = 20_000
# Pools of one route that are remembered, the newest ones.
MAX_HOMES = 8

Route = tuple[str, str]
Home = tuple[str, str]


class RouteHistory:
    """The name and the pool that a queue had, for each route, newest last."""

    __slots__ = ('_changes', '_homes')

    def __init__(self) -> None:
        """Start without configurations."""
        self._homes: dict[Route, tuple[Home, ...]] = {}
        self._changes: Counter[Route] = Counter()

    def apply(self, queues: Iterable[Queue]) -> None:
        """Take note of the queues of a configuration."""
        for queue in queues:
            route, home = get_route(queue), (queue.name, queue.pool)
            known = self._homes.pop(route, ())
            if known and known[-1] != home:
                self._changes[route] += 1
            if not known or known[-1] != home:
                known = (*(one for one in known if one != home), home)
            # Moved to the end, so that the longest unseen are the first.
            self._homes[route] = known[-MAX_HOMES:]
        while len(self._homes) > MAX_ROUTES:
            forgotten = next(iter(self._homes))
            self._homes.pop(forgotten)
            self._changes.pop(forgotten, None)

    def list_former(self, queue: Queue) -> tuple[Home, ...]:
        """Return the names and pools that a queue has had, not the present."""
        known = self._homes.get(get_route(queue))
        if known is None:
            return ()
        present = (queue.name, queue.pool)
        return tuple(home for home in known if home != present)

    def count_changes(self, queue: Queue) -> int:
        """Return how often the name or the pool of a queue has changed."""
        return self._changes[get_route(queue)]


def get_route(queue: Queue) -> Route:
    """Return how requests reach a queue."""
    return (queue.host.lower(), queue.path_prefix)
