"""Divides a tenant's cap by what the owners of partitions want.

First each owner that lacks room gets what one more task needs, in the order of
the claims, as far as the cap suffices: shares that are all smaller than a task
would let nobody start.  The rest is divided by water filling, so that nobody
gets less than an equal part because others want more.  What nobody wants is
divided evenly, so that most later needs are met without a message.

>>> fill(90, [10, 100, 100])
[10, 40, 40]
"""

from collections.abc import Sequence
from dataclasses import dataclass

from tarragonlb.scheduling import amounts


@dataclass(frozen=True, slots=True)
class Claim:
    """What the owner of a partition wants, and needs for one more task."""

    partition: int
    wanted: amounts.Amounts = amounts.NOTHING
    unit: amounts.Amounts = amounts.NOTHING


def fill(amount: int, wants: Sequence[int]) -> list[int]:
    """Divide an amount so that nobody gets more than it wants.

    Whoever gets less than it wants gets no less than anybody else.
    """
    given = [0 for _ in wants]
    left, count = amount, len(wants)
    for index in sorted(range(len(wants)), key=wants.__getitem__):
        given[index] = min(max(wants[index], 0), left // count)
        left -= given[index]
        count -= 1
    return given


def split_cap(
    cap: amounts.Amounts, claims: Sequence[Claim]
) -> dict[int, amounts.Amounts]:
    """Return the shares that the partitions should have.

    >>> split_cap((90, 0, 0, 1), [Claim(1, (30, 0, 0, 0)), Claim(2)])
    {1: (60, 0, 0, 0), 2: (30, 0, 0, 0)}
    """
    units = _grant_units(cap, claims)
    columns = [
        _split_field(field, cap, claims, units) for field in amounts.RESOURCES
    ]
    columns.append([unit[amounts.OVERSIZE] for unit in units])
    return {
        claim.partition: row
        for claim, row in zip(claims, zip(*columns, strict=True), strict=True)
    }


def _split_field(
    field: int,
    cap: amounts.Amounts,
    claims: Sequence[Claim],
    units: Sequence[amounts.Amounts],
) -> list[int]:
    """Return the shares of one resource."""
    left = cap[field] - sum(unit[field] for unit in units)
    given = fill(
        left,
        [
            claim.wanted[field] - unit[field]
            for claim, unit in zip(claims, units, strict=True)
        ],
    )
    spare = (left - sum(given)) // len(claims)
    return [
        unit[field] + more + spare
        for unit, more in zip(units, given, strict=True)
    ]


def _grant_units(
    cap: amounts.Amounts, claims: Sequence[Claim]
) -> list[amounts.Amounts]:
    left = cap
    units = []
    for claim in claims:
        unit = amounts.keep_limited(claim.unit, cap)
        if not amounts.covers(left, unit):
            unit = amounts.NOTHING
        left = amounts.subtract(left, unit)
        units.append(unit)
    return units
