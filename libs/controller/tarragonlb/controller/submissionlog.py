"""Logs the submissions of clients, at most once a second for each outcome.

The ids of the jobs stay in the log, since a trace begins with them.  A lone
submission is logged at once.
"""

from collections import defaultdict
from dataclasses import dataclass

import trio

from tarragonlb.controller.ports import Clock
from tarragonlb.telemetry.log import Log

LOG = Log('desk')
INTERVAL_SECONDS = 1.0
MAX_JOBS_PER_LINE = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class SubmissionKind:
    """What submissions have in common that share a line."""

    queue: str
    pool: str
    partition: int | None
    verdict: str
    reason: str


class SubmissionLog:
    """Collects submissions and logs them together."""

    __slots__ = ('_clock', '_jobs', '_logged_at')

    def __init__(self, clock: Clock) -> None:
        """Start without submissions."""
        self._clock = clock
        self._jobs: dict[SubmissionKind, list[tuple[str, float]]] = defaultdict(
            list
        )
        self._logged_at = -INTERVAL_SECONDS

    def note(self, job_id: str, kind: SubmissionKind) -> None:
        """Log a submission now, or with others that follow soon."""
        now = self._clock.read_monotonic()
        self._jobs[kind].append((job_id, now))
        if now - self._logged_at >= INTERVAL_SECONDS:
            self._log_all(now)

    async def run(self) -> None:
        """Log what was collected, until cancelled."""
        try:
            while True:
                await trio.sleep(INTERVAL_SECONDS)
                self._log_all(self._clock.read_monotonic())
        finally:
            self._log_all(self._clock.read_monotonic())

    def _log_all(self, now: float) -> None:
        for kind, jobs in self._jobs.items():
            self._logged_at = now
            for first in range(0, len(jobs), MAX_JOBS_PER_LINE):
                LOG.emit(
                    'Jobs submitted.',
                    jobs=[
                        (job_id, round(now - at, 2))
                        for job_id, at in jobs[
                            first : first + MAX_JOBS_PER_LINE
                        ]
                    ],
                    queue=kind.queue,
                    pool=kind.pool,
                    partition=kind.partition,
                    verdict=kind.verdict,
                    reason=kind.reason,
                )
        self._jobs.clear()
