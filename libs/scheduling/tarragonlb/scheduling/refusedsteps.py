"""Steps of which workers refuse all starts.

A worker that accepts other starts is not at fault if it refuses a task of a
step that another worker has refused, too.

>>> refused = RefusedSteps()
>>> refused.note_refusal(('a', 0, 0), 'w1', now=1.0).is_first('w1')
True
>>> refusal = refused.note_refusal(('a', 0, 0), 'w2', now=2.0)
>>> refusal.is_first('w2'), refusal.first_at, refusal.doublings
(False, 1.0, 1)
"""

from dataclasses import dataclass, field

StepKey = tuple[str, int, int]

MAX_STEPS = 256
# Limits the backoff of a task to 8 times the first one.
MAX_DOUBLINGS = 3


@dataclass(frozen=True, slots=True)
class StepRefusal:
    """The workers that refuse starts of a step, the first one first."""

    first_at: float
    workers: dict[str, None] = field(default_factory=dict)

    @property
    def doublings(self) -> int:
        """Return how often the backoff of a task of the step is doubled."""
        return min(len(self.workers) - 1, MAX_DOUBLINGS)

    def is_first(self, worker_id: str) -> bool:
        """Return whether no other worker refused a start before."""
        return next(iter(self.workers)) == worker_id


class RefusedSteps:
    """The steps of which no start was accepted since one was refused."""

    __slots__ = ('_refusals',)

    def __init__(self) -> None:
        """Start without refusals."""
        self._refusals: dict[StepKey, StepRefusal] = {}

    def note_refusal(
        self, step: StepKey, worker_id: str, now: float
    ) -> StepRefusal:
        """Note that a worker refused a start; return who has, so far."""
        if len(self._refusals) >= MAX_STEPS:
            self._refusals.clear()
        refusal = self._refusals.setdefault(step, StepRefusal(now))
        refusal.workers[worker_id] = None
        return refusal

    def note_start(self, step: StepKey) -> None:
        """Forget a step of which a start was accepted."""
        self._refusals.pop(step, None)
