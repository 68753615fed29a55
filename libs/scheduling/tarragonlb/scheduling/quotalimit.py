"""Limits what a tenant's tasks may occupy in one partition.

A task may start if what the tenant occupies, with the task, stays within the
partition's share of the tenant's cap.  A share is scaled down at once when the
configuration reduces the cap.  Without a grant nothing starts: what has not
been granted may have been granted to another partition.

A tenant whose cap is smaller than a single task may run one such task at a
time, in the one partition that has the permission and the whole cap of each
resource that the task exceeds, when it occupies nothing there.  So nothing else
of the tenant starts meanwhile, in any partition.
"""

from tarragonlb.scheduling import amounts
from tarragonlb.scheduling.partitionstate import PartitionState
from tarragonlb.scheduling.policies import StartLimit
from tarragonlb.scheduling.quotaindex import QuotaIndex
from tarragonlb.scheduling.readystep import ReadyStep
from tarragonlb.scheduling.tenant import NO_TENANTS, Tenant, TenantTable

# A tenant that neither the configuration nor a grant names counts as one
# without a cap after this time: longer than an owner takes to read a
# configuration that another daemon has already applied.
UNKNOWN_TENANT_SECONDS = 5.0
# Scaled shares are safe while the former cap still counts, for 3 s after the
# change.  Later, what runs elsewhere above a scaled share may fill the cap.
MAX_SCALING_SECONDS = 2.5

StepKey = tuple[str, int, int]


