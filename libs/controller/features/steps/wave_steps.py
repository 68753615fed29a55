"""Steps for a wave whose VMs are not all legible in the platform's list."""

from dataclasses import replace

import trio
from behave import given, then, when
from fakeplatform import CALL_SECONDS, FakeClock, FakeVmApi
from simulation import Simulation

from tarragonlb.scheduling.orders import OrderResult
from tarragonlb.scheduling.wave import UNKNOWN_WORKER, Vm, VmStatus, Wave

MAINTENANCE_SECONDS = 2.0
NAMELESS = Vm(vm_id='', pool='', status=VmStatus.DOWN, worker_id=UNKNOWN_WORKER)


class WaveVms(FakeVmApi):
    """VMs that go through maintenance, and rows that can't be read."""

    def __init__(self, workers=0):
        super().__init__(workers)
        self.illegible = set()
        self.orders = []
        self.down_until = {}
        self.most_down = 0

    async def list_vms(self):
        return tuple(map(self._show, await super().list_vms()))

    async def maintain(self, vm, wave, holder, term):
        await trio.sleep(CALL_SECONDS)
        self.orders.append(vm.vm_id)
        self.down_until[vm.vm_id] = trio.current_time() + MAINTENANCE_SECONDS
        self.most_down = max(self.most_down, len(self._list_down()))
        return OrderResult.DONE

    def _list_down(self):
        now = trio.current_time()
        return {
            vm_id for vm_id, until in self.down_until.items() if until > now
        }

    def _show(self, vm):
        if vm.vm_id in self.illegible:
            return NAMELESS
        if vm.vm_id in self._list_down():
            return replace(vm, status=VmStatus.IN_MAINTENANCE)
        return vm


class WaveSimulation(Simulation):
    create_vms = WaveVms


@given('a fleet of {vms:d} VMs, and a wave of "{vm_ids}", {cap:d} at once')
def begin_wave(context, vms, vm_ids, cap):
    wave = Wave(
        number=1, vm_ids=tuple(vm_ids.split()), within_seconds=20, cap=cap
    )
    context.simulation = WaveSimulation(1, vms)

    async def action(sim):
        view = sim.controllers['d0'].view
        view.add_wave(wave, FakeClock().read_monotonic())

    context.read_wave = action


@when('the row of "{vm_id}" can not be read for {seconds:d} s')
def hide_row(context, vm_id, seconds):
    async def action(sim):
        sim.vms.illegible = {vm_id}
        await context.read_wave(sim)
        await trio.sleep(seconds)
        sim.orders = sorted(sim.vms.orders)
        sim.most_down = sim.vms.most_down
        sim.completed = sim.store.waves.get(1)
        sim.vms.illegible = set()

    context.simulation.actions.append(action)


@when('the rows can be read for {seconds:d} s')
def show_rows(context, seconds):
    async def action(sim):
        await trio.sleep(seconds)
        sim.later_orders = sorted(sim.vms.orders)
        sim.later_completed = sim.store.waves.get(1)

    context.simulation.actions.append(action)


@then('by then "{vm_ids}" were maintained, up to {cap:d} at once')
def check_first_orders(context, vm_ids, cap):
    context.simulation.run()
    sim = context.simulation
    assert sim.orders == vm_ids.split(), sim.orders
    assert sim.most_down == cap, sim.most_down


@then('the wave was {state} then')
def check_first_state(context, state):
    completed = context.simulation.completed
    assert completed == (state == 'complete'), completed


@then('in the end "{vm_ids}" were maintained once, and the wave was complete')
def check_last_orders(context, vm_ids):
    sim = context.simulation
    assert sim.later_orders == vm_ids.split(), sim.later_orders
    assert sim.later_completed, sim.later_completed
