"""Logs once a second how well an owner keeps up with its partition.

Its lines tell three causes of late or lost tasks apart: an owner that lacks
processor time (rounds start late, reports are old), workers that do not answer,
and tasks that no worker can take.  They also show a term that places no tasks,
since a decision is still being stored or the directory of workers is old.
"""

from collections.abc import Mapping
from dataclasses import asdict, dataclass

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.tenantreport import TenantReport
from tarragonlb.controller.waitreport import WaitReport
from tarragonlb.scheduling.health import IdlePermanentTask, assess_health
from tarragonlb.scheduling.idlejobs import IdleJobs
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.startwindow import StartWindow
from tarragonlb.scheduling.waitreason import StepKey, WaitReason
from tarragonlb.telemetry.fleetmetrics import (
    FLEET_METER,
    IDLE_JOB_SECONDS,
    REPORT_AGE_SECONDS,
    ROUND_DELAY_SECONDS,
)
from tarragonlb.telemetry.log import Log

LOG = Log('owner')
REPORT_INTERVAL_SECONDS = 1.0
# Storing a decision takes less, unless the store is slow or away.
SLOW_STORING_SECONDS = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class TermProgress:
    """How far the rounds of a term have come.

    ``queued_events`` are not handled yet.  ``storing_since`` is when the
    decision that is being stored was made, None if none is.  ``may_place`` is
    false while the directory of workers may be out of date.  ``wait_reasons``
    are why steps were not placed in the last rounds.
    """

    queued_events: int
    start_window: StartWindow
    storing_since: float | None
    may_place: bool
    wait_reasons: Mapping[StepKey, WaitReason]

    def find_stall(self, now: float) -> WaitReason | None:
        """Return why nothing at all is placed, None if it is."""
        if _compute_age(self.storing_since, now) >= SLOW_STORING_SECONDS:
            return WaitReason.STORING
        return None if self.may_place else WaitReason.DIRECTORY


class OwnerReport:
    """Collects the delays of one owner between two lines of its log."""

    __slots__ = (
        '_began_at',
        '_fields',
        '_idle_jobs',
        '_longest_round',
        '_reported_at',
        '_tenant_report',
        '_wait_report',
        '_worst_delay',
    )

    def __init__(self, owned: OwnedPartition, now: float) -> None:
        """Add the partition and the term of ``owned`` to every line."""
        self._fields = {'partition': owned.partition, 'term': owned.term}
        self._began_at = now
        self._idle_jobs = IdleJobs()
        self._reported_at = now
        self._tenant_report = TenantReport(owned, now)
        self._wait_report = WaitReport(self._fields)
        self._worst_delay = 0.0
        self._longest_round = 0.0

    def note_round(self, delay_seconds: float, took_seconds: float) -> None:
        """Record how late a round started and how long it took."""
        FLEET_METER.record(ROUND_DELAY_SECONDS, delay_seconds)
        self._worst_delay = max(self._worst_delay, delay_seconds)
        self._longest_round = max(self._longest_round, took_seconds)

    def emit_if_due(
        self, state: PartitionState, progress: TermProgress, now: float
    ) -> None:
        """Write the line of the last second, unless it is not over yet."""
        self._tenant_report.emit_if_due(state, now)
        elapsed = now - self._reported_at
        if elapsed < REPORT_INTERVAL_SECONDS:
            return
        health = assess_health(state, now)
        FLEET_METER.record(REPORT_AGE_SECONDS, health.oldest_report_seconds)
        idle_jobs = self._idle_jobs.update(state, now)
        FLEET_METER.record(IDLE_JOB_SECONDS, self._idle_jobs.find_longest(now))
        waiting_steps = self._wait_report.emit(
            state, progress.wait_reasons, progress.find_stall(now), now
        )
        LOG.emit(
            'State of the partition.',
            term_seconds=round(now - self._began_at, 1),
            jobs=len(state.jobs),
            open_jobs=len(state.open_jobs),
            idle_jobs=[asdict(idle) for idle in idle_jobs],
            idle_job_count=self._idle_jobs.count,
            waiting_steps=waiting_steps,
            workers=health.workers,
            unheard=health.unheard,
            silent=health.silent,
            with_orphans=health.with_orphans,
            oldest_report_seconds=round(health.oldest_report_seconds, 3),
            tasks=health.tasks,
            idle_permanent=[_describe(idle) for idle in health.idle_permanent],
            idle_permanent_count=health.idle_permanent_count,
            queued_events=progress.queued_events,
            pending_starts=progress.start_window.count_pending(),
            start_window=progress.start_window.size,
            storing_seconds=_compute_age(progress.storing_since, now),
            may_place=progress.may_place,
            round_delay_seconds=round(self._worst_delay, 3),
            round_seconds=round(self._longest_round, 3),
            **self._fields,
        )
        self._reported_at = now
        self._worst_delay = 0.0
        self._longest_round = 0.0

    def close(self) -> None:
        """Remove the metrics of the partition at the end of the term."""
        self._tenant_report.close()


def _compute_age(since: float | None, now: float) -> float:
    return 0.0 if since is None else round(now - since, 3)


def _describe(idle: IdlePermanentTask) -> dict[str, object]:
    return {
        **asdict(idle),
        'key': str(idle.key),
        'phase': idle.phase.name.lower(),
    }
