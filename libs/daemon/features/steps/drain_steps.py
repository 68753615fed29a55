"""Steps for the pool task and leaving endpoints, on a mock clock."""

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

REQUEST_INTERVAL_SECONDS = 0.1
TIMEOUT_SECONDS = 30
PORTS = {'vm-1': 1001, 'vm-2': 1002}


class DrainHarness:
    """A pool task with a shared state and a VM list of two VMs."""

    def __init__(self):
        state = State()
        self.vms = state.vms
        for vm_id in PORTS:
            self.vms[vm_id] = VmEntry(vm_id=vm_id, pool='p', zone='a', rack='r')
        self.journal = types.SimpleNamespace(state=state)
        self.fleet_watcher = types.SimpleNamespace(
            vms=ChangeTable(), number=1, last_read=0.0
        )
        self.callers = []
        for vm_id in PORTS:
            self.set_reading(vm_id, VmPhase.LIVE)

    def set_reading(self, vm_id, phase):
        self.fleet_watcher.vms[vm_id] = VmReading(
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

    def run(self, scenario):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(self.main, scenario, clock=clock)

    async def main(self, scenario):
        async with trio.open_nursery() as nursery:
            self.network = FakeNetwork(nursery)
            self.network.behaviors = {
                port: ['answer'] for port in PORTS.values()
            }
            connections = EndpointConnections(self.network)
            self.dispatcher = Dispatcher('a', random.Random(1), connections)
            task = PoolTask(self.journal, self.fleet_watcher, self.dispatcher)
            self.fleet_watcher.last_read = trio.current_time()
            nursery.start_soon(task.run)
            await trio.testing.wait_all_tasks_blocked()
            await scenario(nursery)
            nursery.cancel_scope.cancel()

    async def send_request(self, name):
        caller = FakeCaller(name, idempotent=False, timeout=TIMEOUT_SECONDS)
        self.callers.append(caller)
        await caller.exchange.open_body()
        await self.dispatcher.serve(caller.exchange)

    async def send_requests_for(self, seconds):
        until = trio.current_time() + seconds
        while trio.current_time() < until:
            await self.send_request(f'r{len(self.callers)}')
            await trio.sleep(REQUEST_INTERVAL_SECONDS)

    def count_requests(self, vm_id):
        return self.network.request_counts.get(PORTS[vm_id], 0)


@given('two endpoints with behavior "answer", with requests every 0.1 seconds')
def start(context):
    context.harness = DrainHarness()


@when('one of them leaves according to {source} during a long request')
def leave(context, source):
    harness = context.harness

    async def scenario(nursery):
        await harness.send_requests_for(2)
        assert (
            min(harness.count_requests('vm-1'), harness.count_requests('vm-2'))
            > 0
        )
        harness.network.behaviors[PORTS['vm-1']] = ['slow', 'answer']
        harness.network.behaviors[PORTS['vm-2']] = ['slow', 'answer']
        nursery.start_soon(harness.send_request, 'long')
        await trio.testing.wait_all_tasks_blocked()
        context.leaving = harness.network.find_slow_vm(PORTS)
        start_departure(harness, context.leaving, source)
        await harness.send_requests_for(3)
        context.before = harness.count_requests(context.leaving)
        await harness.send_requests_for(10)
        context.after = harness.count_requests(context.leaving)
        await trio.sleep(TIMEOUT_SECONDS)

    harness.run(scenario)


def start_departure(harness, vm_id, source):
    if 'list' in source:
        harness.set_reading(vm_id, VmPhase.LEAVING)
    elif 'charge' in source:
        charge = Charge(reason=ChargeReason.WAVE, boot=1, wave_id='w', offset=1)
        harness.vms[vm_id] = replace(harness.vms[vm_id], charge=charge)
    else:
        harness.vms[vm_id] = replace(harness.vms[vm_id], pool='other')


@then('it gets no new request later than 3 seconds after that')
def check_nothing_new(context):
    assert context.after == context.before, (context.before, context.after)


@then('its long request gets a complete response')
def check_long(context):
    long_callers = [
        caller
        for caller in context.harness.callers
        if caller.exchange.info.request_id == 'long'
    ]
    assert long_callers[0].is_complete and long_callers[0].body == b'hello', (
        long_callers[0].sent
    )


@when("the list can't be read for 60 seconds")
def stop_list_updates(context):
    async def scenario(nursery):
        await context.harness.send_requests_for(60)

    context.harness.run(scenario)


@then('all requests are answered')
def check_answered(context):
    assert len(context.harness.callers) > 500
    assert all(caller.is_complete for caller in context.harness.callers)


@then('responses after 5 seconds carry the age of the list')
def check_age(context):
    heads = [caller.sent[0] for caller in context.harness.callers]
    ages = [dict(head['headers']).get(b'tarragon-list-age') for head in heads]
    assert ages[0] is None and ages[-1] == b'60', (ages[0], ages[-1])
    assert sum(age is None for age in ages) <= 56
