"""Keeps workers free for the large step that has waited longest for room.

A pool has one reservation at most.  It holds workers for a bounded time, a
share of the objective of the job that waits, so that a wrong estimate costs
little.  If the start is late twice, the estimate was wrong: the reservation is
dropped and the step gets no other for a while.
"""

from tarragonlb.scheduling.forecast import EndForecast
from tarragonlb.scheduling.hold import Hold, plan_holds
from tarragonlb.scheduling.job import Demand
from tarragonlb.scheduling.lookaheadrecord import (
    DropReason,
    LookAheadRecord,
    ReservationEvent,
)
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.policies import WorkerFilter
from tarragonlb.scheduling.readystep import (
    PLACEMENT_OVERHEAD_SECONDS,
    ReadyStep,
)
from tarragonlb.scheduling.reservation import Reservation, WaitingStep
from tarragonlb.scheduling.settings import SchedulingSettings
from tarragonlb.scheduling.worker import WorkerState

# A task is large if it needs this share of a worker.  Smaller ones find room
# on nearly every worker as soon as a few tasks have ended.
LARGE_SHARE = 0.25
# Share of the objective of the waiting job for which workers may be held.
HOLD_SHARE = 0.4
# A job that nothing runs of must start within 3 s.
MAX_HOLD_SECONDS = 1.5
# Share of a pool's workers that are held for a step, other than a gang.
MAX_WORKER_SHARE = 0.3
# A step whose estimates were wrong gets no reservation for this time.
BLOCK_SECONDS = 5.0
# Steps that are remembered as waiting; others are considered later.
MAX_WAITING = 200
# Below this share of a pool in use, nothing is kept from starting a job.
MIN_USED_SHARE = 0.5


