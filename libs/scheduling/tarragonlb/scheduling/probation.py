"""Probation of a worker where tasks failed.

After a failure a worker gets nothing for a while, then one task at a time until
one succeeds there.

>>> probation = Probation()
>>> probation.note_failure(now=10.0)
>>> probation.allows((), 10.4, is_retry=False)
False
>>> probation.allows((), 10.5, is_retry=False)
True
"""

from collections.abc import Iterable

from tarragonlb.scheduling.failurelog import FailureLog
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.task import TaskState

# Backoff of a worker after a failed task; doubled for each failure in a row.
PROBE_BACKOFF_SECONDS = 0.25
# Limits the backoff to 2 s.  When all workers of a pool have failed, the fault
# may be in the jobs, and the pool must run tasks again within 3 s.
MAX_PROBE_DOUBLINGS = 3
# Added to the backoff for a task that has failed before, so that other tasks
# probe the worker first.
RETRY_BACKOFF_SECONDS = 0.5
# A task that has run for this long on a worker on probation no longer keeps
# others from it.
PROBE_SECONDS = 2.0


class Probation:
    """The failures on a worker, and what may be started there meanwhile.

    ``failures`` counts those in a row that the worker is blamed for; while
    there is one it is on probation.  ``log`` says of which tasks.
    """

    __slots__ = ('_failed_at', '_probe_at', 'failures', 'log')

    def __init__(self) -> None:
        """Begin without a failure."""
        self.failures = 0
        self.log = FailureLog()
        self._failed_at = 0.0
        self._probe_at = 0.0

    @property
    def has_recent_failures(self) -> bool:
        """Return whether a task has failed since the last one succeeded.

        Also if the worker is not blamed for it.
        """
        return bool(self.failures or self.log.recent)

    def note_failure(self, now: float) -> None:
        """Begin or go on, with a backoff that doubles."""
        self.failures += 1
        self._failed_at = now
        doublings = min(self.failures, MAX_PROBE_DOUBLINGS)
        self._probe_at = now + PROBE_BACKOFF_SECONDS * 2**doublings

    def note_success(self) -> None:
        """End, as a task has succeeded."""
        self.failures = 0
        self.log.note_success()

    def withdraw(self, key: TaskKey) -> None:
        """Take back one failure, for which the task was at fault."""
        self.log.forget(key)
        self.failures = max(self.failures - 1, 0)

    def end(self) -> None:
        """End, as the failures have another cause."""
        self.failures = 0

    def allows(
        self, attached: Iterable[TaskState], now: float, *, is_retry: bool
    ) -> bool:
        """Return whether one more task may start on the worker now.

        ``attached`` are the tasks there that have an end.  Those that were
        there before the failure, as those of another owner were, don't count.
        """
        if not self.failures:
            return True
        wait = RETRY_BACKOFF_SECONDS if is_retry else 0
        since = max(self._failed_at, now - PROBE_SECONDS)
        is_probed = any(
            task.placed_at is not None and task.placed_at > since
            for task in attached
        )
        return now >= self._probe_at + wait and not is_probed
