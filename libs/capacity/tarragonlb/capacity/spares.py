"""How many VMs of each pool to maintain at once, and the spares required.

Maintaining more VMs at once ends a roll-out sooner, but a pool must still cover
its peak, the loss of its largest rack and the unavailable VMs, and borrows the
missing VMs from the spare pools.  Each borrowed VM costs buffer capacity for
the duration of the wave, and two moves.  The choice minimizes the weighted sum
of the three measures over all pools that share the spares.

The sum consists of one cost for each pool, coupled only by the number of
spares.  It is therefore minimized exactly, pool by pool, for every number of
spares (dynamic programming).
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from tarragonlb.settings.schema import WeightSettings

MOVES_PER_SPARE = 2
NOT_PLANNED_COST = 1e9


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolNeed:
    """A pool to maintain.

    ``max_unavailable`` is the number of VMs that budgets and limits allow to be
    unavailable, ``peak_vms`` the number that the demand needs, and
    ``largest_rack`` the number that are lost with one rack.
    """

    pool: str
    vms: int
    max_unavailable: int
    peak_vms: int
    largest_rack: int
    return_hours: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolChoice:
    """VMs of a pool to maintain at once, and the cost; 0 means no wave."""

    pool: str
    at_once: int
    spares: int
    rollout_hours: float

    @property
    def buffer_vm_hours(self) -> float:
        """Return the spare capacity in use, in VM hours."""
        return self.spares * self.rollout_hours

    @property
    def vm_moves(self) -> int:
        """Return the number of moves between pools."""
        return self.spares * MOVES_PER_SPARE

    def compute_cost(self, weights: WeightSettings) -> float:
        """Return the weighted sum of the three measures."""
        if not self.at_once:
            return NOT_PLANNED_COST
        return (
            weights.buffer_cost * self.buffer_vm_hours
            + weights.rollout_time * self.rollout_hours
            + weights.vm_moves * self.vm_moves
        )


@dataclass(frozen=True, slots=True)
class PartialPlan:
    """The best choices for the pools so far, with their cost."""

    cost: float
    choice: PoolChoice | None = None
    previous: 'PartialPlan | None' = None

    def list_choices(self) -> list[PoolChoice]:
        """Return the choices in the order of the pools."""
        choices: list[PoolChoice] = []
        partial: PartialPlan | None = self
        while partial and partial.choice:
            choices.append(partial.choice)
            partial = partial.previous
        choices.reverse()
        return choices


def list_choices(need: PoolNeed, spares: int) -> list[PoolChoice]:
    """Return all choices for a pool that need at most ``spares`` spares."""
    choices = [
        PoolChoice(pool=need.pool, at_once=0, spares=0, rollout_hours=0),
    ]
    for at_once in range(1, min(need.max_unavailable, need.vms) + 1):
        shortage = need.peak_vms + need.largest_rack + at_once - need.vms
        hours = math.ceil(need.vms / at_once) * need.return_hours
        choice = PoolChoice(
            pool=need.pool,
            at_once=at_once,
            spares=max(shortage, 0),
            rollout_hours=hours,
        )
        if choice.spares <= spares:
            choices.append(choice)
    return choices


def choose_plan(
    needs: Sequence[PoolNeed], spares: int, weights: WeightSettings
) -> list[PoolChoice]:
    """Return the best choice for each pool, with ``spares`` to share."""
    plans = [PartialPlan(0) for _ in range(spares + 1)]
    for need in needs:
        choices = list_choices(need, spares)
        plans = [
            _extend_plan(plans, choices, used, weights)
            for used in range(spares + 1)
        ]
    return plans[spares].list_choices()


def _extend_plan(
    plans: Sequence[PartialPlan],
    choices: Sequence[PoolChoice],
    used: int,
    weights: WeightSettings,
) -> PartialPlan:
    candidates = [
        PartialPlan(
            plans[used - choice.spares].cost + choice.compute_cost(weights),
            choice,
            plans[used - choice.spares],
        )
        for choice in choices
        if choice.spares <= used
    ]
    return min(candidates, key=lambda plan: plan.cost)
