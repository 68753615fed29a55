"""Steps for workers that restart under their ids and are cut off."""

import itertools
import random
from dataclasses import replace
from functools import partial

import trio
from behave import given, then, when
from failure_steps import add_action, collect_lines
from fakeplatform import QUEUE
from restartingworkers import RestartingWorkerApi
from simulation import Simulation

from tarragonlb.controller.ports import Topic
from tarragonlb.scheduling.progress import decode_progress
from tarragonlb.scheduling.records import PROGRESS, KeyedRecord

# With each fault, of a kill of an owner beside it.
KILL_PROBABILITY = 0.04
HALF = 0.5


class RestartSimulation(Simulation):
    """Jobs whose tasks end, or last, as the workers are told."""

    def add_job(self, tasks, queue='q', pool='pool'):
        job = super().add_job(tasks, queue, pool)
        if self.worker_api.seconds is not None:
            return job
        step = replace(job.spec.steps[0], is_permanent=True)
        return replace(job, spec=replace(job.spec, steps=(step,)))


@given(
    '{daemons:d} daemons, and {workers:d} workers that can restart under their '
    'ids, with tasks of {seconds:g} s'
)
def build(context, daemons, workers, seconds):
    context.simulation = RestartSimulation(
        daemons,
        workers,
        create_worker_api=partial(RestartingWorkerApi, seconds),
    )


@given(
    '{daemons:d} daemons, and {workers:d} workers that can restart under their '
    'ids, with tasks that last'
)
def build_lasting(context, daemons, workers):
    build(context, daemons, workers, None)


@when('worker "{name}" crashes')
def crash(context, name):
    async def action(sim):
        collect_lines(context)
        sim.worker_api.crash(name)

    add_action(context, action)


@when('worker "{name}" restarts')
def restart(context, name):
    async def action(sim):
        sim.worker_api.restart(name)

    add_action(context, action)


@when('worker "{name}" restarts and executes those that were held back')
def restart_late(context, name):
    async def action(sim):
        assert sim.worker_api.held, 'no start order was held back'
        sim.worker_api.restart(name, is_late=True)

    add_action(context, action)


@when('worker "{name}" crashes once it has answered a status request')
def crash_after_answer(context, name):
    async def action(sim):
        await sim.worker_api.wait_for_answer(name)
        sim.worker_api.crash(name)

    add_action(context, action)


@when('worker "{name}" is cut off for {seconds:g} seconds')
def cut(context, name, seconds):
    async def action(sim):
        sim.worker_api.cut.add(name)
        await trio.sleep(seconds)
        sim.worker_api.cut.discard(name)

    add_action(context, action)


@when('worker "{name}" drains')
def drain(context, name):
    async def action(sim):
        log = sim.store.logs[Topic.WORKERS, 0]
        log.append(KeyedRecord(name, b'drains'))

    add_action(context, action)


@when('worker "{name}" stays cut off')
def cut_for_good(context, name):
    async def action(sim):
        sim.worker_api.cut.add(name)

    add_action(context, action)


@when('start orders to worker "{name}" are held back')
def hold_back(context, name):
    async def action(sim):
        sim.worker_api.holding.add(name)

    add_action(context, action)


@when('every other start order takes {seconds:g} s to arrive')
def delay(context, seconds):
    async def action(sim):
        sim.worker_api.delays = itertools.cycle((0, seconds))
        sim.terms = sim.list_owners()

    add_action(context, action)


@when('start orders are held back no more')
def end_holding(context):
    async def action(sim):
        sim.worker_api.holding.clear()

    add_action(context, action)


@when('those that were held back are executed')
def let_through(context):
    async def action(sim):
        assert sim.worker_api.held, 'no start order was held back'
        sim.worker_api.let_through()

    add_action(context, action)


@when('the workers {verb} all starts')
def set_refusal(context, verb):
    async def action(sim):
        sim.worker_api.refuses_starts = verb == 'refuse'

    add_action(context, action)


@then('each daemon counts {count:d} jobs as pending')
def check_pending(context, count):
    async def action(sim):
        for name, controller in sim.controllers.items():
            pending = controller.job_service.count_pending(QUEUE)
            assert pending == count, (name, pending)

    add_action(context, action)
    context.simulation.run()


@then(
    'no task has run twice, and {least:d} runs or more were on worker "{name}"'
)
def check_runs(context, least, name):
    async def action(sim):
        runs = [run for run in sim.worker_api.runs if run.place[0] == name]
        assert len(runs) >= least, runs
        overlaps = sim.worker_api.find_overlaps()
        assert not overlaps, overlaps
        repeated = sim.worker_api.find_repeated()
        assert not repeated, repeated

    add_action(context, action)
    context.simulation.run()


@then('each task has had one run')
def check_single_runs(context):
    async def action(sim):
        keys = [run.key for run in sim.worker_api.runs]
        assert len(keys) == len(set(keys)), sim.worker_api.runs

    add_action(context, action)


