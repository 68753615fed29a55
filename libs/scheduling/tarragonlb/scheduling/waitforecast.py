"""How long new jobs of a pool will wait for work that goes before them.

A new job is behind all work of a higher priority, running tasks, jobs of its
priority that have begun, and waiting jobs of its priority that must start
before any new job of the queue.  It goes before deferred jobs of its priority,
so these do not count until their deferral ends.

With tenants, waiting jobs are shared by weight.  A tenant within its share is
behind begun jobs only; one whose backlog is longer than its share allows is
also behind its own backlog, which is worked off at its share of the capacity.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from tarragonlb.scheduling.job import Demand
from tarragonlb.scheduling.jobbacklog import JobBacklog
from tarragonlb.scheduling.poolbacklog import PoolBacklog
from tarragonlb.scheduling.queue import Queue
from tarragonlb.scheduling.readystep import PLACEMENT_OVERHEAD_SECONDS
from tarragonlb.scheduling.tenant import TenantTable

# A move of a VM, and its first report, take this long.  A pool that has been
# full for less time, or grew meanwhile, may get workers that are not listed.
SETTLE_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class PoolWaits:
    """The expected waits in a full pool, in seconds.

    ``queues`` holds the wait of each queue by name, ``tenants`` that of a
    tenant beyond its share, by queue and tenant.  ``clears_in`` is when all
    present work will be done, at ``rate`` core seconds a second.  ``free`` is
    the largest free amount of each resource on any worker.
    """

    queues: Mapping[str, float] = field(default_factory=dict)
    tenants: Mapping[tuple[str, str], float] = field(default_factory=dict)
    clears_in: float = 0
    rate: float = 0
    free: Demand = field(default_factory=Demand)

    @property
    def is_clear(self) -> bool:
        """Return whether nobody waits."""
        return not any((*self.queues.values(), *self.tenants.values()))


NO_WAITS = PoolWaits()


class WaitForecast:
    """Forecasts the waits of one pool, from its backlog a few times a second.

    The capacity counts in full if the observed rate of work is below it:
    estimates of durations may be too long, and a wait that is too short only
    admits a job.
    """

    __slots__ = ('_capacity', '_full_since')

    def __init__(self) -> None:
        """Start with a pool that is not full."""
        self._full_since: float | None = None
        self._capacity = 0.0

    def forecast(
        self,
        backlog: PoolBacklog,
        queues: Iterable[Queue],
        tenants: TenantTable,
        now: float,
    ) -> PoolWaits:
        """Return the waits of the pool's queues, none unless it is full."""
        capacity = backlog.capacity + backlog.expected_capacity
        has_grown = capacity > self._capacity
        self._capacity = capacity
        if not backlog.is_full:
            self._full_since = None
            return NO_WAITS
        if has_grown or self._full_since is None:
            self._full_since = now
        rate = max(backlog.work_rate, capacity)
        if now - self._full_since < SETTLE_SECONDS or not rate:
            return NO_WAITS
        return _forecast_full(backlog, queues, tenants, rate, now)


def _forecast_full(
    backlog: PoolBacklog,
    queues: Iterable[Queue],
    tenants: TenantTable,
    rate: float,
    now: float,
) -> PoolWaits:
    queue_waits: dict[str, float] = {}
    tenant_waits: dict[tuple[str, str], float] = {}
    for queue in queues:
        common, shared = _sum_ahead(backlog.jobs, queue, now)
        if tenants.by_name:
            for name, work in _sum_beyond_share(shared, tenants):
                tenant_waits[queue.name, name] = round(
                    (common + work) / rate, 1
                )
        else:
            common += sum(shared.values())
        queue_waits[queue.name] = round(common / rate, 1)
    left = sum(job.running + job.waiting + job.blocked for job in backlog.jobs)
    return PoolWaits(
        queue_waits,
        tenant_waits,
        round(left / rate, 1),
        round(rate, 1),
        backlog.free,
    )


def _sum_beyond_share(
    shared: Mapping[str, float], tenants: TenantTable
) -> Iterator[tuple[str, float]]:
    """Yield the tenants beyond their shares, and the work before their jobs.

    That is what the pool does until it has done a tenant's own work at the
    tenant's share, and no more than the work of all.
    """
    total = sum(shared.values())
    weights = {name: _get_weight(tenants, name) for name in shared}
    for name, own in shared.items():
        share = weights[name] / sum(weights.values())
        if own > share * total:
            yield name, min(own / share, total)


def _sum_ahead(
    jobs: Iterable[JobBacklog], queue: Queue, now: float
) -> tuple[float, dict[str, float]]:
    """Return the work before every new job, and that of tenants in turn."""
    # A new job that takes no time must start by then.
    earliest = now + queue.objective_seconds - PLACEMENT_OVERHEAD_SECONDS
    common = 0.0
    shared: dict[str, float] = defaultdict(float)
    for job in jobs:
        # Running tasks occupy workers whatever their priority.
        common += job.running
        is_equal = job.priority == queue.priority and not job.is_deferred
        if job.priority < queue.priority or (is_equal and job.has_begun):
            common += job.waiting
        elif is_equal and job.latest_start < earliest:
            shared[job.tenant] += job.waiting
    return common, shared


def _get_weight(tenants: TenantTable, name: str) -> float:
    tenant = tenants.find(name)
    return tenant.weight if tenant else 1.0
