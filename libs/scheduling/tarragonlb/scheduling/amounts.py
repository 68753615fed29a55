"""Amounts of the resources that a tenant's cap limits, as plain tuples.

The fields are millicores, megabytes, GPUs, and the permission to run one task
that is larger than the cap.  Owners add and compare amounts for each task, so
they are tuples instead of objects.

>>> add((1000, 512, 0, 0), (500, 0, 1, 0))
(1500, 512, 1, 0)
"""

from tarragonlb.scheduling.job import Demand

Amounts = tuple[int, int, int, int]

NOTHING: Amounts = (0, 0, 0, 0)
# Index of the permission to run one task that is larger than the cap.
OVERSIZE = 3
OVERSIZE_TASK: Amounts = (0, 0, 0, 1)
RESOURCES = range(OVERSIZE)


def count_demand(demand: Demand, count: int = 1) -> Amounts:
    """Return the amounts that ``count`` tasks occupy."""
    return (
        demand.cpu_millicores * count,
        demand.memory_mb * count,
        demand.gpus * count,
        0,
    )


def build_amounts(numbers: list[int]) -> Amounts:
    """Return four integers as amounts; raise ``ValueError`` if invalid."""
    first, second, third, oversize = map(int, numbers)
    found = (first, second, third, oversize)
    if min(found) < 0:
        raise ValueError('negative amount')
    return found


def add(one: Amounts, other: Amounts) -> Amounts:
    """Return the sum."""
    return (
        one[0] + other[0],
        one[1] + other[1],
        one[2] + other[2],
        one[3] + other[3],
    )


def subtract(one: Amounts, other: Amounts) -> Amounts:
    """Return the difference, which may have negative fields."""
    return (
        one[0] - other[0],
        one[1] - other[1],
        one[2] - other[2],
        one[3] - other[3],
    )


def take_larger(one: Amounts, other: Amounts) -> Amounts:
    """Return the larger of each field."""
    return (
        max(one[0], other[0]),
        max(one[1], other[1]),
        max(one[2], other[2]),
        max(one[3], other[3]),
    )


def take_smaller(one: Amounts, other: Amounts) -> Amounts:
    """Return the smaller of each field."""
    return (
        min(one[0], other[0]),
        min(one[1], other[1]),
        min(one[2], other[2]),
        min(one[3], other[3]),
    )


def covers(one: Amounts, other: Amounts) -> bool:
    """Return whether no field is below that of ``other``."""
    return (
        one[0] >= other[0]
        and one[1] >= other[1]
        and one[2] >= other[2]
        and one[3] >= other[3]
    )


def scale(share: Amounts, new_cap: Amounts, old_cap: Amounts) -> Amounts:
    """Reduce a share of ``old_cap`` in proportion if the cap has shrunk.

    Without a limit before, nothing was granted, and nothing is left of it.

    >>> scale((400, 60, 0, 1), (500, 0, 0, 1), (1000, 100, 0, 1))
    (200, 60, 0, 1)
    """
    cpu, memory, gpus = (
        share[field] * new_cap[field] // old_cap[field]
        if 0 < new_cap[field] < old_cap[field]
        else share[field]
        for field in RESOURCES
    )
    return (cpu, memory, gpus, share[OVERSIZE])


def exceeds_cap(amounts: Amounts, cap: Amounts) -> bool:
    """Return whether a limited resource exceeds the cap, where 0 is no limit.

    >>> exceeds_cap((500, 900, 0, 0), (1000, 0, 0, 1))
    False
    """
    return (
        0 < cap[0] < amounts[0]
        or 0 < cap[1] < amounts[1]
        or 0 < cap[2] < amounts[2]
    )


def keep_limited(amounts: Amounts, cap: Amounts) -> Amounts:
    """Return the amounts of the resources that a cap limits, 0 for others."""
    return (
        amounts[0] if cap[0] else 0,
        amounts[1] if cap[1] else 0,
        amounts[2] if cap[2] else 0,
        amounts[3] if cap[3] else 0,
    )


def has_limit(cap: Amounts) -> bool:
    """Return whether a cap limits any resource."""
    return cap[0] > 0 or cap[1] > 0 or cap[2] > 0
