import random

from behave import given, then, when

from tarragonlb.scheduling.fleetrecords import PoolLoad
from tarragonlb.scheduling.poolassignment import assign_pools, weigh_pools
from tarragonlb.scheduling.wave import Vm, VmStatus


def parse_numbers(text):
    pairs = (part.split('=') for part in text.split())
    return {name: int(number) for name, number in pairs}


@given('partitions "{numbers}"')
def set_partitions(context, numbers):
    context.partitions = tuple(int(number) for number in numbers.split())
    context.assigned = {}


@when('the pools "{text}" are assigned')
def assign(context, text):
    context.weights = parse_numbers(text)
    context.assigned |= assign_pools(
        context.weights, context.assigned, context.weights, context.partitions
    )


@when('{count:d} pools of random weights are assigned')
def assign_random(context, count):
    draw = random.Random(1)
    text = ' '.join(f'p{n}={draw.randint(1, 30)}' for n in range(count))
    assign(context, text)


@then('the partitions are "{text}"')
def check_partitions(context, text):
    assert context.assigned == parse_numbers(text), context.assigned


@then('no partition has more than its share and one pool')
def check_balance(context):
    weights = context.weights
    share = sum(weights.values()) / len(context.partitions)
    for partition in context.partitions:
        load = sum(
            weights[pool]
            for pool, number in context.assigned.items()
            if number == partition
        )
        assert load <= share + max(weights.values()), (partition, load)


@given(
    '{count:d} VMs of pool "{pool}", and a load of pool "{other}" that wants '
    '{wanted:d} workers'
)
def weigh(context, count, pool, other, wanted):
    vms = [
        Vm(vm_id=f'm{n}', pool=pool, status=VmStatus.UP, worker_id=f'w{n}')
        for n in range(count)
    ]
    context.weights = weigh_pools(vms, {other: PoolLoad(wanted, 0)})


@then('the weights are "{text}"')
def check_weights(context, text):
    assert context.weights == parse_numbers(text), context.weights
