"""Maintenance plan for all pools, explained for operators.

It shows what maintaining every pool would cost in the three measures, and the
settings that determine the choice.
"""

from dataclasses import dataclass

from tarragonlb.capacity.forecast import (
    HOUR_DIGITS,
    SECONDS_PER_HOUR,
    find_limits,
    list_vms_by_rack,
)
from tarragonlb.capacity.spares import PoolChoice, PoolNeed, choose_plan
from tarragonlb.capacity.view import FleetView


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolPlan:
    """The best plan for one pool, and why."""

    pool: str
    vms: int
    at_once: int
    spares: int
    rollout_hours: float
    buffer_vm_hours: float
    vm_moves: int
    words: str
    rests_on: tuple[str, ...]


def plan_pools(view: FleetView) -> list[PoolPlan]:
    """Return the best plan for each pool that is not a spare one."""
    pools = view.vms.list_pools()
    planned = [
        pool for pool in pools if not view.find_pool_settings(pool).spare
    ]
    needs = [make_need(view, pool) for pool in planned]
    choices = choose_plan(needs, count_spare_vms(view), view.fleet.weights)
    return [
        _make_plan(view, need, choice)
        for need, choice in zip(needs, choices, strict=True)
    ]


def count_spare_vms(view: FleetView) -> int:
    """Return how many VMs can be borrowed from the spare pools."""
    return sum(
        max(count_surplus(view, pool), 0)
        for pool in view.vms.list_pools()
        if view.find_pool_settings(pool).spare
    )


def count_surplus(view: FleetView, pool: str) -> int:
    """Return the live VMs of a pool minus its peak; negative for a shortage."""
    live = view.vms.count_pool_vms(pool) - view.vms.count_charged(pool)
    return live - view.find_pool_settings(pool).peak_vms


def count_rack_reserve(view: FleetView, pool: str) -> int:
    """Return how many VMs a pool reserves for the loss of its largest rack."""
    if view.find_pool_settings(pool).survive_rack:
        return view.vms.count_largest_rack(pool)
    return 0


def make_need(view: FleetView, pool: str) -> PoolNeed:
    """Return what a pool requires during its maintenance."""
    settings = view.find_pool_settings(pool)
    vm_ids = list_vms_by_rack(view, pool)
    limits = find_limits(view, pool, vm_ids, settings.at_once)
    return PoolNeed(
        pool=pool,
        vms=len(vm_ids),
        max_unavailable=min(limits.values()),
        peak_vms=settings.peak_vms,
        largest_rack=count_rack_reserve(view, pool),
        return_hours=settings.return_seconds / SECONDS_PER_HOUR,
    )


def _make_plan(view: FleetView, need: PoolNeed, choice: PoolChoice) -> PoolPlan:
    path = f'/pools/{need.pool}'
    return PoolPlan(
        pool=need.pool,
        vms=need.vms,
        at_once=choice.at_once,
        spares=choice.spares,
        rollout_hours=round(choice.rollout_hours, HOUR_DIGITS),
        buffer_vm_hours=round(choice.buffer_vm_hours, HOUR_DIGITS),
        vm_moves=choice.vm_moves,
        words=_summarize(need, choice),
        rests_on=(
            '/fleet weights',
            f'{path} peak_vms',
            f'{path} survive_rack',
            f'{path} at_once',
        ),
    )


def _summarize(need: PoolNeed, choice: PoolChoice) -> str:
    if not choice.at_once:
        return (
            f'Pool {need.pool} can not be maintained without missing its peak '
            f'of {need.peak_vms} VMs: there are too few spares, or a budget '
            'allows no VM to be away.'
        )
    borrowed = 'No VM is borrowed.'
    if choice.spares:
        borrowed = (
            f'VMs borrowed from the spare pools for that time: {choice.spares}.'
        )
    return (
        f'Pool {need.pool} is maintained in about {choice.rollout_hours:.1f} '
        f'hours, at most {choice.at_once} VMs at a time. {borrowed}'
    )