class QuotaLimit(StartLimit):
    """Lets tasks start within the shares of one partition.

    ``is_open`` is false until the owner has read the grants to the end in its
    term; before that no task of a tenant with a cap starts.
    """

    __slots__ = (
        '_caps',
        '_former',
        '_lacking',
        '_now',
        '_reduced_at',
        '_tenants',
        '_unknown_since',
        'index',
        'is_open',
        'partition',
    )

    def __init__(self, partition: int, index: QuotaIndex) -> None:
        """Limit the tasks of a partition by the grants of ``index``."""
        self.partition = partition
        self.index = index
        self.is_open = False
        self._now = 0.0
        self._tenants = NO_TENANTS
        self._caps: dict[str, amounts.Amounts] = {}
        # The cap before the present one, and when it was replaced.
        self._former: dict[str, tuple[amounts.Amounts, float]] = {}
        self._unknown_since: dict[str, float] = {}
        # When a cap was first seen to be below that of the grant.
        self._reduced_at: dict[str, float] = {}
        self._lacking: dict[str, dict[StepKey, tuple[ReadyStep, int]]] = {}

    def begin_round(self, partition: PartitionState, now: float) -> None:
        """Prepare for a round at ``now`` seconds."""
        self._now = now
        partition.usage.expire(now)
        if partition.tenants is not self._tenants:
            # Also of idle tenants, as the former cap counts from now on.
            self._tenants = partition.tenants
            for listed in partition.tenants.by_name.values():
                self._note_cap(listed)

    def allows(
        self, ready: ReadyStep, count: int, partition: PartitionState
    ) -> bool:
        """Return whether ``count`` more tasks of a step may start now."""
        tenant = ready.job_state.job.tenant
        if not tenant:
            return True
        cap = self.find_cap(tenant, partition.tenants)
        if cap is None:
            return False
        if not amounts.has_limit(cap):
            return True
        needed = amounts.count_demand(ready.step.demand, count)
        if self._fits(tenant, cap, needed, count, partition):
            self._lacking.get(tenant, {}).pop(ready.key, None)
            return True
        # A gang that exceeds the cap can never start.
        if count == 1 or not amounts.exceeds_cap(needed, cap):
            self._lacking.setdefault(tenant, {})[ready.key] = (ready, count)
        return False

    def find_cap(
        self, tenant: str, tenants: TenantTable
    ) -> amounts.Amounts | None:
        """Return the last known cap of a tenant, None while it is unknown.

        Accepted jobs of a tenant that is no longer listed keep its last cap.
        """
        listed = tenants.find(tenant)
        if listed is not None:
            return self._note_cap(listed)
        known = self._caps.get(tenant)
        if known is not None:
            return known
        grant = self.index.grants.get(tenant)
        if grant is not None:
            return grant.cap
        since = self._unknown_since.setdefault(tenant, self._now)
        if self._now < since + UNKNOWN_TENANT_SECONDS:
            return None
        return amounts.NOTHING

    def find_share(
        self, tenant: str, cap: amounts.Amounts
    ) -> amounts.Amounts | None:
        """Return the share of a tenant under a cap, None without a grant."""
        grant = self.index.grants.get(tenant)
        if grant is None or self.partition not in grant.shares:
            return None
        share = grant.shares[self.partition].share
        if not amounts.exceeds_cap(grant.cap, cap):
            # A grant of a higher cap from now on is no earlier reduction.
            self._former.pop(tenant, None)
            self._reduced_at.pop(tenant, None)
            return share
        former = self._former.get(tenant)
        if former is not None and former[0] == grant.cap:
            since = former[1]
        else:
            since = self._reduced_at.setdefault(tenant, self._now)
        if self._now > since + MAX_SCALING_SECONDS:
            return amounts.NOTHING
        return amounts.scale(share, cap, grant.cap)

    def list_lacking(self) -> tuple[str, ...]:
        """Return the tenants that may lack room."""
        return tuple(self._lacking)

    def measure_lack(
        self, tenant: str, cap: amounts.Amounts, partition: PartitionState
    ) -> tuple[amounts.Amounts, amounts.Amounts]:
        """Return what the waiting tasks of a tenant need that lack room.

        The first value covers all of them, the second the largest start.
        """
        steps = self._lacking.get(tenant, {})
        total, largest = amounts.NOTHING, amounts.NOTHING
        for key, (ready, count) in tuple(steps.items()):
            waiting = ready.step_state.count_waiting()
            if not waiting or key[0] not in partition.open_jobs:
                steps.pop(key)
                continue
            unit = amounts.count_demand(ready.step.demand, count)
            if amounts.exceeds_cap(unit, cap):
                unit = _limit_to_cap(unit, cap)
                total = amounts.take_larger(total, unit)
            else:
                total = amounts.add(
                    total, amounts.count_demand(ready.step.demand, waiting)
                )
            largest = amounts.take_larger(largest, unit)
        if not steps:
            self._lacking.pop(tenant, None)
        return total, largest

    def mark_pools(self, tenant: str, partition: PartitionState) -> None:
        """Have the pools looked at in which tasks of a tenant lack room."""
        for ready, _ in self._lacking.get(tenant, {}).values():
            partition.changed_pools.add(ready.job_state.job.pool)

    def _note_cap(self, listed: Tenant) -> amounts.Amounts:
        """Return the cap of a tenant, and keep it with the one before."""
        cap = amounts.add(
            amounts.count_demand(listed.cap), amounts.OVERSIZE_TASK
        )
        known = self._caps.get(listed.name, cap)
        if known != cap:
            self._former[listed.name] = (known, self._now)
        self._caps[listed.name] = cap
        return cap

    def _fits(
        self,
        tenant: str,
        cap: amounts.Amounts,
        needed: amounts.Amounts,
        count: int,
        partition: PartitionState,
    ) -> bool:
        share = self.find_share(tenant, cap) if self.is_open else None
        if share is None:
            return False
        occupied = partition.usage.get(tenant)
        if amounts.exceeds_cap(needed, cap):
            is_first = count == 1 and occupied == amounts.NOTHING
            return is_first and amounts.covers(
                share, _limit_to_cap(needed, cap)
            )
        return all(
            not (cap[field] and needed[field])
            or occupied[field] + needed[field] <= share[field]
            for field in amounts.RESOURCES
        )


def _limit_to_cap(
    needed: amounts.Amounts, cap: amounts.Amounts
) -> amounts.Amounts:
    """Return the share that a task needs which is larger than the cap."""
    return amounts.add(amounts.take_smaller(needed, cap), amounts.OVERSIZE_TASK)
