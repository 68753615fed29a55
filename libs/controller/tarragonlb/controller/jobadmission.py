"""Rejects jobs that can not be done in time, and counts the rejections."""

import random
from collections import Counter
from collections.abc import Callable

from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Clock
from tarragonlb.controller.settings import ControllerSettings
from tarragonlb.scheduling.hopelessjobs import Rejection, find_rejection
from tarragonlb.scheduling.job import Job
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, JOBS_REJECTED
from tarragonlb.telemetry.log import Log

LOG = Log('desk')
LOG_INTERVAL_SECONDS = 5.0


class JobAdmission:
    """Decides by the published waits whether jobs are admitted."""

    __slots__ = (
        '_clock',
        '_counts',
        '_draw_share',
        '_is_enabled',
        '_logged_at',
        '_view',
    )

    def __init__(
        self,
        view: PlatformView,
        settings: ControllerSettings,
        clock: Clock,
        draw_share: Callable[[], float] = random.random,
    ) -> None:
        """Admit all jobs unless the settings say otherwise.

        ``draw_share`` returns a random number from 0 to 1.
        """
        self._view = view
        self._is_enabled = settings.rejects_hopeless_jobs
        self._clock = clock
        self._draw_share = draw_share
        self._counts: Counter[tuple[str, str]] = Counter()
        self._logged_at: dict[str, float] = {}

    def find_rejection(self, job: Job) -> Rejection | None:
        """Return why a job is rejected now, or None if it is admitted."""
        configuration = self._view.configuration
        if not self._is_enabled or configuration is None:
            return None
        queue = configuration.queues.by_name.get(job.queue)
        if queue is None:
            return None
        waits = self._view.fleet_state.waits.find(
            job.pool, self._clock.read_monotonic()
        )
        return find_rejection(job, queue, waits, self._draw_share)

    def note_rejected(self, job: Job, rejection: Rejection) -> None:
        """Count a rejection, and log those of the pool from time to time."""
        FLEET_METER.count(JOBS_REJECTED, rejection.cause)
        self._counts[job.pool, rejection.cause] += 1
        now = self._clock.read_monotonic()
        logged_at = self._logged_at.get(job.pool)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_SECONDS:
            return
        self._logged_at[job.pool] = now
        LOG.emit(
            'Jobs rejected, as they would end too late.',
            pool=job.pool,
            queue=job.queue,
            counts={
                cause: self._counts.pop((pool, cause))
                for pool, cause in tuple(self._counts)
                if pool == job.pool
            },
            wait_seconds=rejection.wait_seconds,
            retry_after=rejection.retry_after,
        )
