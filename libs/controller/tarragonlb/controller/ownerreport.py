"""Logs once a second how well an owner keeps up with its partition.

Its lines tell three causes of late or lost tasks apart: an owner that lacks
processor time (rounds start late, reports are old), workers that do not answer,
and tasks that no worker can take.
"""

from dataclasses import asdict

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.controller.tenantreport import TenantReport
from tarragonlb.scheduling.health import IdlePermanentTask, assess_health
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.telemetry.fleetmetrics import (
    FLEET_METER,
    REPORT_AGE_SECONDS,
    ROUND_DELAY_SECONDS,
)
from tarragonlb.telemetry.log import Log

LOG = Log('owner')
REPORT_INTERVAL_SECONDS = 1.0


class OwnerReport:
    """Collects the delays of one owner between two lines of its log."""

    __slots__ = (
        '_fields',
        '_longest_round',
        '_reported_at',
        '_tenant_report',
        '_worst_delay',
    )

    def __init__(self, owned: OwnedPartition, now: float) -> None:
        """Add the partition and the term of ``owned`` to every line."""
        self._fields = {'partition': owned.partition, 'term': owned.term}
        self._reported_at = now
        self._tenant_report = TenantReport(owned, now)
        self._worst_delay = 0.0
        self._longest_round = 0.0

    def note_round(self, delay_seconds: float, took_seconds: float) -> None:
        """Record how late a round started and how long it took."""
        FLEET_METER.record(ROUND_DELAY_SECONDS, delay_seconds)
        self._worst_delay = max(self._worst_delay, delay_seconds)
        self._longest_round = max(self._longest_round, took_seconds)

    def emit_if_due(
        self, state: PartitionState, queued_events: int, now: float
    ) -> None:
        """Write the line of the last second, unless it is not over yet."""
        self._tenant_report.emit_if_due(state, now)
        elapsed = now - self._reported_at
        if elapsed < REPORT_INTERVAL_SECONDS:
            return
        health = assess_health(state, now)
        FLEET_METER.record(REPORT_AGE_SECONDS, health.oldest_report_seconds)
        LOG.emit(
            'State of the partition.',
            jobs=len(state.jobs),
            workers=health.workers,
            unheard=health.unheard,
            silent=health.silent,
            with_orphans=health.with_orphans,
            oldest_report_seconds=round(health.oldest_report_seconds, 3),
            tasks=health.tasks,
            idle_permanent=[_describe(idle) for idle in health.idle_permanent],
            idle_permanent_count=health.idle_permanent_count,
            queued_events=queued_events,
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


def _describe(idle: IdlePermanentTask) -> dict[str, object]:
    return {
        **asdict(idle),
        'key': str(idle.key),
        'phase': idle.phase.name.lower(),
    }
