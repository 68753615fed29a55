"""One log line a decision of an owner, with the tasks it is about.

A task's name begins with its job's id, so that a job can be followed through
the lines of all processes.
"""

from collections.abc import Mapping

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.scheduling.orders import SchedulingDecision, StopOrder
from tarragonlb.scheduling.partitionstate import ReleasedAttempt
from tarragonlb.scheduling.worker import WorkerReport, WorkerState
from tarragonlb.telemetry.fleetmetrics import (
    FLEET_METER,
    TASK_ENDS,
    TASK_RETURNS,
    TASK_STARTS,
    TASK_STOPS,
)
from tarragonlb.telemetry.log import Log

LOG = Log('owner')


class DecisionLog:
    """Writes the lines of one owner."""

    __slots__ = ('_fields',)

    def __init__(self, owned: OwnedPartition) -> None:
        """Write partition and term into every line."""
        self._fields = {'partition': owned.partition, 'term': owned.term}

    def log_starts(
        self, decision: SchedulingDecision, workers: Mapping[str, WorkerState]
    ) -> None:
        """Log which tasks start where, and the room left on each worker."""
        FLEET_METER.count(TASK_STARTS, number=len(decision.starts))
        used = {start.worker_id for start in decision.starts}
        LOG.say(
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
        """Log which attempts are told to stop, repeats included."""
        if not stops:
            return
        for stop in stops:
            FLEET_METER.count(TASK_STOPS, stop.reason.name.lower())
        LOG.say(
            'Tasks are told to stop.',
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

    def log_released(self, released: list[ReleasedAttempt]) -> None:
        """Log why attempts count as over, and forget the released."""
        if not released:
            return
        for attempt in released:
            FLEET_METER.count(TASK_RETURNS, attempt.reason)
        LOG.say(
            'Tasks wait again.',
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

    def log_ends(
        self, report: WorkerReport, workers: Mapping[str, WorkerState]
    ) -> None:
        """Log which attempts a worker says have ended, each end once.

        Called before the report is applied: ends up to the last seen one were
        listed before and not acknowledged yet.
        """
        worker = workers.get(report.worker_id)
        seen = 0
        if worker is not None and worker.incarnation == report.incarnation:
            seen = worker.last_end_number
        ended = [end for end in report.ended if end.number > seen]
        if not ended:
            return
        for end in ended:
            FLEET_METER.count(TASK_ENDS, end.outcome)
        LOG.say(
            'Tasks ended.',
            worker=report.worker_id,
            ends=[(str(end.key), end.attempt, end.outcome) for end in ended],
            **self._fields,
        )
