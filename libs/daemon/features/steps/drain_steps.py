"""Steps for leaving endpoints: the pool task on a mock clock."""

import random
import types
from dataclasses import replace

import trio
import trio.testing
from behave import given, then, when
from fake_network import FakeCaller, FakeNetwork

from tarragonlb.capacity.table import ChangeTable
from tarragonlb.daemon.connections import EndpointConnections
from tarragonlb.daemon.dispatcher import Dispatcher
from tarragonlb.daemon.pools import PoolTask
from tarragonlb.journal.state import State
from tarragonlb.model.entry import Charge, VmEntry
from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.model.ownership import ChargeReason

STEP_SECONDS = 0.1
TIMEOUT_SECONDS = 30
PORTS = {'vm-1': 1001, 'vm-2': 1002}


class Fleet:
    """What fold and list say of two VMs, and the pool task that reads it."""

    def __init__(self):
        state = State()
        self.vms = state.vms
        for vm_id in PORTS:
            self.vms[vm_id] = VmEntry(vm_id=vm_id, pool='p', zone='a', rack='r')
        self.journal = types.SimpleNamespace(state=state)
        self.watch = types.SimpleNamespace(
            vms=ChangeTable(), number=1, last_read=0.0
        )
        self.callers = []
        for vm_id in PORTS:
            self.list_vm(vm_id, VmPhase.LIVE)

    def list_vm(self, vm_id, phase):
        self.watch.vms[vm_id] = VmReading(
            vm_id=vm_id,
            pool='p',
            zone='a',
            rack='r',
            phase=phase,
            boot=1,
            cores=1,
            memory_gb=1,
            address=f'127.0.0.1:{PORTS[vm_id]}',
        )

    def play(self, act):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self.main, act, clock=clock)

    async def main(self, act):
        async with trio.open_nursery() as nursery:
            self.network = FakeNetwork(nursery)
            self.network.manners = {port: ['answer'] for port in PORTS.values()}
            connections = EndpointConnections(self.network)
            self.dispatcher = Dispatcher('a', random.Random(1), connections)
            task = PoolTask(self.journal, self.watch, self.dispatcher)
            self.watch.last_read = trio.current_time()
            nursery.start_soon(task.run)
            await trio.testing.wait_all_tasks_blocked()
            await act(nursery)
            nursery.cancel_scope.cancel()

    async def ask(self, name):
        caller = FakeCaller(name, idempotent=False, timeout=TIMEOUT_SECONDS)
        self.callers.append(caller)
        await caller.exchange.open_body()
        await self.dispatcher.serve(caller.exchange)

    async def ask_for(self, seconds):
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await self.ask(f'r{len(self.callers)}')
            await trio.sleep(STEP_SECONDS)

    def count(self, vm_id):
        return self.network.by_port.get(PORTS[vm_id], 0)


@given('two endpoints that are "answer", with requests every 0.1 seconds')
def start(context):
    context.fleet = Fleet()


@when('one of them is seen to leave by {sign} while it has a long request')
def leave(context, sign):
    fleet = context.fleet

    async def act(nursery):
        await fleet.ask_for(2)
        assert min(fleet.count('vm-1'), fleet.count('vm-2')) > 0
        fleet.network.manners[PORTS['vm-1']] = ['slow', 'answer']
        fleet.network.manners[PORTS['vm-2']] = ['slow', 'answer']
        nursery.start_soon(fleet.ask, 'long')
        await trio.testing.wait_all_tasks_blocked()
        context.leaving = fleet.network.slow_vm(PORTS)
        show_sign(fleet, context.leaving, sign)
        await fleet.ask_for(3)
        context.before = fleet.count(context.leaving)
        await fleet.ask_for(10)
        context.after = fleet.count(context.leaving)
        await trio.sleep(TIMEOUT_SECONDS)

    fleet.play(act)


def show_sign(fleet, vm_id, sign):
    if 'list' in sign:
        fleet.list_vm(vm_id, VmPhase.LEAVING)
    elif 'charge' in sign:
        charge = Charge(reason=ChargeReason.WAVE, boot=1, wave_id='w', offset=1)
        fleet.vms[vm_id] = replace(fleet.vms[vm_id], charge=charge)
    else:
        fleet.vms[vm_id] = replace(fleet.vms[vm_id], pool='other')


@then('it gets no new request later than 3 seconds after that')
def check_nothing_new(context):
    assert context.after == context.before, (context.before, context.after)


@then('its long request is answered whole')
def check_long(context):
    long = [
        caller
        for caller in context.fleet.callers
        if caller.exchange.info.request_id == 'long'
    ]
    assert long[0].is_whole and long[0].body == b'hello', long[0].sent


@when("the list can't be read for 60 seconds")
def lose_list(context):
    async def act(nursery):
        await context.fleet.ask_for(60)

    context.fleet.play(act)


@then('all requests are answered')
def check_answered(context):
    assert len(context.fleet.callers) > 500
    assert all(caller.is_whole for caller in context.fleet.callers)


@then('those after 5 seconds tell the age of the list')
def check_age(context):
    heads = [caller.sent[0] for caller in context.fleet.callers]
    ages = [dict(head['headers']).get(b'tarragon-list-age') for head in heads]
    assert ages[0] is None and ages[-1] == b'60', (ages[0], ages[-1])
    assert sum(age is None for age in ages) <= 56
