"""Job queues: how requests map to them, and how their jobs are scheduled."""

from collections.abc import Iterable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class Advice:
    """Timing of the requests to a queue's placement policy, in seconds."""

    decision_seconds: float
    per_worker_seconds: float
    valid_seconds: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Queue:
    """A queue of jobs, as the operators configured it.

    Priority 0 is the highest.  A job fails when one of its tasks has failed
    ``max_attempts`` times.  A job meets its objective if it ends within
    ``stretch`` times its critical path plus ``objective_seconds``.  A public
    queue takes jobs from everyone, and its jobs have no tenant.
    """

    name: str
    host: str
    path_prefix: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1
    objective_seconds: float = 0
    advice: Advice | None = None
    is_public: bool = False


class PrefixTable:
    """Finds the queue of one host whose prefix is the longest of a path."""

    __slots__ = ('_by_prefix', '_lengths')

    def __init__(self) -> None:
        """Start without queues."""
        self._by_prefix: dict[str, Queue] = {}
        # The lengths of all prefixes, each once, longest first.
        self._lengths: list[int] = []

    def add(self, queue: Queue) -> None:
        """Add a queue; of two with the same prefix, the first is found."""
        self._by_prefix.setdefault(queue.path_prefix, queue)
        length = len(queue.path_prefix)
        if length not in self._lengths:
            self._lengths.append(length)
            self._lengths.sort(reverse=True)

    def find(self, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path``, if any."""
        for length in self._lengths:
            queue = self._by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None


class QueueTable:
    """Finds the queue of a request by host and longest path prefix.

    A look-up tries each length of prefix that a host has, longest first, so it
    does not take longer with the number of queues.

    >>> table = QueueTable([Queue(name='a', host='h', path_prefix='/x/',
    ...                           pool='p')])
    >>> table.find('h', '/x/17').name
    'a'
    """

    __slots__ = ('_by_host', 'by_name')

    def __init__(self, queues: Iterable[Queue]) -> None:
        """Index the queues of one configuration."""
        self.by_name = {queue.name: queue for queue in queues}
        self._by_host: dict[str, PrefixTable] = {}
        for queue in self.by_name.values():
            table = self._by_host.setdefault(queue.host.lower(), PrefixTable())
            table.add(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request, or None if there is none."""
        table = self._by_host.get(host.lower())
        return None if table is None else table.find(path)

    def list_pools(self) -> frozenset[str]:
        """Return the pools of all queues."""
        return frozenset(queue.pool for queue in self.by_name.values())
