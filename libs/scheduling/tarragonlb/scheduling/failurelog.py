"""The tasks that failed on a worker, and which of them count against it.

>>> log = FailureLog()
>>> first, second = TaskKey('a', 0, 0, 0), TaskKey('b', 0, 0, 0)
>>> log.add(first)
>>> log.add(second)
>>> log.excuse([first])
>>> log.is_blamed_apart_from([second]), log.is_blamed_apart_from([first])
(False, True)
"""

from collections.abc import Collection, Iterable

from tarragonlb.scheduling.job import TaskKey

# Tasks of so many jobs that fail in a row count against the worker, even if
# they fail elsewhere too.
MIN_JOBS_TO_BLAME = 3
MAX_TASKS = 32


class FailureLog:
    """The latest tasks that failed on a worker.

    ``recent`` are those since the last task that succeeded there, ``blamed``
    the ones among them that count against the worker.
    """

    __slots__ = ('_failed', 'blamed', 'recent')

    def __init__(self) -> None:
        """Start without a failure."""
        self._failed: dict[TaskKey, None] = {}
        self.recent: set[TaskKey] = set()
        self.blamed: set[TaskKey] = set()

    def add(self, key: TaskKey) -> None:
        """Note a failure, which counts against the worker for now."""
        self._failed.pop(key, None)
        self._failed[key] = None
        if len(self._failed) > MAX_TASKS:
            oldest = next(iter(self._failed))
            self._failed.pop(oldest)
            self.recent.discard(oldest)
            self.blamed.discard(oldest)
        self.recent.add(key)
        self.blamed.add(key)

    def note_success(self) -> None:
        """Note that a task has succeeded, so no failure counts any more."""
        self.recent.clear()
        self.blamed.clear()

    def excuse(self, keys: Iterable[TaskKey]) -> None:
        """Let the failures of tasks no longer count against the worker."""
        self.blamed.difference_update(keys)

    def forget(self, key: TaskKey) -> None:
        """Drop the failure of a task that is at fault itself."""
        self._failed.pop(key, None)
        self.recent.discard(key)
        self.blamed.discard(key)

    def list_matching(
        self, key: TaskKey, *, has_same_step: bool
    ) -> list[TaskKey]:
        """Return the failures of a task, or of all tasks of its step."""
        if not has_same_step:
            return [key] if key in self._failed else []
        return [other for other in self._failed if other[:3] == key[:3]]

    @property
    def has_many_jobs(self) -> bool:
        """Return whether too many jobs failed in a row to excuse them all."""
        jobs = {key.job_id for key in self.recent}
        return len(jobs) >= MIN_JOBS_TO_BLAME

    def is_blamed_apart_from(self, keys: Collection[TaskKey]) -> bool:
        """Return whether failures of other tasks count against the worker."""
        return self.has_many_jobs or bool(self.blamed.difference(keys))
