"""Reservations of workers, and the steps that wait for one."""

from tarragonlb.scheduling.hold import Hold
from tarragonlb.scheduling.lookaheadrecord import (
    DropReason,
    ReservationChange,
    ReservationEvent,
)
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.readystep import ReadyStep

# A step has a reservation only after it has waited for this long: most steps
# find room within a few rounds.
MIN_WAIT_SECONDS = 0.1
# A start counts as late after this time: ends are reported within 0.1 s, and
# percentages of progress are whole numbers.
LATE_SECONDS = 0.25
MILLICORES_PER_CORE = 1000


class WaitingStep:
    """A large step that found no room, since when, and until when blocked."""

    __slots__ = ('blocked_until', 'ready', 'since')

    def __init__(self, ready: ReadyStep, now: float) -> None:
        """Start with a step that first found no room at ``now``."""
        self.ready = ready
        self.since = now
        self.blocked_until = now

    @property
    def priority(self) -> int:
        """Return the priority of the step's queue, 0 for the highest."""
        return self.ready.rank[0]

    def find_earliest_hold(self) -> float:
        """Return from when on workers may be kept for the step."""
        return max(self.blocked_until, self.since + MIN_WAIT_SECONDS)

    def is_over(self) -> bool:
        """Return whether no task of the step waits any more."""
        is_open = self.ready.job_state.is_open
        return not (is_open and self.ready.step_state.count_waiting())


class Reservation:
    """The workers held for one step of a pool.

    ``count`` is how many tasks of the step waited when the workers were chosen.
    No start is expected after ``limit_at``.
    """

    __slots__ = (
        '_began_at',
        '_idle_core_seconds',
        '_updated_at',
        'count',
        'holds',
        'is_late',
        'limit_at',
        'waiting',
    )

    def __init__(
        self,
        waiting: WaitingStep,
        holds: dict[str, Hold],
        now: float,
        limit_at: float,
    ) -> None:
        """Hold workers from ``now`` on."""
        self.waiting = waiting
        self.holds = holds
        self.count = waiting.ready.step_state.count_waiting()
        self.limit_at = limit_at
        self.is_late = False
        self._began_at = now
        self._updated_at = now
        self._idle_core_seconds = 0.0

    def is_overdue(self, now: float) -> bool:
        """Return whether the last of the workers should have had room."""
        start_at = max(hold.start_at for hold in self.holds.values())
        return now > start_at + LATE_SECONDS

    def are_holds_usable(self, partition: PartitionState) -> bool:
        """Return whether all workers can be used as when they were chosen."""
        for worker_id, hold in self.holds.items():
            worker = partition.workers.get(worker_id)
            if worker is None or not worker.is_usable():
                return False
            if worker.entry.capacity != hold.capacity:
                return False
        return True

    def measure_idle(self, partition: PartitionState, now: float) -> None:
        """Add the capacity that was kept free since the last round."""
        seconds = now - self._updated_at
        self._updated_at = now
        for worker_id, hold in self.holds.items():
            worker = partition.workers.get(worker_id)
            if worker is not None and hold.has_refused:
                idle_cores = max(worker.free_cpu, 0) / MILLICORES_PER_CORE
                self._idle_core_seconds += idle_cores * seconds
            hold.has_refused = False

    def describe(
        self,
        event: ReservationEvent,
        now: float,
        reason: DropReason = DropReason.NONE,
    ) -> ReservationChange:
        """Return a change of this reservation."""
        return ReservationChange(
            event=event,
            step_key=self.waiting.ready.key,
            workers=len(self.holds),
            held_seconds=now - self._began_at,
            idle_core_seconds=self._idle_core_seconds,
            reason=reason,
        )
