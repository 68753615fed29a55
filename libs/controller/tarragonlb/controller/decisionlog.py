"""Logs and counts the scheduling decisions of a partition's owner.

Each decision is one log line that lists the tasks concerned.  A task's name
begins with its job's id, so a job can be traced through the logs of all
processes.  Ends are collected until the next round: at a peak, hundreds of them
are reported each second.
"""

import math
from collections.abc import Mapping

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.reservationlog import log_reservations
from tarragonlb.scheduling.leasebound import BoundChanges
from tarragonlb.scheduling.orders import SchedulingDecision, StopOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.worker import WorkerReport, WorkerState
from tarragonlb.scheduling.workerloss import GivenUpTask, WorkerLoss
from tarragonlb.telemetry.fleetmetrics import (
    FLEET_METER,
    TASK_ENDS,
    TASK_RETURNS,
    TASK_STARTS,
    TASK_STOPS,
    TASKS_GIVEN_UP,
    WORKER_LOSSES,
)
from tarragonlb.telemetry.log import Log

LOG = Log('owner')
MAX_ENDS_PER_LINE = 200


class DecisionLog:
    """Logs the decisions of one owner and updates the task metrics."""

    __slots__ = ('_ends', '_fields')

    def __init__(self, owned: OwnedPartition) -> None:
        """Add the partition and the term of ``owned`` to every line."""
        self._fields = {'partition': owned.partition, 'term': owned.term}
        self._ends: list[tuple[str, int, str, str]] = []

    def log_starts(
        self, decision: SchedulingDecision, workers: Mapping[str, WorkerState]
    ) -> None:
        """Log which tasks start where, and the free CPU of each worker."""
        FLEET_METER.count(TASK_STARTS, number=len(decision.starts))
        used = {start.worker_id for start in decision.starts}
        LOG.emit(
            'Starting tasks.',
            starts=[
                (str(start.key), start.attempt, start.worker_id)
                for start in decision.starts
            ],
            free_millicores={
                worker_id: workers[worker_id].free_cpu
                for worker_id in used
                if worker_id in workers
            },
            **self._fields,
        )

    def log_stops(self, stops: tuple[StopOrder, ...]) -> None:
        """Log the stop orders, including repeated ones."""
        if not stops:
            return
        for stop in stops:
            FLEET_METER.count(TASK_STOPS, stop.reason.name.lower())
        LOG.emit(
            'Stopping tasks.',
            stops=[
                (
                    str(stop.key),
                    stop.attempt,
                    stop.worker_id,
                    stop.reason.value,
                )
                for stop in stops
            ],
            **self._fields,
        )

    def log_bounds(self, changes: BoundChanges) -> None:
        """Log the lease bounds that are stored, in seconds by worker."""
        if changes.stored:
            LOG.emit(
                'Storing lease bounds of silent workers.',
                bounds={
                    worker_id: round(seconds, 2)
                    for worker_id, seconds in changes.stored.items()
                },
                **self._fields,
            )

    def log_released(self, state: PartitionState) -> None:
        """Log lost workers, reservations and released attempts, each once."""
        self._log_losses(state.worker_losses)
        self._log_given_up(state.given_up)
        if state.look_ahead is not None:
            log_reservations(state.look_ahead, self._fields)
        released = state.released_attempts
        if not released:
            return
        for attempt in released:
            FLEET_METER.count(TASK_RETURNS, attempt.reason)
        LOG.emit(
            'Tasks queued again.',
            tasks=[
                (
                    str(attempt.key),
                    attempt.attempt,
                    attempt.worker_id,
                    attempt.reason,
                )
                for attempt in released
            ],
            **self._fields,
        )
        released.clear()

    def collect_ends(
        self, report: WorkerReport, workers: Mapping[str, WorkerState]
    ) -> None:
        """Collect the attempts that a worker reports as ended, each end once.

        Must be called before the report is applied.  A worker repeats an end
        until it is acknowledged, so ends up to the last number applied are
        skipped.
        """
        worker = workers.get(report.worker_id)
        last_logged = 0
        if worker is not None and worker.incarnation == report.incarnation:
            last_logged = worker.last_end_number
        for end in report.ended:
            if end.number > last_logged:
                FLEET_METER.count(TASK_ENDS, end.outcome)
                self._ends.append(
                    (str(end.key), end.attempt, end.outcome, report.worker_id)
                )

    def log_ends(self) -> None:
        """Log the ends collected since the last call."""
        while self._ends:
            LOG.emit(
                'Tasks ended.',
                ends=self._ends[:MAX_ENDS_PER_LINE],
                **self._fields,
            )
            self._ends = self._ends[MAX_ENDS_PER_LINE:]

    def _log_given_up(self, given_up: list[GivenUpTask]) -> None:
        if not given_up:
            return
        FLEET_METER.count(TASKS_GIVEN_UP, number=len(given_up))
        LOG.emit(
            'Jobs failed, as tasks crashed their workers.',
            tasks=[(str(task.key), task.crashes) for task in given_up],
            **self._fields,
        )
        given_up.clear()

    def _log_losses(self, losses: list[WorkerLoss]) -> None:
        if not losses:
            return
        for loss in losses:
            FLEET_METER.count(WORKER_LOSSES, loss.reason.value)
        LOG.emit(
            'Workers lost.',
            workers=[_describe_loss(loss) for loss in losses],
            **self._fields,
        )
        losses.clear()


def _describe_loss(loss: WorkerLoss) -> dict[str, object]:
    """Return the fields of a lost worker, the youngest attempt first."""
    attempts = sorted(
        loss.attempts,
        key=lambda lost: (
            math.inf if lost.age_seconds is None else lost.age_seconds
        ),
    )
    return {
        'worker': loss.worker_id,
        'reason': loss.reason.value,
        'attempts': [
            (
                str(lost.key),
                lost.attempt,
                None
                if lost.age_seconds is None
                else round(lost.age_seconds, 3),
            )
            for lost in attempts
        ],
    }
