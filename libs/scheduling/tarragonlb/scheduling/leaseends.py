"""When the leases of the attempts on a worker have run out.

A worker that restarts under its id runs nothing of before, but may execute
start orders that were meant for its former incarnation.  Until it reports, the
owner knows neither its clock nor what it runs.  So an attempt whose start is
open, neither answered nor listed, may last longer than all others.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonlb.scheduling.task import TaskState


@dataclass(frozen=True, slots=True)
class LeaseEnds:
    """When leases on a worker have run out, in seconds on the local clock.

    ``read`` is for the incarnation that has last reported, and ``unread`` for
    one that has not, which can run only attempts with an open start.

    >>> LeaseEnds(4.0).extend(LeaseEnds(3.0, 7.0))
    LeaseEnds(read=4.0, unread=7.0)
    """

    read: float
    unread: float = 0.0

    def extend(self, other: 'LeaseEnds') -> 'LeaseEnds':
        """Return the later ends of two."""
        return LeaseEnds(
            max(self.read, other.read), max(self.unread, other.unread)
        )

    def find_end(self, task: TaskState, longest_seconds: float) -> float:
        """Return when the attempt of a task runs no more.

        An open start may have been executed until its order was given up, with
        a lease of ``longest_seconds``; infinity while it is under way.
        """
        if not task.has_open_start:
            return self.read
        if task.settled_at is None:
            return math.inf
        return max(self.read, self.unread, task.settled_at + longest_seconds)

    def find_last(
        self, tasks: Iterable[TaskState], longest_seconds: float
    ) -> float:
        """Return when none of the tasks' attempts runs any more."""
        ends = (self.find_end(task, longest_seconds) for task in tasks)
        return max(ends, default=self.read)
