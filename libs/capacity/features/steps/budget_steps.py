import sys
from pathlib import Path

from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from world import World  # noqa: E402

from tarragonlb.capacity.action import DrainVm  # noqa: E402
from tarragonlb.model.fleet import VmPhase  # noqa: E402


@given('a wave that has charged {count:d} VMs under a budget of {budget:d}')
def charge(context, count, budget):
    world = World(budget)
    world.publish_fleet()
    world.take_term(world.daemons[0])
    world.run_rounds(world.daemons[0], 1)
    world.plan_wave('a', count)
    world.run_rounds(world.daemons[0], 1)
    assert world.truth.vms.count_charged('a') == count
    context.world = world


@when('the budget is lowered to {budget:d}')
def lower(context, budget):
    context.world.publish(budget)


@then('everything ends, with at most {count:d} VMs unavailable at each drain')
def check_end(context, count):
    world = context.world
    perform = world.platform.perform
    drained = []

    def count_unavailable(command):
        perform(command)
        if isinstance(command, DrainVm):
            vms = world.platform.vms.values()
            unavailable = [
                vm.vm_id
                for vm in vms
                if vm.pool == 'a' and vm.phase is not VmPhase.LIVE
            ]
            drained.append(command.vm_id)
            assert len(unavailable) <= count, unavailable

    world.platform.perform = count_unavailable
    world.settle()
    assert drained
