"""The queues of open jobs, also of those that operators have removed.

A job that was accepted runs to its end even if its queue is removed meanwhile.
Its owner then goes by the last settings that it knew.  An owner that takes over
later knows none: after a while, in which it may still read a newer
configuration, it runs such jobs behind all others.  How often a task may fail
is stored with the job.
"""

from collections.abc import Mapping

from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.queue import Queue

# Well above the time in which a daemon applies a new configuration.
UNKNOWN_QUEUE_SECONDS = 5.0
# For jobs that a version accepted which did not store it.
UNLIMITED_ATTEMPTS = 1 << 30


class QueueHistory:
    """Finds the queue of a job.

    >>> history = QueueHistory()
    >>> history.find({}, state, now=0.0)      # doctest: +SKIP
    """

    __slots__ = ('_known', '_unknown_since')

    def __init__(self) -> None:
        """Start without having seen any queue."""
        self._known: dict[str, Queue] = {}
        self._unknown_since: dict[str, float] = {}

    def find(
        self, queues: Mapping[str, Queue], state: JobState, now: float
    ) -> Queue | None:
        """Return the queue of a job at ``now`` seconds.

        ``queues`` are those of the configuration, by name.  None while there is
        no configuration, or while it may be too old to list the queue.
        """
        job = state.job
        queue = queues.get(job.queue)
        if queue is not None:
            self._known[job.queue] = queue
            return queue
        known = self._known.get(job.queue)
        if known is not None or not queues:
            return known
        since = self._unknown_since.setdefault(job.queue, now)
        if now < since + UNKNOWN_QUEUE_SECONDS:
            return None
        return Queue(
            name=job.queue,
            host='',
            path_prefix='',
            pool=job.pool,
            max_attempts=state.max_attempts or UNLIMITED_ATTEMPTS,
            priority=max(listed.priority for listed in queues.values()),
        )
