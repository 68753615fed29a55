import itertools

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from tarragonlb.capacity.spares import PoolNeed, choose_plan, list_choices
from tarragonlb.settings.schema import WeightSettings


@when('plans are made for any pools, spares and weights')
def define_inputs(context):
    small = strategies.integers(0, 5)
    need = strategies.builds(
        PoolNeed,
        pool=strategies.just('a'),
        vms=strategies.integers(1, 8),
        max_unavailable=strategies.integers(0, 3),
        peak_vms=strategies.integers(0, 8),
        largest_rack=strategies.integers(0, 2),
        return_hours=strategies.just(0.5),
    )
    weight = strategies.sampled_from((0.5, 1, 5))
    weights = strategies.builds(
        WeightSettings,
        buffer_cost=weight,
        rollout_time=weight,
        vm_moves=weight,
    )
    context.inputs = (strategies.lists(need, max_size=3), small, weights)


@then('no possible choice has a lower weighted sum')
def check_optimum(context):
    @hypothesis.settings(
        max_examples=200, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(*context.inputs)
    def check(needs, spares, weights):
        plan = choose_plan(needs, spares, weights)
        assert sum(choice.spares for choice in plan) <= spares
        options = [list_choices(need, spares) for need in needs]
        optimum = min(
            sum_costs(combination, weights)
            for combination in itertools.product(*options)
            if sum(choice.spares for choice in combination) <= spares
        )
        assert abs(sum_costs(plan, weights) - optimum) <= 1e-6 * max(optimum, 1)

    check()


@given('a pool of {vms:d} VMs with a peak of {peak:d} and a spare')
def start_pool(context, vms, peak):
    context.need = PoolNeed(
        pool='a',
        vms=vms,
        max_unavailable=2,
        peak_vms=peak,
        largest_rack=0,
        return_hours=0.5,
    )


@then('1 VM at once and 0 spares are planned if buffer cost weighs {weight:d}')
def check_without_spare(context, weight):
    plan = choose_plan([context.need], 1, WeightSettings(buffer_cost=weight))
    assert (plan[0].at_once, plan[0].spares) == (1, 0), plan


@then(
    '2 VMs at once and 1 spare are planned if roll-out time weighs {weight:d}'
)
def check_with_spare(context, weight):
    plan = choose_plan([context.need], 1, WeightSettings(rollout_time=weight))
    assert (plan[0].at_once, plan[0].spares) == (2, 1), plan


def sum_costs(choices, weights):
    return sum(choice.compute_cost(weights) for choice in choices)
