"""When workers went, as far as an owner knows, and how often.

A crash under a task says little about the task if other workers went at the
same time, as a rack or a link may have failed; and the more workers of a pool
go without the task, the more likely it is that chance explains a crash.  A
worker that falls silent counts as well: it may have crashed.

>>> log = LossLog()
>>> log.note('pool', SeenLoss('w1', 10.0, 10.6))
>>> log.note('pool', SeenLoss('w2', 10.4, 11.2))
>>> log.count_together('pool', SeenLoss('w1', 10.0, 10.6))
1
>>> log.count_without('pool', 'job.0.0.0', since=5.0)
2
"""

from collections.abc import Container
from dataclasses import dataclass

from tarragonlb.scheduling.job import TaskKey

# How often workers go is taken from this much of the past.
WINDOW_SECONDS = 60.0
# Losses of one event may be this far apart.
EVENT_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class SeenLoss:
    """A worker that went after ``alive_at`` and before ``gone_at``.

    Both are seconds on the monotonic clock.  ``keys`` are the tasks of which
    attempts were there.
    """

    worker_id: str
    alive_at: float
    gone_at: float
    keys: Container[TaskKey] = ()


class LossLog:
    """The losses of each pool within the last while.

    What is learnt of one loss at several times, such as silence and then a
    restart, is kept once: by the worker and its last sign of life.
    """

    __slots__ = ('_losses',)

    def __init__(self) -> None:
        """Start without any loss."""
        self._losses: dict[str, dict[tuple[str, float], SeenLoss]] = {}

    def note(self, pool: str, loss: SeenLoss) -> None:
        """Add a loss, or replace what was known of it."""
        losses = self._losses.setdefault(pool, {})
        losses[loss.worker_id, loss.alive_at] = loss
        oldest = next(iter(losses))
        while losses[oldest].gone_at < loss.gone_at - WINDOW_SECONDS:
            losses.pop(oldest)
            oldest = next(iter(losses))

    def retract(self, pool: str, worker_id: str, alive_at: float) -> None:
        """Drop the loss of a worker that was last heard at ``alive_at``.

        It has answered again as the same incarnation.
        """
        self._losses.get(pool, {}).pop((worker_id, alive_at), None)

    def count_together(
        self, pool: str, loss: SeenLoss, key: TaskKey | None = None
    ) -> int:
        """Count the other workers that may have gone at the same time.

        Those that had an attempt of the task ``key`` don't count.
        """
        together = {
            other.worker_id
            for other in self._losses.get(pool, {}).values()
            if other.alive_at <= loss.gone_at + EVENT_SECONDS
            and loss.alive_at <= other.gone_at + EVENT_SECONDS
            and (key is None or key not in other.keys)
        }
        return len(together - {loss.worker_id})

    def count_without(self, pool: str, key: TaskKey, since: float) -> int:
        """Count the losses after ``since`` of workers without a task."""
        return sum(
            loss.gone_at >= since and key not in loss.keys
            for loss in self._losses.get(pool, {}).values()
        )