@then('all jobs are completed, and no task has run twice')
def check_completed(context):
    async def action(sim):
        states = {
            await controller.job_service.describe(QUEUE, job_id)
            for controller in sim.controllers.values()
            for job_id in sim.jobs
        }
        assert states == {'completed'}, states
        assert not sim.worker_api.find_overlaps()
        assert not sim.worker_api.find_repeated()

    add_action(context, action)
    context.simulation.run()


@then('the open starts that are stored have less than {seconds:g} s left')
def check_stored_starts(context, seconds):
    async def action(sim):
        log = sim.store.logs[Topic.JOBS, sim.find_partition('pool')]
        newest = [r.value for r in log if r.key.endswith(PROGRESS)][-1]
        stored = [
            start.remaining_ms
            for row in decode_progress(newest).tasks
            for start in row.open_starts
        ]
        assert stored
        assert max(stored) < 1000 * seconds, stored

    add_action(context, action)
    context.simulation.run()


class RandomFaults:
    """Faults of workers and owners that overlap, drawn from a seed."""

    def __init__(self, sim, seed):
        self.sim = sim
        self.random = random.Random(seed)
        self.faulty = set()
        self.killed = 0

    async def run(self, seconds):
        until = trio.current_time() + seconds
        choices = (self.restart, self.cut, self.delay, self.submit)
        async with trio.open_nursery() as nursery:
            await self.submit()
            while trio.current_time() < until:
                await trio.sleep(self.random.uniform(0.05, 1.2))
                nursery.start_soon(self.random.choice(choices))
                if self.random.random() < KILL_PROBABILITY:
                    nursery.start_soon(self.kill)

    async def restart(self):
        """Crash a worker, at times with starts on their way, and cut it off."""
        name = self.take_worker()
        api = self.sim.worker_api
        if name is None:
            return
        if self.random.random() < HALF:
            api.holding.add(name)
            self.sim.nursery.start_soon(self.submit)
            await trio.sleep(self.random.uniform(0, 0.4))
        api.drop_done(name)
        api.crash(name)
        await trio.sleep(self.random.uniform(0.05, 1.5))
        api.holding.discard(name)
        api.restart(name)
        self.faulty.discard(name)
        if self.random.random() < HALF:
            await trio.sleep(self.random.uniform(0, 1.5))
            await self.cut(name)
        await trio.sleep(self.random.uniform(0.2, 6))
        api.let_through()

    async def cut(self, wanted=None):
        name = self.take_worker(wanted)
        if name is not None:
            self.sim.worker_api.cut.add(name)
            await trio.sleep(self.random.uniform(0.3, 9))
            self.sim.worker_api.cut.discard(name)
            self.faulty.discard(name)

    async def delay(self):
        api = self.sim.worker_api
        name = f'w{self.random.randrange(self.sim.workers)}'
        api.holding.add(name)
        await trio.sleep(self.random.uniform(0.1, 1))
        api.holding.discard(name)
        await trio.sleep(self.random.uniform(0.2, 6))
        api.let_through()

    async def submit(self):
        controller = self.random.choice([*self.sim.controllers.values()])
        job = self.sim.add_job(self.random.randint(2, 10))
        await controller.job_service.submit(job)

    async def kill(self):
        owners = self.sim.list_owners()
        if owners:
            name, _ = self.random.choice(owners)
            self.sim.scopes[name].cancel()
            self.sim.controllers.pop(name)
            self.killed += 1
            self.sim._start(self.sim.nursery, f'new-{self.killed}')

    def take_worker(self, wanted=None):
        names = [f'w{number}' for number in range(self.sim.workers)]
        if wanted is not None:
            names = [wanted]
        sound = [name for name in names if name not in self.faulty]
        if not sound:
            return None
        name = self.random.choice(sound)
        self.faulty.add(name)
        return name


@when('faults of seed {seed:d} overlap for {seconds:g} seconds')
def inject(context, seed, seconds):
    async def action(sim):
        await RandomFaults(sim, seed).run(seconds)

    add_action(context, action)


@then('orders were refused for newer ones, and no term has ended')
def check_terms(context):
    async def action(sim):
        assert sim.worker_api.fenced > 0
        assert sim.list_owners() == sim.terms

    add_action(context, action)
    context.simulation.run()


@then('the log says what the calls without an answer were meant for')
def check_lines(context):
    context.simulation.run()
    by_sentence = {line.get('sentence'): line for line in context.lines}
    unanswered = by_sentence['worker: Calls without an answer.']
    assert unanswered['worker'] == 'w1'
    kind, _, token, incarnation, lease_until_ms = unanswered['calls'][0]
    assert (kind, incarnation) == ('status', 1), unanswered
    assert token > 0
    assert lease_until_ms > 0
    restarted = by_sentence['worker: Worker has restarted under its id.']
    assert (restarted['former'], restarted['incarnation']) == (1, 2)
