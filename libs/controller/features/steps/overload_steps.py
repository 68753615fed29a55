from dataclasses import replace

import trio
import trio.lowlevel
import trio.testing
from behave import given, then, when
from busyworkers import BusyWorkerApi, ProgressStore, UrgentDocumentDecoder
from simulation import SETTINGS, Simulation

from tarragonlb.controller.ordergate import OrderGate
from tarragonlb.controller.orderlimit import OrderLimit
from tarragonlb.controller.pollbudget import PollBudget

# Tasks run for this long in each scenario.
BUSY_SECONDS = 6.0


@given(
    'a daemon that spends {ms:g} ms of processor time on each call to its '
    '{workers:d} workers'
)
def create_busy(context, ms, workers):
    context.simulation = Simulation(
        1,
        workers,
        create_worker_api=lambda: BusyWorkerApi(ms / 1000),
        decoder=UrgentDocumentDecoder(),
    )
    context.simulation.create_store = ProgressStore


@then('no worker counted as silent and no lease lapsed')
def check_leases(context):
    context.simulation.run()
    worker_api = context.simulation.worker_api
    assert len(worker_api.starts) > 500, len(worker_api.starts)
    assert not worker_api.silent, worker_api.silent
    assert not worker_api.lapsed, worker_api.lapsed


@given('a gate for {limit:d} orders that hold it for {seconds:g} s at most')
def create_gate(context, limit, seconds):
    context.gate = OrderGate(
        replace(
            SETTINGS,
            min_orders_under_way=limit,
            max_orders_under_way=limit,
            order_hold_seconds=seconds,
        )
    )
    context.gate._limit.orders = limit


@given('a limit of 16 to 256 orders that starts at 32')
def create_limit(context):
    context.now = 10.0
    context.limit = OrderLimit(
        replace(SETTINGS, min_orders_under_way=16, max_orders_under_way=256)
    )


@when(
    '{count:d} orders are answered after {seconds:g} s with {under_way:d} '
    'under way'
)
def answer_orders(context, count, seconds, under_way):
    entered_at = context.now
    context.now += seconds
    for _ in range(count):
        context.limit.record(entered_at, under_way, context.now)


@then('{count:d} orders are allowed')
def check_limit(context, count):
    assert context.limit.orders == count, context.limit.orders


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


@then(
    'at most {count:d} polls a second were sent, and {percent:d}% of the ends '
    'were reported within {seconds:g} s'
)
def check_polls(context, count, percent, seconds):
    simulation = context.simulation
    simulation.run()
    worker_api = simulation.worker_api
    polls_per_second = worker_api.busy_polls / BUSY_SECONDS
    assert polls_per_second <= count, polls_per_second
    delays = sorted(worker_api.report_delays)
    assert len(delays) > 2000, len(delays)
    delay = delays[len(delays) * percent // 100]
    assert delay <= seconds, delay


@given(
    'a budget of {share:g} of {cores:g} cores for polls that cost {ms:g} ms '
    'each'
)
def create_budget(context, share, cores, ms):
    context.now = 100.0
    context.poll_budget = PollBudget(
        replace(
            SETTINGS,
            processor_cores=cores,
            poll_processor_share=share,
            poll_processor_seconds=ms / 1000,
        )
    )


@when('{count:d} workers with {lease:g} s left of their leases reply at once')
def reply_at_once(context, count, lease):
    context.planned = [
        context.poll_budget.plan(context.now, lease) for _ in range(count)
    ]


@when(
    '{delay:g} s later {count:d} workers with {lease:g} s left of their '
    'leases reply at once'
)
def reply_later(context, delay, count, lease):
    context.now += delay
    reply_at_once(context, count, lease)


@then('the next polls are sent after {first:g} to {last:g} s')
def check_planned(context, first, last):
    delays = [at - context.now for at in context.planned]
    assert abs(min(delays) - first) < 1e-6, min(delays)
    assert abs(max(delays) - last) < 1e-6, max(delays)


@when('a reply with its clock at {clock:d} ms is handled at {at:g} s')
def handle_reply(context, clock, at):
    context.lease.record_reply(clock, at)


@then(
    "the lease expires between {first:d} and {last:d} ms on the worker's clock"
)
def check_lease_range(context, first, last):
    assert first <= context.granted <= last, context.granted


@then('it has not expired before {at:g} s')
def check_not_expired(context, at):
    assert context.lease.compute_expiry() >= at


@when(
    '{count:d} orders arrive while each pass of the event loop takes '
    '{seconds:g} s'
)
def arrive_behind(context, count, seconds):
    context.entered = []
    clock = trio.testing.MockClock()

    async def send():
        async with context.gate.enter():
            context.entered.append(trio.current_time())
            await trio.lowlevel.checkpoint()

    async def run():
        async with trio.open_nursery() as nursery:
            started_at = trio.current_time()
            for _ in range(count):
                nursery.start_soon(send)
            while len(context.entered) < count:
                await trio.lowlevel.checkpoint()
                clock.jump(seconds)
        context.entered = [at - started_at for at in context.entered]

    trio.run(run, clock=clock)


@then(
    '{count:d} orders are admitted within {first:g} s and all within {last:g} s'
)
def check_admitted(context, count, first, last):
    entered = sorted(context.entered)
    assert entered[count - 1] <= first + 1e-6, entered
    assert entered[-1] <= last + 1e-6, entered


@then(
    '{count:d} tasks or more have started, and those placed wait no longer '
    'than {seconds:g} s'
)
def check_pending(context, count, seconds):
    simulation = context.simulation
    simulation.run()
    started_at = simulation.worker_api.started_at
    assert len(started_at) >= count, len(started_at)
    pending = simulation.store.placed.difference(started_at)
    since = max(started_at.values()) - seconds
    recent = sum(at > since for at in started_at.values())
    assert len(pending) <= recent, (len(pending), recent)


@when('a job of {tasks:d} tasks is submitted to the urgent queue')
def submit_urgent(context, tasks):
    async def action(sim):
        controller = next(iter(sim.controllers.values()))
        job = sim.add_job(tasks, queue='urgent')
        outcome = await controller.job_service.submit(job)
        assert outcome.verdict.value == 'ran', outcome
        sim.urgent = job.job_id, tasks

    context.simulation.actions.append(action)


@then('the tasks of the urgent job have started')
def check_urgent(context):
    simulation = context.simulation
    simulation.run()
    job_id, tasks = simulation.urgent
    started = [
        key
        for key, _ in simulation.worker_api.started_at
        if key.job_id == job_id
    ]
    assert len(started) == tasks, started


@when('{count:d} workers stop to answer')
def cut_workers(context, count):
    async def action(sim):
        sim.worker_api.unreachable.update(
            f'w{number}' for number in range(count)
        )

    context.simulation.actions.append(action)


@then('{count:d} tasks have started')
def check_started(context, count):
    context.simulation.run()
    started = len(context.simulation.worker_api.started_at)
    assert started == count, started
