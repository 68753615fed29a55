"""Logs and counts the scheduling decisions of a partition's owner.

A log line lists the tasks concerned.  A task's name begins with its job's id,
so a job can be traced through the logs of all processes.  Starts and ends are
collected for a moment: at a peak there are hundreds of them each second, and
lines for each round would push all others out of a log of limited size.
"""

import math
from collections.abc import Iterator
from typing import Any

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.reservationlog import log_reservations
from tarragonlb.scheduling.leasebound import BoundChanges
from tarragonlb.scheduling.orders import SchedulingDecision, StopOrder
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.verdictnotes import (
    CountedFailure,
    GivenUpTask,
    NotedCrash,
)
from tarragonlb.scheduling.worker import WorkerReport
from tarragonlb.scheduling.workerloss import WorkerLoss
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
MAX_ROWS_PER_LINE = 200
# Rounds may follow each other within some hundredths of a second.
MIN_INTERVAL_SECONDS = 0.25

# What happened to an attempt; the last value is when.
Row = tuple[Any, ...]


class DecisionLog:
    """Logs the decisions of one owner and updates the task metrics."""

    __slots__ = ('_ends', '_fields', '_logged_at', '_starts', '_state')

    def __init__(self, owned: OwnedPartition, state: PartitionState) -> None:
        """Add the partition and the term of ``owned`` to every line."""
        self._fields = {'partition': owned.partition, 'term': owned.term}
        self._state = state
        self._starts: list[Row] = []
        self._ends: list[Row] = []
        self._logged_at = -math.inf

    def log_starts(self, decision: SchedulingDecision, now: float) -> None:
        """Log which tasks start where, now or with others that follow soon."""
        FLEET_METER.count(TASK_STARTS, number=len(decision.starts))
        self._starts.extend(
            (str(start.key), start.attempt, start.worker_id, now)
            for start in decision.starts
        )
        self.log_collected(now)

    def log_collected(self, now: float) -> None:
        """Log the starts and ends since the last call, unless too recent."""
        if now - self._logged_at >= MIN_INTERVAL_SECONDS:
            self.log_rest(now)

    def log_rest(self, now: float) -> None:
        """Log all starts and ends that are not logged yet.

        The last value of each row is how many seconds ago it was.
        """
        if not (self._starts or self._ends):
            return
        self._logged_at = now
        for starts in _split(self._starts, now):
            LOG.emit(
                'Starting tasks.',
                starts=starts,
                free_millicores=self._list_free({row[2] for row in starts}),
                **self._fields,
            )
        for ends in _split(self._ends, now):
            LOG.emit('Tasks ended.', ends=ends, **self._fields)
        self._starts.clear()
        self._ends.clear()

    def log_stops(self, stops: tuple[StopOrder, ...], now: float) -> None:
        """Log the stop orders, including repeated ones."""
        if not stops:
            return
        self.log_rest(now)
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

    def log_released(self, now: float) -> None:
        """Log lost workers, reservations and released attempts, each once."""
        state = self._state
        notes = state.evidence.notes
        if (
            state.worker_losses
            or state.released_attempts
            or not notes.are_empty
        ):
            # The lines on one attempt stay in order.
            self.log_rest(now)
        self._log_losses(state.worker_losses)
        self._log_failures(notes.failures)
        self._log_crashes(notes.crashes)
        self._log_given_up(notes.given_up)
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
                    round(attempt.bound_seconds, 1),
                )
                for attempt in released
            ],
            **self._fields,
        )
        released.clear()

    def collect_ends(self, report: WorkerReport) -> None:
        """Collect the attempts that a worker reports as ended, each end once.

        Must be called before the report is applied.  A worker repeats an end
        until it is acknowledged, so ends up to the last number applied are
        skipped.
        """
        worker = self._state.workers.get(report.worker_id)
        last_logged = 0
        if worker is not None and worker.incarnation == report.incarnation:
            last_logged = worker.last_end_number
        for end in report.ended:
            if end.number > last_logged:
                FLEET_METER.count(TASK_ENDS, end.outcome)
                self._ends.append(
                    (
                        str(end.key),
                        end.attempt,
                        end.outcome,
                        report.worker_id,
                        report.received_at,
                    )
                )

    def _list_free(self, worker_ids: set[str]) -> dict[str, int]:
        return {
            worker_id: self._state.workers[worker_id].free_cpu
            for worker_id in worker_ids
            if worker_id in self._state.workers
        }

    def _log_given_up(self, given_up: list[GivenUpTask]) -> None:
        if not given_up:
            return
        FLEET_METER.count(TASKS_GIVEN_UP, number=len(given_up))
        LOG.emit(
            'Jobs failed, as tasks crashed their workers.',
            tasks=[
                (str(task.key), task.crashes, task.chance, task.max_chance)
                for task in given_up
            ],
            **self._fields,
        )
        given_up.clear()

    def _log_failures(self, failures: list[CountedFailure]) -> None:
        """Log how often the tasks of failed attempts have failed so far."""
        for first in range(0, len(failures), MAX_ROWS_PER_LINE):
            LOG.emit(
                'Failed attempts counted.',
                attempts=[
                    (
                        str(failed.key),
                        failed.attempt,
                        failed.worker_id,
                        failed.failures,
                        failed.limit,
                    )
                    for failed in failures[first : first + MAX_ROWS_PER_LINE]
                ],
                **self._fields,
            )
        failures.clear()

    def _log_crashes(self, crashes: list[NotedCrash]) -> None:
        """Log how the crashes under tasks count, with the sums so far."""
        for first in range(0, len(crashes), MAX_ROWS_PER_LINE):
            LOG.emit(
                'Crashes under tasks counted.',
                attempts=[
                    (
                        str(crash.key),
                        crash.attempt,
                        crash.worker_id,
                        crash.verdict,
                        len(crash.history.attempts),
                        crash.history.count_trials(),
                        len(crash.history.excused),
                        crash.chance,
                        crash.max_chance,
                    )
                    for crash in crashes[first : first + MAX_ROWS_PER_LINE]
                ],
                **self._fields,
            )
        crashes.clear()

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


def _split(rows: list[Row], now: float) -> Iterator[list[Row]]:
    """Yield the rows of successive lines, with how long ago they were."""
    for first in range(0, len(rows), MAX_ROWS_PER_LINE):
        yield [
            (*row[:-1], round(now - row[-1], 2))
            for row in rows[first : first + MAX_ROWS_PER_LINE]
        ]


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
        'silent_seconds': _round(loss.silent_seconds),
        'attempts': [
            (
                str(lost.key),
                lost.attempt,
                _round(lost.age_seconds),
                lost.known,
            )
            for lost in attempts
        ],
    }


def _round(seconds: float | None) -> float | None:
    return None if seconds is None else round(seconds, 3)
