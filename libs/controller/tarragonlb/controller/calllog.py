"""Logs the calls to one worker that got no answer, and its incarnations.

A call without an answer may be executed later, also by the next incarnation.
What became of it shows only in the logs of both sides, so its line says what it
was meant for.  A line holds the calls of some time, and only the first status
request of a silence: a worker that is cut off leaves one unanswered every few
hundred milliseconds.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonlb.telemetry.log import Log

LOG = Log('worker')
MIN_INTERVAL_SECONDS = 1.0
MAX_ROWS_PER_LINE = 50
STATUS = 'status'


@dataclass(frozen=True, slots=True)
class Call:
    """A call to a worker that is under way.

    ``incarnation`` is the one that it is meant for, None before the worker has
    answered for the first time.  ``lease_until_ms`` is the lease that it
    carries, on the clock of that incarnation, and ``sent_clock_ms`` what this
    clock showed at least when the call was sent.  ``attempt`` is that of an
    order.  A status request acknowledges ends up to ``acknowledged_end``.
    """

    kind: str
    token: int
    incarnation: int | None
    lease_until_ms: int | None = None
    sent_clock_ms: int = 0
    attempt: str = ''
    acknowledged_end: int = 0

    def describe(self) -> tuple[object, ...]:
        """Return the call as a row of a log line."""
        return (
            self.kind,
            self.attempt,
            self.token,
            self.incarnation,
            self.lease_until_ms,
        )


class CallLog:
    """Logs what happened to the calls to one worker."""

    __slots__ = ('_dropped', '_logged_at', '_rows', '_worker_id')

    def __init__(self, worker_id: str) -> None:
        """Add ``worker_id`` to each line."""
        self._worker_id = worker_id
        self._rows: list[tuple[object, ...]] = []
        self._dropped = 0
        self._logged_at = -math.inf

    def note_unanswered(self, call: Call, now: float) -> None:
        """Log a call without an answer, now or with others that follow."""
        if len(self._rows) < MAX_ROWS_PER_LINE:
            self._rows.append(call.describe())
        else:
            self._dropped += 1
        self.log_collected(now)

    def log_collected(self, now: float) -> None:
        """Log the calls since the last line, unless that is too recent."""
        if not self._rows or now - self._logged_at < MIN_INTERVAL_SECONDS:
            return
        LOG.emit(
            'Calls without an answer.',
            worker=self._worker_id,
            calls=self._rows,
            dropped=self._dropped,
        )
        self._logged_at = now
        self._rows = []
        self._dropped = 0

    def log_other_incarnation(self, call: Call, clock_ms: int | None) -> None:
        """Log that another incarnation has answered an order."""
        LOG.emit(
            'Another incarnation has answered an order.',
            worker=self._worker_id,
            call=call.describe(),
            sent_clock_ms=call.sent_clock_ms,
            clock_ms=clock_ms,
        )

    def log_incarnation(
        self, former: int, incarnation: int, under_way: Iterable[Call]
    ) -> None:
        """Log another incarnation of the worker, and what is under way to it.

        The calls may be executed by the new one.
        """
        rows = [call.describe() for call in under_way]
        LOG.emit(
            'Worker has restarted under its id.',
            worker=self._worker_id,
            former=former,
            incarnation=incarnation,
            calls=rows[:MAX_ROWS_PER_LINE],
            without_answer=self._rows,
        )
