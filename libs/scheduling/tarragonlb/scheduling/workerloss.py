"""Records of workers that were lost with attempts on them.

An attempt on a lost worker ends without a report, so the worker says nothing
about the cause.  What is known is which attempts were there, and since when.
"""

import enum
from dataclasses import dataclass

from tarragonlb.scheduling.job import TaskKey


class LossReason(enum.Enum):
    """How it is known that a worker is over; values are written to the log."""

    REBORN = 'the worker was born anew'
    REPLACED = 'another worker has its address'
    NO_VM = 'no VM runs the worker any more'
    LEASE_OVER = 'the lease has run out'


@dataclass(frozen=True, slots=True)
class LostAttempt:
    """An attempt that a worker may have been running when it was lost.

    ``incarnation`` is that of the worker when it got the attempt, 0 if unknown.
    ``was_sent`` is false if the start order was surely not sent, ``was_seen``
    if the worker surely never listed the attempt as running, ``was_started`` if
    it did not confirm the start either.  ``has_survived`` is true if it listed
    the attempt so long after its start that the start can't be what crashed it.
    ``age_seconds`` is the time from the placement to the detection of the loss,
    None if another owner placed the attempt.
    """

    key: TaskKey
    attempt: int
    incarnation: int
    was_sent: bool = True
    was_seen: bool = True
    was_started: bool = True
    has_survived: bool = False
    age_seconds: float | None = None

    @property
    def known(self) -> str:
        """Return what was known of the attempt, for the log."""
        if not self.was_sent:
            return 'not sent'
        if self.was_seen:
            return 'inherited' if self.age_seconds is None else 'listed'
        return 'answered' if self.was_started else 'unanswered'


@dataclass(frozen=True, slots=True)
class WorkerLoss:
    """A lost worker, and the attempts that it may have been running.

    ``silent_seconds`` is the time from its last report to the detection of the
    loss, None if this owner has no report of it.
    """

    worker_id: str
    reason: LossReason
    attempts: tuple[LostAttempt, ...]
    silent_seconds: float | None = None
