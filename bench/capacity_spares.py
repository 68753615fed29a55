"""Compares the plan for spares with a greedy baseline and the optimum.

The cases are the current fleets of both users with their own weights, and small
random fleets.  The baseline gives each pool in turn the fastest choice that the
remaining spares allow.  HiGHS computes the optimum.  Plans are compared by
their weighted sums.
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
RETURN_HOURS = 0.5


@dataclass(frozen=True, slots=True, kw_only=True)
class SparesFigure:
    """Weighted sums, and the unweighted costs of plan and baseline."""

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
    """Measure all cases."""
    figures = [
        _measure('dharmavani', _make_fleet(4, 6, 4), 2, DHARMAVANI),
        _measure('bahla', _make_fleet(4, 8, 6), 2, BAHLA),
    ]
    rng = random.Random(1)
    for number in range(20):
        needs = [_make_random_need(rng, index) for index in range(5)]
        weights = rng.choice((DHARMAVANI, BAHLA))
        figures.append(_measure(f'random-{number}', needs, 6, weights))
    return figures


def choose_greedily(needs: Sequence[PoolNeed], spares: int) -> list[PoolChoice]:
    """Return the fastest choice that is left for each pool in turn."""
    chosen: list[PoolChoice] = []
    for need in needs:
        choice = list_choices(need, spares)[-1]
        spares -= choice.spares
        chosen.append(choice)
    return chosen


def compute_optimum(
    needs: Sequence[PoolNeed], spares: int, weights: WeightSettings
) -> float:
    """Return the minimum weighted sum, computed by HiGHS."""
    solver: Any = highspy
    model = solver.Highs()
    model.setOptionValue('output_flag', False)
    used = model.expr(0)
    cost = model.expr(0)
    for need in needs:
        choices = list_choices(need, spares)
        selected = [model.addBinary() for _ in choices]
        model.addConstr(sum(selected) == 1)
        for is_selected, choice in zip(selected, choices, strict=True):
            used += choice.spares * is_selected
            cost += choice.compute_cost(weights) * is_selected
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
        optimum=compute_optimum(needs, spares, weights),
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
            return_hours=RETURN_HOURS,
        )
        for index in range(pools)
    ]


def _make_random_need(rng: random.Random, index: int) -> PoolNeed:
    vms = rng.randint(4, 12)
    return PoolNeed(
        pool=f'pool-{index}',
        vms=vms,
        max_unavailable=rng.randint(1, 4),
        peak_vms=rng.randint(vms // 2, vms),
        largest_rack=rng.randint(0, 2),
        return_hours=RETURN_HOURS,
    )
