"""What counts against a task, noted for the log until it is written.

A job is closed as failed, and can't be opened again, once enough has been
counted against one of its tasks.  So each attempt that counts leaves a note
with what was known of it, the sum so far and the limit.
"""

from dataclasses import dataclass

from tarragonlb.scheduling.job import TaskKey


@dataclass(frozen=True, slots=True)
class CountedFailure:
    """An attempt that ended as failed, and how many of its task have so far.

    ``limit`` is how often the task may fail, None if that is not known.
    """

    key: TaskKey
    attempt: int
    failures: int
    limit: int | None


@dataclass(frozen=True, slots=True)
class GivenUpTask:
    """A task that is given up, as it crashed this many workers."""

    key: TaskKey
    crashes: int


class VerdictNotes:
    """The notes that are still to be logged."""

    __slots__ = ('failures', 'given_up')

    def __init__(self) -> None:
        """Start without notes."""
        self.failures: list[CountedFailure] = []
        self.given_up: list[GivenUpTask] = []

    @property
    def are_empty(self) -> bool:
        """Return whether there is nothing to log."""
        return not (self.failures or self.given_up)
