"""What counts against a task, noted for the log until it is written.

A job is closed as failed, and can't be opened again, once enough has been
counted against one of its tasks.  So each attempt that counts leaves a note
with what was known of it, the sum so far and the limit.
"""

from dataclasses import dataclass

from tarragonlb.scheduling.crashhistory import CrashHistory
from tarragonlb.scheduling.job import TaskKey


@dataclass(frozen=True, slots=True)
class CountedFailure:
    """An attempt that ended as failed, and how many of its task have so far.

    ``limit`` is how often the task may fail, None if that is not known.
    """

    key: TaskKey
    attempt: int
    worker_id: str
    failures: int
    limit: int | None


@dataclass(frozen=True, slots=True)
class NotedCrash:
    """A crash under an attempt, how it counts, and the history with it.

    ``chance`` is that of workers going by themselves in all crashes so far, and
    ``max_chance`` that below which the task is given up once there is a case.
    """

    key: TaskKey
    attempt: int
    worker_id: str
    verdict: str
    history: CrashHistory
    chance: float
    max_chance: float


@dataclass(frozen=True, slots=True)
class GivenUpTask:
    """A task that is given up, as it crashed its workers.

    ``chance`` is that of workers going by themselves in all its trials, and
    ``max_chance`` the limit for it.
    """

    key: TaskKey
    crashes: int
    chance: float
    max_chance: float


class VerdictNotes:
    """The notes that are still to be logged."""

    __slots__ = ('crashes', 'failures', 'given_up')

    def __init__(self) -> None:
        """Start without notes."""
        self.crashes: list[NotedCrash] = []
        self.failures: list[CountedFailure] = []
        self.given_up: list[GivenUpTask] = []

    @property
    def are_empty(self) -> bool:
        """Return whether there is nothing to log."""
        return not (self.crashes or self.failures or self.given_up)
