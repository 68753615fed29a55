"""What an owner has seen that may count against tasks.

It begins empty with each term; what lasts is in the crash histories of tasks.
"""

from dataclasses import dataclass

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.losslog import LossLog, SeenLoss
from tarragonlb.scheduling.verdictnotes import VerdictNotes


@dataclass(frozen=True, slots=True)
class CrashReview:
    """A counted crash under an attempt, to be looked at again at ``due_at``.

    By then it is known which other workers went with it.  The worker was gone
    within so many ``seconds`` of the start.  ``is_alone`` means that no other
    job had an attempt there.
    """

    key: TaskKey
    attempt: int
    pool: str
    loss: SeenLoss
    seconds: float
    is_alone: bool
    due_at: float


class Evidence:
    """The evidence of one partition.

    ``losses`` are the workers that went.  ``reviews`` are crashes to be looked
    at again, the earliest first.  ``paused`` maps the tasks that wait after
    crashes to since when.  ``notes`` are still to be logged.
    """

    __slots__ = ('losses', 'notes', 'paused', 'reviews')

    def __init__(self) -> None:
        """Start without any evidence."""
        self.losses = LossLog()
        self.reviews: list[CrashReview] = []
        self.paused: dict[TaskKey, float] = {}
        self.notes = VerdictNotes()
