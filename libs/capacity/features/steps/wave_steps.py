import sys
from pathlib import Path

from behave import given, then, when

from tarragonlb.capacity.forecast import estimate_wave_cost, forecast_wave
from tarragonlb.model.fleet import TaskPhase, VmPhase
from tarragonlb.model.record import SettingPublished
from tarragonlb.model.wave import WaveStatus

sys.path.insert(0, str(Path(__file__).parent.parent))

from world import World  # noqa: E402

BACK_ROUNDS = 10


@given('a pool of 4 VMs on 2 racks with a budget of {budget:d}')
def start(context, budget):
    context.world = World(budget)
    context.daemon = context.world.daemons[0]
    context.world.take_term(context.daemon)
    context.most = 0
    run(context, 2)


@given('the pool is set to "{text}"')
def publish(context, text):
    record = SettingPublished(
        head=context.world.sign(),
        path='/pools/a',
        text=text.replace('\\n', '\n'),
        source='test',
        expected_version=0,
    )
    outcome = context.world.append(record)
    assert outcome.accepted, outcome


@given('1 VM has failed')
def fail(context):
    context.world.platform.set_phase('vm-1', VmPhase.LEAVING)
    run(context, 2)


@given('a job runs on 1 VM')
def fill(context):
    context.world.submit('a', 4, idempotent=False, urgent=False)
    run(context, 3)
    assert len(context.world.platform.list_running()) == 1


@when('a wave with {at_once:d} at once runs to its end')
def run_wave(context, at_once):
    go_on(context, at_once, 40)
    assert wave(context).status is WaveStatus.FINISHED, wave(context)


@when('a wave with {at_once:d} at once goes on for {rounds:d} rounds')
def go_on(context, at_once, rounds):
    context.world.plan_wave('a', at_once)
    run(context, rounds)


@when('a wave with 1 at once is {status} after {rounds:d} rounds')
def steer(context, status, rounds):
    context.world.plan_wave('a', 1)
    run(context, rounds)
    context.world.steer_waves(WaveStatus(status))
    run(context, BACK_ROUNDS)


@when('the wave is priced with {at_once:d} at once')
def price(context, at_once):
    run(context, 1)
    context.cost = estimate_wave_cost(context.daemon.view(), 'a', at_once)


@then('at most {most:d} VMs were away at once')
def check_most(context, most):
    assert context.most == most, context.most


@then('every VM was rebooted once')
def check_boots(context):
    boots = [vm.boot for vm in context.world.platform.vms.values()]
    assert boots == [2, 2, 2, 2, 1, 1, 1, 1], boots


@then('no VM was taken by the wave')
def check_none(context):
    assert not wave(context).done
    assert context.most == 1, context.most


@then('the wave has ended')
def check_ended(context):
    assert wave(context).status is WaveStatus.FINISHED, wave(context)


@then('{count:d} VM was passed over for "{reason}"')
def check_passed(context, count, reason):
    reasons = [passed.reason for passed in wave(context).passed]
    assert reasons == [reason] * count, reasons


@then('no job was cut')
def check_cut(context):
    phases = [task.phase for task in context.world.platform.tasks.values()]
    assert TaskPhase.STOPPED not in phases, phases


@then('1 VM was taken by the wave and is back')
def check_back(context):
    assert len(wave(context).done) <= 1
    boots = sorted(vm.boot for vm in context.world.platform.vms.values())
    assert boots == [1] * 7 + [2], boots
    assert not context.world.truth.vms.list_charged('a')


@then('it takes {hours:f} hours and rests on "{path}"')
def check_cost(context, hours, path):
    assert context.cost.rollout_hours == hours, context.cost
    assert path in context.cost.rests_on, context.cost


@then('it is late because "{reason}"')
def check_late(context, reason):
    view = context.daemon.view()
    forecast = forecast_wave(view, wave(context), 5)
    assert forecast.late_reason.startswith(reason), forecast


def run(context, rounds):
    for _ in range(rounds):
        context.world.run_rounds(context.daemon, 1)
        away = context.world.truth.vms.count_charged('a')
        context.most = max(context.most, away)
        context.world.check()


def wave(context):
    return list(context.world.truth.waves.values())[-1]
