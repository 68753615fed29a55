"""Reports what the tenants of an owner's partition wait for and occupy."""

from tarragonlb.controller.membership import OwnedPartition
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.submissionrate import SubmissionRates
from tarragonlb.scheduling.tenantstatistics import (
    TenantStatistics,
    measure_tenants,
)
from tarragonlb.telemetry.log import Log
from tarragonlb.telemetry.tenantmetrics import (
    TENANT_METER,
    TenantValues,
    choose_names,
)

LOG = Log('owner')
# The log line is for operators who look back at a peak of some ten seconds.
REPORT_INTERVAL_SECONDS = 5.0


class TenantReport:
    """Updates the metrics by tenant, and logs while tenants wait.

    Without tenants in the configuration it does nothing.
    """

    __slots__ = ('_owned', '_rates', '_reported_at')

    def __init__(self, owned: OwnedPartition, now: float) -> None:
        """Add the partition and the term of ``owned`` to every line."""
        self._owned = owned
        self._rates = SubmissionRates()
        self._reported_at = now

    def emit_if_due(self, state: PartitionState, now: float) -> None:
        """Report the usage, unless the last report is too recent."""
        if now - self._reported_at < REPORT_INTERVAL_SECONDS:
            return
        self._reported_at = now
        if not state.tenants.by_name:
            return
        usages = measure_tenants(state, self._rates)
        TENANT_METER.update(
            self._owned.partition,
            {
                name: TenantValues(
                    usage.waiting, usage.cpu_millicores, usage.beyond
                )
                for name, usage in usages.items()
            },
        )
        waiting = {
            name: usage.waiting
            for name, usage in usages.items()
            if usage.waiting
        }
        if waiting:
            named = choose_names(waiting)
            LOG.emit(
                'Tenants wait for workers.',
                tenants=[
                    _describe(name, usages[name]) for name in sorted(named)
                ],
                others=len(waiting) - len(named),
                other_tasks=sum(waiting.values())
                - sum(waiting[name] for name in named),
                partition=self._owned.partition,
                term=self._owned.term,
            )

    def close(self) -> None:
        """Remove the metrics of the partition at the end of the term."""
        TENANT_METER.update(self._owned.partition, {})


def _describe(name: str, usage: TenantStatistics) -> dict[str, object]:
    return {
        'tenant': name,
        'waiting': usage.waiting,
        'occupied_share': round(usage.share, 3),
        'cpu_millicores': usage.cpu_millicores,
        'jobs_beyond_rate': usage.beyond,
    }
