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
    ``stretch`` times its critical path plus ``objective_seconds``.
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


class QueueTable:
    """Finds the queue of a request by host and longest path prefix.

    >>> table = QueueTable([Queue(name='a', host='h', path_prefix='/x/',
    ...                           pool='p')])
    >>> table.find('h', '/x/17').name
    'a'
    """

    __slots__ = ('_by_host', 'by_name')

    def __init__(self, queues: Iterable[Queue]) -> None:
        """Index the queues of one configuration."""
        self.by_name = {queue.name: queue for queue in queues}
        self._by_host: dict[str, list[Queue]] = {}
        for queue in self.by_name.values():
            self._by_host.setdefault(queue.host.lower(), []).append(queue)
        for listed in self._by_host.values():
            listed.sort(key=_get_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a request, or None if there is none."""
        for queue in self._by_host.get(host.lower(), ()):
            if path.startswith(queue.path_prefix):
                return queue
        return None

    def list_pools(self) -> frozenset[str]:
        """Return the pools of all queues."""
        return frozenset(queue.pool for queue in self.by_name.values())


def _get_prefix_length(queue: Queue) -> int:
    return len(queue.path_prefix)
