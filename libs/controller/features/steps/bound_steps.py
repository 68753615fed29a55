import trio
import trio.testing
from behave import then, when
from fakeplatform import FakeClock, FakeVmApi
from simulation import SETTINGS

from tarragonlb.controller.ports import Topic
from tarragonlb.controller.vmwatch import VmWatch


@when('the worker that runs them becomes unreachable')
def make_unreachable(context):
    async def action(sim):
        runs = sim.worker_api.runs
        sim.worker_api.unreachable.update(w for w in runs if runs[w])
        assert len(sim.worker_api.unreachable) == 1, runs

    context.simulation.actions.append(action)


@when('its VM is listed as down')
def end_vm(context):
    async def action(sim):
        sim.vms.ended.update(sim.worker_api.unreachable)

    context.simulation.actions.append(action)


@when('the worker becomes reachable')
def make_reachable(context):
    async def action(sim):
        sim.worker_api.unreachable.clear()

    context.simulation.actions.append(action)


@then('no lease bound is left in the store')
def check_no_bounds(context):
    simulation = context.simulation
    log = simulation.store.logs[Topic.JOBS, simulation.find_partition('pool')]
    newest = {record.key: record.value for record in log}
    bounds = {key: v for key, v in newest.items() if key.endswith('l')}
    assert bounds, 'no bound was ever stored'
    assert not any(bounds.values()), bounds


@then(
    'an owner that watches {vms:d} VMs lists them at most {most:d} times in '
    '{seconds:d} s'
)
def check_listings(context, vms, most, seconds):
    inbox, listings = trio.open_memory_channel(1000)
    watch = VmWatch(FakeVmApi(vms), SETTINGS, FakeClock())

    async def run():
        with trio.move_on_after(seconds):
            await watch.run(inbox, lambda: True)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
    found = listings.statistics().current_buffer_used
    assert 0 < found <= most, found
