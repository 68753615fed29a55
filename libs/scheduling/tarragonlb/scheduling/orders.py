"""Orders to workers, their results, and the decisions of a round."""

import enum
from dataclasses import dataclass, field

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.leasebound import NO_BOUND_CHANGES, BoundChanges
from tarragonlb.scheduling.task import StopReason


class OrderResult(enum.Enum):
    """The result of an order.

    DONE: carried out.  REFUSED: not carried out, and never will be.
    TICKET_REFUSED: as REFUSED, since the ticket is not valid.  WITHHELD: the
    owner did not send it, whatever the worker is like.  UNANSWERED: may
    have been carried out, or may be later.  FENCED: refused, since the worker
    knows a later owner.  OTHER_INCARNATION: the worker that it was meant for
    has ended.
    """

    DONE = 'done'
    REFUSED = 'refused'
    TICKET_REFUSED = 'ticket-refused'
    WITHHELD = 'withheld'
    UNANSWERED = 'unanswered'
    FENCED = 'fenced'
    OTHER_INCARNATION = 'other-life'


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Start an attempt of a task; ``ticket`` is empty if it needs none."""

    key: TaskKey
    attempt: int
    worker_id: str
    payload: str
    checkpoint: str = ''
    ticket: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Stop an attempt, or bar it from starting if it has not begun."""

    key: TaskKey
    attempt: int
    worker_id: str
    reason: StopReason = StopReason.NONE


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceOrder:
    """Throttle an attempt to a percentage of its full speed."""

    key: TaskKey
    attempt: int
    worker_id: str
    percent: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingDecision:
    """What a scheduling round decided.

    The progress records of ``jobs`` must be stored before any of ``starts`` is
    sent, and before the ends in ``end_acks`` are acknowledged to the workers.
    ``end_acks`` maps a worker id to the worker's incarnation and the number of
    the last end that was applied.  ``removed`` are the ids of finished jobs
    whose records are to be removed.  ``bound_changes`` are stored with them.
    """

    jobs: tuple[JobState, ...] = ()
    removed: tuple[str, ...] = ()
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    paces: tuple[PaceOrder, ...] = ()
    bound_changes: BoundChanges = NO_BOUND_CHANGES
    end_acks: dict[str, tuple[int | None, int]] = field(default_factory=dict)

    @property
    def has_records(self) -> bool:
        """Return whether the decision changes anything in the store."""
        has_bounds = not self.bound_changes.is_empty
        return bool(self.jobs or self.removed or has_bounds)
