import trio
from behave import given, then, when
from busyworkers import BusyWorkerApi
from simulation import Simulation

from tarragonlb.controller.ordergate import OrderGate


@given(
    'a daemon that spends {ms:g} ms of processor time on each call to its '
    '{workers:d} workers'
)
def create_busy(context, ms, workers):
    context.simulation = Simulation(
        1, workers, lambda: BusyWorkerApi(ms / 1000)
    )


@then('no worker counted as silent and no lease lapsed')
def check_leases(context):
    context.simulation.run()
    worker_api = context.simulation.worker_api
    assert len(worker_api.starts) > 500, len(worker_api.starts)
    assert not worker_api.silent, worker_api.silent
    assert not worker_api.lapsed, worker_api.lapsed


@given('a gate for {limit:d} orders that hold it for {seconds:g} s at most')
def create_gate(context, limit, seconds):
    context.gate = OrderGate(limit, seconds)


@when('orders that take {times} s arrive together')
def send_orders(context, times):
    entered = []

    async def send(number, seconds):
        async with context.gate.enter():
            entered.append((number, round(trio.current_time(), 3)))
            await trio.sleep(seconds)

    async def send_all():
        async with trio.open_nursery() as nursery:
            for number, seconds in enumerate(times.split()):
                nursery.start_soon(send, number, float(seconds))
                await trio.testing.wait_all_tasks_blocked()

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(send_all, clock=clock)
    context.entered = [at for _, at in sorted(entered)]


@then('they are sent after {times} s')
def check_entered(context, times):
    expected = [float(at) for at in times.split()]
    assert context.entered == expected, context.entered
