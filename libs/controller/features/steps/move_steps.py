import random
from dataclasses import replace
from unittest import mock

import trio
import trio.testing
from behave import given, step, then, when
from fakeplatform import QUEUE, FakeClock, FakeStore
from movesimulation import MoveSimulation
from simulation import SETTINGS

from tarragonlb.controller.jobservice import JobService
from tarragonlb.controller.partition import PartitionFeed
from tarragonlb.controller.platformview import PlatformView
from tarragonlb.controller.ports import Configuration, Topic
from tarragonlb.scheduling.queue import QueueTable
from tarragonlb.scheduling.records import build_submission_record

# The bound of the platform for jobs at the end of a day.  An owner that takes
# over waits 5 s for a queue that it does not know.
SETTLE_SECONDS = 14.0
RANDOM_SEEDS = range(12)
RANDOM_STEPS = 40
KINDS = (
    *['submit'] * 5,
    *['repeat'] * 8,
    *['describe'] * 3,
    *['move'] * 4,
    *['lag', 'cancel', 'restart', 'mode'],
)


def add(context, action):
    context.simulation.actions.append(action)


@given(
    '{count:d} daemons and the pools "{pools}", of which the queue has "pool"'
)
def create(context, count, pools):
    context.simulation = MoveSimulation(count, pools.split())


@step('daemon {number:d} reads no configuration for {seconds:g} seconds')
def lag(context, number, seconds):
    async def action(sim):
        sim.accesses[f'd{number}'].lags_until = trio.current_time() + seconds

    add(context, action)


@given('no worker has room')
def fill_workers(context):
    context.simulation.decoder.millicores = 0


@step('a job is submitted at daemon {number:d}')
def submit(context, number):
    async def action(sim):
        sim.last = await sim.submit(f'd{number}')

    add(context, action)


@step('the queue moves to "{pools}" at once')
def move(context, pools):
    async def action(sim):
        for pool in pools.split():
            sim.move(pool)
            await trio.sleep(0.02)

    add(context, action)


@step('the job is submitted again at all daemons')
def repeat_at_all(context):
    async def action(sim):
        if sim.store.mode != 'up':
            # Not accepted before the store is up.
            for name in sim.controllers:
                sim.nursery.start_soon(sim.submit, name, sim.last)
            return
        async with trio.open_nursery() as nursery:
            for name in sim.controllers:
                nursery.start_soon(sim.submit, name, sim.last)

    add(context, action)


@step('the job is submitted again at daemon {number:d}')
def repeat(context, number):
    async def action(sim):
        await sim.submit(f'd{number}', sim.last)

    add(context, action)


@then('the job is accepted again at daemon {number:d} within {seconds:g} s')
def check_accepted(context, number, seconds):
    async def action(sim):
        with trio.fail_after(seconds):
            await sim.submit(f'd{number}', sim.last)

    run(context, action)


@given(
    'a daemon that has read no partition, and a queue that moves to "{pool}"'
)
def create_unread(context, pool):
    context.store = FakeStore()
    context.view = PlatformView()
    context.view.fleet_state.partitions = {QUEUE.pool: 1, pool: 2}
    for version, queue in enumerate((QUEUE, replace(QUEUE, pool=pool))):
        context.view.apply_configuration(
            Configuration(version, QueueTable([queue]), 1000)
        )
    context.moved = queue


@when('a job that lies in the former partition is submitted again')
def repeat_unread(context):
    job = MoveSimulation(1, ['pool']).build_job('a' * 16, QUEUE)
    log = context.store.logs[Topic.JOBS, 1]
    log.append(build_submission_record(job))
    feeds = {
        number: PartitionFeed(number, context.store, SETTINGS, FakeClock())
        for number in (1, 2)
    }

    async def submit():
        service = JobService(
            context.store, feeds, SETTINGS, FakeClock(), context.view
        )
        context.outcome = await service.submit(
            replace(job, pool=context.moved.pool)
        )

    trio.run(submit, clock=trio.testing.MockClock(autojump_threshold=0))


@then('it is accepted, and nothing is stored in the new partition')
def check_unread(context):
    assert context.outcome.verdict.value == 'ran', context.outcome
    kinds = [record.key[-1] for record in context.store.logs[Topic.JOBS, 2]]
    assert 'j' not in kinds, kinds


@step('daemon {number:d} is killed and starts again')
def restart(context, number):
    async def action(sim):
        sim.restart(f'd{number}')
        await trio.sleep(0.02)

    add(context, action)


@step('daemons 0, 1 and 2 are killed and start again')
def restart_three(context):
    async def action(sim):
        for number in range(3):
            sim.restart(f'd{number}')

    add(context, action)


