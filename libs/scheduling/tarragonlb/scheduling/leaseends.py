"""When the leases of the attempts on a worker have run out.

A worker that restarts under its id runs nothing of before, but may execute
start orders that were meant for its former incarnation.  Until it reports, the
owner knows neither its clock nor what it runs.  So an attempt whose start is
open, neither answered nor listed, may last longer than all others.
"""

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

    def find_last(self, tasks: Iterable[TaskState]) -> float:
        """Return when none of the tasks' attempts runs any more."""
        if any(task.has_open_start for task in tasks):
            return max(self.read, self.unread)
        return self.read
