"""The plan for pools against a greedy baseline and the optimum from HiGHS.

Both users' fleets of today with their own weights, and small random ones.
The baseline lets pool after pool take the fastest choice that the spares left
allow.  All figures are weighted sums.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import highspy

from tarragonlb.capacity.spares import (
    PoolChoice,
    PoolNeed,
    choose_plan,
    list_choices,
)
from tarragonlb.settings.schema import WeightSettings

DHARMAVANI = WeightSettings(buffer_cost=5, rollout_time=1, vm_moves=1)
BAHLA = WeightSettings(buffer_cost=1, rollout_time=5, vm_moves=1)
HALF_AN_HOUR = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class SparesFigure:
    """Weighted sums, and the three measures of plan and baseline."""

    case: str
    plan: float
    baseline: float
    optimum: float
    plan_buffer_vm_hours: float
    baseline_buffer_vm_hours: float
    plan_rollout_hours: float
    baseline_rollout_hours: float
    plan_vm_moves: int
    baseline_vm_moves: int


def measure_spares() -> list[SparesFigure]:
    """Return the figures of all cases."""
    figures = [
        _measure('dharmavani', _make_fleet(4, 6, 4), 2, DHARMAVANI),
        _measure('bahla', _make_fleet(4, 8, 6), 2, BAHLA),
    ]
    dice = random.Random(1)
    for number in range(20):
        needs = [_make_random(dice, index) for index in range(5)]
        weights = dice.choice((DHARMAVANI, BAHLA))
        figures.append(_measure(f'random-{number}', needs, 6, weights))
    return figures


def choose_greedily(needs: Sequence[PoolNeed], spares: int) -> list[PoolChoice]:
    """Return the fastest choice that is left for pool after pool."""
    chosen: list[PoolChoice] = []
    for need in needs:
        choice = list_choices(need, spares)[-1]
        spares -= choice.spares
        chosen.append(choice)
    return chosen


def solve(
    needs: Sequence[PoolNeed], spares: int, weights: WeightSettings
) -> float:
    """Return the optimum from HiGHS."""
    solver: Any = highspy
    model = solver.Highs()
    model.setOptionValue('output_flag', False)
    used = model.expr(0)
    cost = model.expr(0)
    for need in needs:
        choices = list_choices(need, spares)
        picks = [model.addBinary() for _ in choices]
        model.addConstr(sum(picks) == 1)
        for pick, choice in zip(picks, choices, strict=True):
            used += choice.spares * pick
            cost += choice.compute_cost(weights) * pick
    model.addConstr(used <= spares)
    model.minimize(cost)
    return float(model.getObjectiveValue())


def _measure(
    case: str, needs: Sequence[PoolNeed], spares: int, weights: WeightSettings
) -> SparesFigure:
    plan = choose_plan(needs, spares, weights)
    baseline = choose_greedily(needs, spares)
    return SparesFigure(
        case=case,
        plan=sum(choice.compute_cost(weights) for choice in plan),
        baseline=sum(choice.compute_cost(weights) for choice in baseline),
        optimum=solve(needs, spares, weights),
        plan_buffer_vm_hours=sum(one.buffer_vm_hours for one in plan),
        baseline_buffer_vm_hours=sum(one.buffer_vm_hours for one in baseline),
        plan_rollout_hours=sum(one.rollout_hours for one in plan),
        baseline_rollout_hours=sum(one.rollout_hours for one in baseline),
        plan_vm_moves=sum(one.vm_moves for one in plan),
        baseline_vm_moves=sum(one.vm_moves for one in baseline),
    )


def _make_fleet(pools: int, vms: int, peak: int) -> list[PoolNeed]:
    return [
        PoolNeed(
            pool=f'pool-{index}',
            vms=vms,
            max_unavailable=2,
            peak_vms=peak + index % 2,
            largest_rack=0,
            return_hours=HALF_AN_HOUR,
        )
        for index in range(pools)
    ]


def _make_random(dice: random.Random, index: int) -> PoolNeed:
    vms = dice.randint(4, 12)
    return PoolNeed(
        pool=f'pool-{index}',
        vms=vms,
        max_unavailable=dice.randint(1, 4),
        peak_vms=dice.randint(vms // 2, vms),
        largest_rack=dice.randint(0, 2),
        return_hours=HALF_AN_HOUR,
    )
