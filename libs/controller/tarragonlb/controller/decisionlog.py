"""One log line a decision of an owner, with the tasks it is about.

A task's name begins with its job's id, so that a job can be followed through
the lines of all processes.
"""

from collections.abc import Mapping

from tarragonlb.controller.membership import Holding
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

    __slots__ = ('_name',)

    def __init__(self, holding: Holding) -> None:
        """Write partition and term into every line."""
        self._name = {'partition': holding.partition, 'term': holding.term}

    def log_starts(
        self, decided: SchedulingDecision, workers: Mapping[str, WorkerState]
    ) -> None:
        """Log which tasks start where, and the room left on each worker."""
        FLEET_METER.count(TASK_STARTS, number=len(decided.starts))
        used = {start.worker_id for start in decided.starts}
        LOG.say(
            'Starting tasks.',
            starts=[
                (str(start.key), start.attempt, start.worker_id)
                for start in decided.starts
            ],
            free_millicores={
                worker_id: workers[worker_id].free_cpu
                for worker_id in used
                if worker_id in workers
            },
            **self._name,
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
            **self._name,
        )

    def log_notes(self, notes: list[ReleasedAttempt]) -> None:
        """Log why attempts count as over, and forget the notes."""
        if not notes:
            return
        for note in notes:
            FLEET_METER.count(TASK_RETURNS, note.reason)
        LOG.say(
            'Tasks wait again.',
            tasks=[
                (str(note.key), note.attempt, note.worker_id, note.reason)
                for note in notes
            ],
            **self._name,
        )
        notes.clear()

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
            **self._name,
        )
