"""What an owner has seen of the workers, which may count against tasks.

It begins empty with each term; what lasts is in the crash histories of tasks.
"""

from collections import Counter, deque
from collections.abc import Container, Iterator
from dataclasses import dataclass

from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.losslog import LossLog, SeenLoss
from tarragonlb.scheduling.task import TaskState
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
    at again, the earliest first, and ``under_review`` counts them by task.
    ``paused`` maps the tasks that wait after crashes to since when.  ``notes``
    are still to be logged.  ``complete_reports`` maps the ids of workers to
    when the last report was requested that lists all attempts there, and
    ``replaced_workers`` are those whose addresses others have.  ``bound_tasks``
    maps tasks with open starts to when these are stored again.
    """

    __slots__ = (
        'bound_tasks',
        'complete_reports',
        'losses',
        'notes',
        'paused',
        'replaced_workers',
        'reviews',
        'under_review',
    )

    def __init__(self) -> None:
        """Start without any evidence."""
        self.losses = LossLog()
        self.reviews: deque[CrashReview] = deque()
        self.under_review: Counter[TaskKey] = Counter()
        self.paused: dict[TaskKey, float] = {}
        self.notes = VerdictNotes()
        self.bound_tasks: dict[TaskKey, float] = {}
        self.complete_reports: dict[str, float] = {}
        self.replaced_workers: Container[str] = ()

    def note_restored(self, key: TaskKey, task: TaskState, now: float) -> None:
        """Note what the record of a task says of crashes and open starts."""
        if task.crashes.needs_isolation:
            self.paused[key] = now
        if not task.open_starts.is_empty:
            self.bound_tasks[key] = now

    def note_complete_report(self, worker_id: str, requested_at: float) -> None:
        """Note when a report was requested that lists all attempts."""
        self.complete_reports[worker_id] = requested_at

    def add_review(self, review: CrashReview) -> None:
        """Have a crash looked at again."""
        self.reviews.append(review)
        self.under_review[review.key] += 1

    def list_due_reviews(self, now: float) -> Iterator[CrashReview]:
        """Remove and yield the crashes to be looked at by ``now`` seconds."""
        while self.reviews and self.reviews[0].due_at <= now:
            review = self.reviews.popleft()
            self.under_review[review.key] -= 1
            if not self.under_review[review.key]:
                self.under_review.pop(review.key)
            yield review
