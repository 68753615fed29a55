"""What waits, what is occupied and what is beyond the rate, by tenant."""

from tarragonlb.scheduling.jobstate import JobState
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.poolshares import PoolShares
from tarragonlb.scheduling.submissionrate import SubmissionRates


class TenantStatistics:
    """The usage of one tenant in all pools of a partition.

    ``waiting`` counts tasks that are due and wait for a worker, ``beyond``
    those among the tenant's jobs that were submitted beyond its rate and have
    not begun.  ``share`` is the largest of its dominant shares in the pools.
    """

    __slots__ = ('beyond', 'cpu_millicores', 'share', 'waiting')

    def __init__(self) -> None:
        """Start with nothing."""
        self.waiting = 0
        self.beyond = 0
        self.cpu_millicores = 0
        self.share = 0.0


def measure_tenants(
    partition: PartitionState, rates: SubmissionRates
) -> dict[str, TenantStatistics]:
    """Return the usage of the tenants that wait or occupy something.

    The name of jobs without a tenant is empty.
    """
    rates.update(partition)
    usages: dict[str, TenantStatistics] = {}
    for (_, tenant), share in PoolShares(partition).by_tenant.items():
        usage = usages.setdefault(tenant, TenantStatistics())
        usage.cpu_millicores += share.cpu_millicores
        usage.share = max(usage.share, share.compute_dominant_share())
    for job_state in partition.open_jobs.values():
        job = job_state.job
        waiting = _count_waiting(job_state)
        if waiting:
            usage = usages.setdefault(job.tenant, TenantStatistics())
            usage.waiting += waiting
            usage.beyond += job.job_id in rates.beyond and not job_state.began
    return usages


def _count_waiting(job_state: JobState) -> int:
    return sum(
        state.count_waiting()
        for occurrence, number, state in job_state.list_steps()
        if not state.is_done and job_state.is_ready(occurrence, number)
    )
