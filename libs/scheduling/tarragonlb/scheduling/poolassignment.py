"""Assigns pools to partitions.

A partition has one owner, whose processor does the scheduling for all pools of
the partition.  So a new pool gets the partition with the least load.  A known
pool keeps its partition, since its jobs are stored there.

>>> assign_pools(('a', 'b', 'c'), {'a': 1}, {'b': 3, 'c': 8}, (1, 2))
{'c': 2, 'b': 1}
"""

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

from tarragonlb.scheduling.fleetrecords import PoolLoad
from tarragonlb.scheduling.wave import Vm

# Weight of a pool without VMs and jobs: some jobs may come.
MIN_POOL_WEIGHT = 1.0


def assign_pools(
    pools: Iterable[str],
    assigned: Mapping[str, int],
    weights: Mapping[str, float],
    partitions: Sequence[int],
) -> dict[str, int]:
    """Return the partitions of those ``pools`` that have none yet.

    ``assigned`` are the partitions of the known pools.  The heaviest new pool
    is assigned first.  ``partitions`` must not be empty.
    """
    loads: defaultdict[int, float] = defaultdict(float)
    for pool, partition in assigned.items():
        loads[partition] += _get_weight(weights, pool)
    new_pools = sorted(
        set(pools) - set(assigned),
        key=lambda pool: (-_get_weight(weights, pool), pool),
    )
    found = {}
    for new_pool in new_pools:
        partition = min(partitions, key=loads.__getitem__)
        loads[partition] += _get_weight(weights, new_pool)
        found[new_pool] = partition
    return found


def weigh_pools(
    vms: Iterable[Vm], loads: Mapping[str, PoolLoad]
) -> dict[str, float]:
    """Return the weights of pools: how many workers they have or could use."""
    vm_counts = Counter(vm.pool for vm in vms)
    weights = {pool: float(count) for pool, count in vm_counts.items()}
    for pool, load in loads.items():
        weights[pool] = max(weights.get(pool, 0), load.wanted_workers)
    return weights


def _get_weight(weights: Mapping[str, float], pool: str) -> float:
    return max(weights.get(pool, 0), MIN_POOL_WEIGHT)
