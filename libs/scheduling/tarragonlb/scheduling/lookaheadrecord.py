"""What an owner learns and reports for placement that looks ahead."""

import enum
from dataclasses import dataclass

from tarragonlb.scheduling.durations import DurationEstimates


class ReservationEvent(enum.Enum):
    """What happened to a reservation; values are labels of a metric."""

    MADE = 'made'
    KEPT = 'kept'
    DROPPED = 'dropped'
    WRONG = 'wrong'


class DropReason(enum.Enum):
    """Why a reservation was dropped; values are written to the log."""

    NONE = ''
    JOB_OVER = 'the job is over'
    WORKER_LOST = 'a worker drains, is silent or has shrunk'
    LATE = 'the estimated start has passed twice'
    OUTRANKED = 'a step of higher priority waits'


@dataclass(frozen=True, slots=True, kw_only=True)
class ReservationChange:
    """A change of a reservation, for the log and the metrics.

    ``idle_core_seconds`` is the capacity that was free on the workers while
    tasks were kept off them.
    """

    event: ReservationEvent
    step_key: tuple[str, int, int]
    workers: int
    held_seconds: float = 0
    idle_core_seconds: float = 0
    reason: DropReason = DropReason.NONE

    def describe(self) -> dict[str, object]:
        """Return the fields of a log line."""
        job_id, occurrence, number = self.step_key
        return {
            'event': self.event.value,
            'reason': self.reason.value,
            'step': f'{job_id}.{occurrence}.{number}',
            'workers': self.workers,
            'held_seconds': round(self.held_seconds, 3),
            'idle_core_seconds': round(self.idle_core_seconds, 2),
        }


class LookAheadRecord:
    """Learned run times, and changes of reservations still to be logged."""

    __slots__ = ('changes', 'durations')

    def __init__(self) -> None:
        """Start without knowledge, as after a takeover."""
        self.durations = DurationEstimates()
        self.changes: list[ReservationChange] = []
