"""Orders to workers, and what is known of each once it was sent."""

import enum
from dataclasses import dataclass, field

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.task import StopReason


class OrderResult(enum.Enum):
    """What is known of an order.

    DONE: carried out.  REFUSED: not carried out and never will be.
    UNANSWERED: it may have been carried out, or may be later.  FENCED: a
    later owner gives the orders.  OTHER_INCARNATION: the worker it
    was for has ended.
    """

    DONE = 'done'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'
    FENCED = 'fenced'
    OTHER_INCARNATION = 'other-life'


@dataclass(frozen=True, slots=True, kw_only=True)
class StartOrder:
    """Start an attempt of a task."""

    key: TaskKey
    attempt: int
    worker_id: str
    payload: str
    checkpoint: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class StopOrder:
    """Stop an attempt, or bar it where it has not begun."""

    key: TaskKey
    attempt: int
    worker_id: str
    reason: StopReason = StopReason.NONE


@dataclass(frozen=True, slots=True, kw_only=True)
class PaceOrder:
    """Let an attempt work at a share of its speed."""

    key: TaskKey
    attempt: int
    worker_id: str
    percent: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingDecision:
    """What a scheduling round decided.

    The records of ``jobs`` have to be stored before any of ``starts`` is sent
    and before ``end_acks`` (worker id to birth and number) are acknowledged.
    """

    jobs: tuple[JobState, ...] = ()
    removed: tuple[str, ...] = ()
    starts: tuple[StartOrder, ...] = ()
    stops: tuple[StopOrder, ...] = ()
    paces: tuple[PaceOrder, ...] = ()
    end_acks: dict[str, tuple[int | None, int]] = field(default_factory=dict)
