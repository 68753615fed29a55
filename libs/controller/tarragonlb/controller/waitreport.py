"""Logs which ready steps wait, and why, with a bounded number of lines.

A line is written once a step has waited for a while, when its reason changes,
and when it no longer waits.  At a peak only some steps get lines; the others
are counted in these, and by reason in the line of the partition.
"""

from collections.abc import Mapping

from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.waitingsteps import WaitingSteps
from tarragonlb.scheduling.waitreason import StepKey, WaitReason
from tarragonlb.telemetry.fleetmetrics import FLEET_METER, STEPS_WAITING
from tarragonlb.telemetry.log import Log

LOG = Log('owner')


class WaitReport:
    """Logs the waiting steps of one owner."""

    __slots__ = ('_fields', '_steps')

    def __init__(self, fields: Mapping[str, int]) -> None:
        """Add ``fields`` to every line."""
        self._fields = fields
        self._steps = WaitingSteps()

    def emit(
        self,
        state: PartitionState,
        reasons: Mapping[StepKey, WaitReason],
        stall: WaitReason | None,
        now: float,
    ) -> dict[str, int]:
        """Log what has changed; return how many steps wait, by reason."""
        changes = self._steps.update(state, reasons, stall, now)
        for ended in changes.ended:
            LOG.emit(
                'A step no longer waits.',
                job=ended.job_id,
                occurrence=ended.occurrence,
                step=ended.step,
                waited_seconds=ended.waited_seconds,
                last_reason=ended.reason,
                is_job_over=ended.is_job_over,
                others=changes.unlisted_ends,
                **self._fields,
            )
        for waiting in changes.waiting:
            LOG.emit(
                'A ready step waits.',
                job=waiting.job_id,
                occurrence=waiting.occurrence,
                step=waiting.step,
                tenant=waiting.tenant,
                reason=waiting.reason,
                waited_seconds=waiting.waited_seconds,
                phases=waiting.phases,
                obstacles=waiting.obstacles,
                others=changes.unlisted,
                **self._fields,
            )
        for reason, count in changes.counts.items():
            FLEET_METER.record(STEPS_WAITING, count, reason)
        return changes.counts
