"""How many VMs of each pool to maintain at once, and the spares that it takes.

More VMs away at once end a roll-out sooner, but what is away must not be
missed: a pool needs its peak, its largest rack and the VMs away, and borrows
what it lacks from the spare pools.  Each borrowed VM costs buffer for as long
as the wave lasts, and two moves.  The choice has the least weighted sum of the
three measures over all pools that share the spares.

The sum is one of a cost for each pool, joined only by the number of spares.
It is therefore found exactly, pool by pool, for every number of spares.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from tarragonlb.settings.schema import WeightSettings

MOVES_A_SPARE = 2
NOT_PLANNED_COST = 1e9


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolNeed:
    """A pool to maintain.

    ``max_unavailable`` is how many VMs budgets and limits allow to be away,
    ``peak_vms``
    how many the demand needs, ``largest_rack`` how many one rack takes away.
    """

    pool: str
    vms: int
    max_unavailable: int
    peak_vms: int
    largest_rack: int
    return_hours: float


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolChoice:
    """VMs of a pool away at once, and what that costs; 0 is no wave."""

    pool: str
    at_once: int
    spares: int
    rollout_hours: float

    @property
    def buffer_vm_hours(self) -> float:
        """Return the spare capacity that is held, in VM hours."""
        return self.spares * self.rollout_hours

    @property
    def vm_moves(self) -> int:
        """Return how often a VM changes its pool."""
        return self.spares * MOVES_A_SPARE

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
class Chain:
    """The best choices for the pools so far, with their cost."""

    cost: float
    choice: PoolChoice | None = None
    before: 'Chain | None' = None

    def list_choices(self) -> list[PoolChoice]:
        """Return the choices in the order of the pools."""
        choices: list[PoolChoice] = []
        link: Chain | None = self
        while link and link.choice:
            choices.append(link.choice)
            link = link.before
        choices.reverse()
        return choices


def list_choices(need: PoolNeed, spares: int) -> list[PoolChoice]:
    """Return all choices for a pool that so many spares allow."""
    choices = [
        PoolChoice(pool=need.pool, at_once=0, spares=0, rollout_hours=0),
    ]
    for at_once in range(1, min(need.max_unavailable, need.vms) + 1):
        lacking = need.peak_vms + need.largest_rack + at_once - need.vms
        hours = math.ceil(need.vms / at_once) * need.return_hours
        choice = PoolChoice(
            pool=need.pool,
            at_once=at_once,
            spares=max(lacking, 0),
            rollout_hours=hours,
        )
        if choice.spares <= spares:
            choices.append(choice)
    return choices


def choose_plan(
    needs: Sequence[PoolNeed], spares: int, weights: WeightSettings
) -> list[PoolChoice]:
    """Return the best choice for each pool, with so many spares to share."""
    chains = [Chain(0) for _ in range(spares + 1)]
    for need in needs:
        choices = list_choices(need, spares)
        chains = [
            _extend(chains, choices, used, weights)
            for used in range(spares + 1)
        ]
    return chains[spares].list_choices()


def _extend(
    chains: Sequence[Chain],
    choices: Sequence[PoolChoice],
    used: int,
    weights: WeightSettings,
) -> Chain:
    fitting = [
        Chain(
            chains[used - choice.spares].cost + choice.compute_cost(weights),
            choice,
            chains[used - choice.spares],
        )
        for choice in choices
        if choice.spares <= used
    ]
    return min(fitting, key=lambda chain: chain.cost)