class ReservationFilter(WorkerFilter):
    """Keeps small tasks off workers that a large step will soon need."""

    __slots__ = (
        '_forecast',
        '_largest',
        '_free_pools',
        '_partition',
        '_record',
        '_reservations',
        '_settings',
        '_waiting',
    )

    def __init__(
        self,
        record: LookAheadRecord,
        forecast: EndForecast,
        settings: SchedulingSettings,
    ) -> None:
        """Add the changes of reservations to ``record``.

        ``settings`` say which steps workers are kept for.
        """
        self._record = record
        self._settings = settings
        self._forecast = forecast
        self._waiting: dict[tuple[str, int, int], WaitingStep] = {}
        self._reservations: dict[str, Reservation] = {}
        # The largest capacity of each pool's workers, as of this round.
        self._largest: dict[str, Demand] = {}
        # Pools of which less than half is in use.
        self._free_pools: set[str] = set()

    def begin_round(self, partition: PartitionState, now: float) -> None:
        """Check, drop and make reservations."""
        self._partition = partition
        self._forecast.begin_round(partition, now)
        self._largest.clear()
        self._waiting = {
            key: waiting
            for key, waiting in self._waiting.items()
            if not waiting.is_over()
        }
        best = self._choose_waiting(now)
        for pool, reservation in tuple(self._reservations.items()):
            self._check(pool, reservation, best.get(pool), now)
        for pool, waiting in best.items():
            # A step whose reservation was wrong has been blocked just now.
            if now < waiting.blocked_until:
                continue
            if pool not in self._reservations:
                self._reserve(pool, waiting, now)
        self._free_pools = {
            pool
            for pool in self._reservations
            if _measure_used_share(partition, pool) < MIN_USED_SHARE
        }

    def may_use(
        self, worker: WorkerState, ready: ReadyStep, now: float
    ) -> bool:
        """Return whether a worker is free for a task of a step."""
        reservation = self._reservations.get(worker.entry.pool)
        if reservation is None:
            return True
        hold = reservation.holds.get(worker.entry.worker_id)
        if hold is None or self._is_exempt(ready, reservation):
            return True
        estimate = self._forecast.estimate_step(ready)
        end_at = now + estimate.upper_seconds + PLACEMENT_OVERHEAD_SECONDS
        if end_at <= hold.start_at or hold.has_room_beside(worker, ready.step):
            return True
        hold.has_refused = True
        return False

    def note_waiting(self, ready: ReadyStep, now: float) -> None:
        """Remember a large step that found no room."""
        if ready.step.is_permanent or ready.step.scavenges:
            return
        if ready.step.is_gang:
            is_reserved_for = self._settings.reserves_for_gangs
        else:
            is_reserved_for = self._settings.reserves_for_wide_steps
        if not is_reserved_for:
            return
        known = self._waiting.get(ready.key)
        if known is not None:
            known.ready = ready
        elif len(self._waiting) < MAX_WAITING and self._is_large(ready):
            self._waiting[ready.key] = WaitingStep(ready, now)

    def _is_exempt(self, ready: ReadyStep, reservation: Reservation) -> bool:
        held = reservation.waiting.ready
        if ready.step_state is held.step_state or ready.step.is_permanent:
            return True
        if ready.rank[0] < held.rank[0]:
            return True
        pool = ready.job_state.job.pool
        return pool in self._free_pools and not any(
            task.is_attached for _, task in ready.job_state.list_tasks()
        )

    def _is_large(self, ready: ReadyStep) -> bool:
        """Return whether tasks of a step need a large share of a worker.

        The sum counts for a gang.
        """
        pool = ready.job_state.job.pool
        largest = self._largest.get(pool)
        if largest is None:
            largest = _find_largest(self._partition, pool)
            self._largest[pool] = largest
        share = _measure_share(ready.step.demand, largest)
        if ready.step.is_gang:
            share *= ready.step_state.count_waiting()
        return share >= LARGE_SHARE

    def _choose_waiting(self, now: float) -> dict[str, WaitingStep]:
        """Return the step that a pool should keep workers for, by pool.

        None is kept for a step that is deferred: its job is late already, and
        all others go before it.
        """
        best: dict[str, WaitingStep] = {}
        for waiting in self._waiting.values():
            if now < waiting.find_earliest_hold():
                continue
            if waiting.ready.is_deferred:
                continue
            pool = waiting.ready.job_state.job.pool
            known = best.get(pool)
            if known is None or _get_order(waiting) < _get_order(known):
                best[pool] = waiting
        return best

    def _check(
        self,
        pool: str,
        reservation: Reservation,
        best: WaitingStep | None,
        now: float,
    ) -> None:
        """End a reservation if it is over, or plan it again if it is late."""
        reservation.measure_idle(self._partition, now)
        reason = self._find_drop_reason(reservation, best)
        event = ReservationEvent.DROPPED
        if not reservation.waiting.ready.step_state.count_waiting():
            event, reason = ReservationEvent.KEPT, DropReason.NONE
        elif reason is DropReason.NONE:
            if self._update(reservation, now):
                return
            reservation.waiting.blocked_until = now + BLOCK_SECONDS
            event, reason = ReservationEvent.WRONG, DropReason.LATE
        self._reservations.pop(pool)
        self._record.changes.append(reservation.describe(event, now, reason))

    def _find_drop_reason(
        self, reservation: Reservation, best: WaitingStep | None
    ) -> DropReason:
        waiting = reservation.waiting
        if not waiting.ready.job_state.is_open:
            return DropReason.JOB_OVER
        if not reservation.are_holds_usable(self._partition):
            return DropReason.WORKER_LOST
        if best is not None and best.priority < waiting.priority:
            return DropReason.OUTRANKED
        return DropReason.NONE

    def _update(self, reservation: Reservation, now: float) -> bool:
        """Bring a reservation up to date; return false if it was wrong.

        Workers are chosen again for the tasks that still wait, and once more
        when the start is late, but for no start after the limit.
        """
        count = reservation.waiting.ready.step_state.count_waiting()
        is_overdue = reservation.is_overdue(now)
        if is_overdue and reservation.is_late:
            return False
        if not is_overdue and count == reservation.count:
            for worker_id, hold in reservation.holds.items():
                hold.refresh(self._partition.workers[worker_id], self._forecast)
            return True
        reservation.is_late = is_overdue
        reservation.count = count
        holds = self._plan(reservation.waiting, reservation.limit_at)
        reservation.holds = holds or reservation.holds
        return bool(holds)

    def _reserve(self, pool: str, waiting: WaitingStep, now: float) -> None:
        limit_at = now + self._limit_hold(waiting.ready, now)
        holds = self._plan(waiting, limit_at)
        if holds:
            reservation = Reservation(waiting, holds, now, limit_at)
            self._reservations[pool] = reservation
            self._record.changes.append(
                reservation.describe(ReservationEvent.MADE, now)
            )

    def _limit_hold(self, ready: ReadyStep, now: float) -> float:
        """Return for how long workers may be held for a step."""
        job_state = ready.job_state
        queue = self._partition.queue_history.find(
            self._partition.queues, job_state, now
        )
        if queue is None:
            return 0
        objective = (
            queue.stretch * max(job_state.critical_paths)
            + queue.objective_seconds
        )
        return min(HOLD_SHARE * objective, MAX_HOLD_SECONDS)

    def _plan(
        self, waiting: WaitingStep, latest_start: float
    ) -> dict[str, Hold]:
        workers = _list_workers(self._partition, waiting.ready)
        return plan_holds(
            waiting.ready,
            workers,
            self._forecast,
            latest_start,
            max(int(MAX_WORKER_SHARE * len(workers)), 1),
        )


def _list_workers(
    partition: PartitionState, ready: ReadyStep
) -> list[WorkerState]:
    pool = ready.job_state.job.pool
    return [
        worker
        for worker in partition.workers.values()
        if worker.entry.pool == pool
    ]


def _find_largest(partition: PartitionState, pool: str) -> Demand:
    """Return the most of each resource that a worker of a pool has."""
    capacities = [
        worker.entry.capacity
        for worker in partition.workers.values()
        if worker.entry.pool == pool
    ]
    return Demand(
        max((one.cpu_millicores for one in capacities), default=0),
        max((one.memory_mb for one in capacities), default=0),
        max((one.gpus for one in capacities), default=0),
    )


def _measure_used_share(partition: PartitionState, pool: str) -> float:
    used = 0
    capacity = 0
    for worker in partition.workers.values():
        if worker.entry.pool == pool and worker.is_usable():
            capacity += worker.entry.capacity.cpu_millicores
            used += worker.entry.capacity.cpu_millicores - worker.free_cpu
    return used / capacity if capacity else 0


def _measure_share(demand: Demand, capacity: Demand) -> float:
    """Return the largest share of a capacity that a demand needs."""
    return max(
        demand.cpu_millicores / max(capacity.cpu_millicores, 1),
        demand.memory_mb / max(capacity.memory_mb, 1),
        demand.gpus / max(capacity.gpus, 1),
    )


def _get_order(waiting: WaitingStep) -> tuple[int, float]:
    return waiting.priority, waiting.since