@then('each job has run once')
def check_once(context):
    async def action(sim):
        await trio.sleep(SETTLE_SECONDS)
        sim.check_starts()

    run(context, action)


def run(context, action):
    simulation = context.simulation
    actions = list(simulation.actions)
    simulation.actions.append(action)
    simulation.run()
    # Later steps go on from the actions so far, from the start.
    simulation.actions = actions
    simulation.version = 0
    simulation.cancelled = set()


@then('each daemon shows each job as completed')
def check_states(context):
    async def action(sim):
        await trio.sleep(SETTLE_SECONDS)
        for name in sim.controllers:
            for job_id in sim.jobs:
                state = await sim.describe(name, job_id)
                assert state == 'completed', (name, job_id, state)

    run(context, action)


@then('no daemon says that there is no such job')
def check_found(context):
    async def action(sim):
        for name in sim.controllers:
            for job_id in sim.jobs:
                await sim.describe(name, job_id)

    run(context, action)


@then(
    'a cancellation at daemon {number:d} is accepted, and its job never '
    'completes'
)
def check_cancelled(context, number):
    async def action(sim):
        for job_id in sim.jobs:
            await sim.cancel(f'd{number}', job_id)
        await trio.sleep(SETTLE_SECONDS)
        for name in sim.controllers:
            for job_id in sim.jobs:
                state = await sim.describe(name, job_id)
                assert state == 'cancelled', (name, job_id, state)

    run(context, action)


@then('each daemon counts {count:d} pending jobs of the queue')
def check_pending(context, count):
    async def action(sim):
        for name, controller in sim.controllers.items():
            queue = sim.find_queue(name)
            pending = controller.job_service.count_pending(queue)
            assert pending == count, (name, pending)

    run(context, action)


@then(
    '{jobs:d} jobs at daemon {number:d} take {appends:d} appends and '
    '{reads:d} reads of the store'
)
def check_calls(context, jobs, number, appends, reads):
    async def action(sim):
        await trio.sleep(1)
        done = {'append': 0, 'refresh': 0}
        store_append, refresh = FakeStore.append, PartitionFeed.refresh

        async def append(self, partition, records, key, *rest):
            done['append'] += key is None and partition != 0
            return await store_append(self, partition, records, key, *rest)

        async def read(self):
            done['refresh'] += 1
            return await refresh(self)

        with (
            mock.patch.object(FakeStore, 'append', append),
            mock.patch.object(PartitionFeed, 'refresh', read),
        ):
            for _ in range(jobs):
                await sim.submit(f'd{number}')
        assert done == {'append': appends, 'refresh': reads}, done

    add(context, action)
    context.simulation.version = 0
    context.simulation.run()
    context.simulation.version = 0


@then('jobs run once and are found while queues move at random')
def check_random(context):
    for seed in RANDOM_SEEDS:
        play_random(seed)


def play_random(seed):
    simulation = MoveSimulation(4, ['pool', 'b', 'c'])
    draw = random.Random(f'moves {seed}')

    async def action(sim):
        names = sorted(sim.controllers)
        async with trio.open_nursery() as nursery:
            for _ in range(RANDOM_STEPS):
                await take_step(sim, draw, names, nursery)
                await trio.sleep(draw.choice([0, 0.01, 0.03, 0.1, 0.6]))
            sim.store.mode = 'up'
        await trio.sleep(SETTLE_SECONDS)
        sim.check_starts()
        for name in names:
            for job_id in sim.jobs:
                state = await sim.describe(name, job_id)
                expected = {'cancelled', 'completed'}
                if job_id not in sim.cancelled:
                    expected = {'completed'}
                assert state in expected, (seed, name, job_id, state)

    simulation.actions.append(action)
    try:
        simulation.run()
    except BaseException as error:
        raise AssertionError(f'seed {seed}') from error


async def take_step(sim, draw, names, nursery):
    name = draw.choice(names)
    kind = draw.choice(KINDS)
    known = draw.choice(sim.jobs) if sim.jobs else None
    if kind == 'submit':
        nursery.start_soon(sim.submit, name)
    elif kind == 'move':
        sim.move(draw.choice(sim.pools))
    elif kind == 'lag':
        sim.accesses[name].lags_until = trio.current_time() + 2.5
    elif kind == 'restart':
        sim.restart(name)
    elif kind == 'mode':
        sim.store.mode = draw.choice(['up', 'slow', 'lose', 'up'])
    elif known is None or known not in sim.accepted:
        return
    elif kind == 'repeat':
        nursery.start_soon(sim.submit, name, known)
    elif kind == 'cancel':
        nursery.start_soon(sim.cancel, name, known)
    else:
        nursery.start_soon(sim.describe, name, known)
