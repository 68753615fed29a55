"""What tenants occupy in the pools of a partition.

The dominant share of a tenant in a pool is the largest fraction of a resource
of the pool that its attached attempts occupy.  Divided by its weight it says
how well the tenant is served compared with others: with equal weights, one that
occupies half of the CPU is as well served as one that occupies half of the
memory.
"""

from tarragonlb.scheduling.job import Demand
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.tenant import TenantTable
from tarragonlb.scheduling.worker import WorkerState

# The weight of jobs without a tenant, together, and of a tenant that the
# configuration no longer lists.
DEFAULT_WEIGHT = 1.0
NO_CAPACITY = Demand()


class TenantShare:
    """What a tenant occupies in a pool of a certain size.

    ``weighted`` is its dominant share over its weight.
    """

    __slots__ = (
        '_size',
        '_weight',
        'cpu_millicores',
        'gpus',
        'memory_mb',
        'weighted',
    )

    def __init__(self, size: Demand, weight: float) -> None:
        """Start with nothing."""
        self._size = size
        self._weight = weight
        self.cpu_millicores = 0
        self.memory_mb = 0
        self.gpus = 0
        self.weighted = 0.0

    def occupy(self, demand: Demand, count: int = 1) -> None:
        """Add the demand of ``count`` tasks."""
        self.cpu_millicores += count * demand.cpu_millicores
        self.memory_mb += count * demand.memory_mb
        self.gpus += count * demand.gpus

    def compute_dominant_share(self) -> float:
        """Return the largest fraction of a resource that is occupied."""
        size = self._size
        return max(
            self.cpu_millicores / (size.cpu_millicores or 1),
            self.memory_mb / (size.memory_mb or 1),
            self.gpus / (size.gpus or 1),
        )

    def update(self) -> None:
        """Compute ``weighted`` after the tenant occupies more."""
        self.weighted = self.compute_dominant_share() / self._weight


class PoolShares:
    """The shares of the tenants in the pools of a partition.

    ``by_tenant`` maps the names of pool and tenant to the share.
    """

    __slots__ = ('_sizes', '_tenants', 'by_tenant')

    def __init__(self, partition: PartitionState) -> None:
        """Sum up what the attached attempts occupy.

        Only usable workers count for the size of a pool, but attempts on the
        others do occupy something.
        """
        self._tenants: TenantTable = partition.tenants
        self._sizes = _measure_pools(partition)
        self.by_tenant: dict[tuple[str, str], TenantShare] = {}
        for worker in partition.workers.values():
            self._add_worker(worker, partition)
        for share in self.by_tenant.values():
            share.update()

    def get(self, pool: str, tenant: str) -> TenantShare:
        """Return the share of a tenant in a pool."""
        known = self.by_tenant.get((pool, tenant))
        return self.add(pool, tenant) if known is None else known

    def add(self, pool: str, tenant: str) -> TenantShare:
        """Add the share of a tenant that occupies nothing."""
        entry = self._tenants.find(tenant)
        share = TenantShare(
            self._sizes.get(pool, NO_CAPACITY),
            DEFAULT_WEIGHT if entry is None else entry.weight,
        )
        self.by_tenant[pool, tenant] = share
        return share

    def _add_worker(
        self, worker: WorkerState, partition: PartitionState
    ) -> None:
        pool = worker.entry.pool
        for attachment in worker.attached.values():
            job_state = partition.jobs.get(attachment.step_key[0])
            tenant = '' if job_state is None else job_state.job.tenant
            self.get(pool, tenant).occupy(attachment.demand)


def _measure_pools(partition: PartitionState) -> dict[str, Demand]:
    """Return the capacity of the usable workers of each pool."""
    rows: dict[str, list[Demand]] = {}
    for worker in partition.workers.values():
        if worker.is_usable():
            rows.setdefault(worker.entry.pool, []).append(worker.entry.capacity)
    return {
        pool: Demand(
            sum(capacity.cpu_millicores for capacity in capacities),
            sum(capacity.memory_mb for capacity in capacities),
            sum(capacity.gpus for capacity in capacities),
        )
        for pool, capacities in rows.items()
    }
