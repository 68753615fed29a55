import sys
from pathlib import Path

from behave import given, then, when

from tarragonlb.capacity.forecast import estimate_wave_cost, forecast_wave
from tarragonlb.model.fleet import TaskPhase, VmPhase
from tarragonlb.model.record import SettingPublished
from tarragonlb.model.wave import WaveStatus

sys.path.insert(0, str(Path(__file__).parent.parent))

from world import World  # noqa: E402

RETURN_ROUNDS = 10


@given('a pool of 4 VMs on 2 racks with a budget of {budget:d}')
def start(context, budget):
    context.world = World(budget)
    context.daemon = context.world.daemons[0]
    context.world.take_term(context.daemon)
    context.max_unavailable = 0
    run(context, 2)


@given('the pool is set to "{text}"')
def publish(context, text):
    record = SettingPublished(
        head=context.world.make_head(),
        path='/pools/a',
        text=text.replace('\\n', '\n'),
        source='test',
        expected_version=0,
    )
    outcome = context.world.append(record)
    assert outcome.accepted, outcome


@given('1 VM has failed')
def fail_vm(context):
    context.world.platform.set_phase('vm-1', VmPhase.LEAVING)
    run(context, 2)


@given('a job runs on 1 VM')
def submit_running_job(context):
    context.world.submit('a', 4, idempotent=False, urgent=False)
    run(context, 3)
    assert len(context.world.platform.list_running()) == 1


@when('a wave with {at_once:d} at once runs to its end')
def run_wave(context, at_once):
    run_wave_rounds(context, at_once, 40)
    assert find_wave(context).status is WaveStatus.FINISHED, find_wave(context)


@when('a wave with {at_once:d} at once runs for {rounds:d} rounds')
def run_wave_rounds(context, at_once, rounds):
    context.world.plan_wave('a', at_once)
    run(context, rounds)


@when('a wave with 1 at once is {status} after {rounds:d} rounds')
def change_status(context, status, rounds):
    context.world.plan_wave('a', 1)
    run(context, rounds)
    context.world.steer_waves(WaveStatus(status))
    run(context, RETURN_ROUNDS)


@when('the cost of a wave with {at_once:d} at once is estimated')
def estimate_cost(context, at_once):
    run(context, 1)
    context.cost = estimate_wave_cost(context.daemon.view(), 'a', at_once)


@then('at most {limit:d} VMs were unavailable at once')
def check_unavailable(context, limit):
    assert context.max_unavailable == limit, context.max_unavailable


@then('every VM was rebooted once')
def check_boots(context):
    boots = [vm.boot for vm in context.world.platform.vms.values()]
    assert boots == [2, 2, 2, 2, 1, 1, 1, 1], boots


@then('no VM was charged to the wave')
def check_not_charged(context):
    assert not find_wave(context).done
    assert context.max_unavailable == 1, context.max_unavailable


@then('the wave has ended')
def check_ended(context):
    assert find_wave(context).status is WaveStatus.FINISHED, find_wave(context)


@then('{count:d} VM was passed over for "{reason}"')
def check_passed(context, count, reason):
    reasons = [passed.reason for passed in find_wave(context).passed]
    assert reasons == [reason] * count, reasons


@then('no job was interrupted')
def check_no_job_interrupted(context):
    phases = [task.phase for task in context.world.platform.tasks.values()]
    assert TaskPhase.STOPPED not in phases, phases


@then('1 VM was rebooted by the wave and is available')
def check_available(context):
    assert len(find_wave(context).done) <= 1
    boots = sorted(vm.boot for vm in context.world.platform.vms.values())
    assert boots == [1] * 7 + [2], boots
    assert not context.world.truth.vms.list_charged('a')


@then('it takes {hours:f} hours and depends on "{path}"')
def check_cost(context, hours, path):
    assert context.cost.rollout_hours == hours, context.cost
    assert path in context.cost.rests_on, context.cost


@then('it is late because "{reason}"')
def check_late(context, reason):
    view = context.daemon.view()
    forecast = forecast_wave(view, find_wave(context), 5)
    assert forecast.late_reason.startswith(reason), forecast


def run(context, rounds):
    for _ in range(rounds):
        context.world.run_rounds(context.daemon, 1)
        unavailable = context.world.truth.vms.count_charged('a')
        context.max_unavailable = max(context.max_unavailable, unavailable)
        context.world.check()


def find_wave(context):
    return list(context.world.truth.waves.values())[-1]
