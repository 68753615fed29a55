"""Errors that are raised in the tasks of simulated daemons."""

from unittest.mock import patch

import eliot
import trio
import trio.testing
from behave import then, when
from fakedocuments import FakeDocumentDecoder
from fakeplatform import QUEUE

from tarragonlb.controller.ownership import Ownership
from tarragonlb.controller.process import Controller
from tarragonlb.controller.results import NotDone
from tarragonlb.scheduling.fleetstate import FleetState
from tarragonlb.scheduling.jobindex import JobIndex
from tarragonlb.scheduling.quotaindex import QuotaIndex
from tarragonlb.scheduling.records import KeyedRecord
from tarragonlb.telemetry.supervision import supervise

CALLS = {
    'decode operators': (FakeDocumentDecoder, 'decode_operator_record'),
    'decode worker': (FakeDocumentDecoder, 'decode_worker_record'),
    'follow partition': (Controller, '_follow_partition'),
    'index fleet state': (FleetState, 'apply'),
    'index jobs': (JobIndex, 'apply'),
    'index caps': (QuotaIndex, 'apply'),
    'find bid': (Ownership, '_find_next_bid'),
    'build statuses': (Ownership, '_build_statuses'),
}


class Failures:
    """Lets a number of calls of a method fail, of one object or of all.

    A call with records first applies half of them.
    """

    def __init__(self, call, number, only=None):
        self.owner, self.name = CALLS[call]
        self.method = getattr(self.owner, self.name)
        self.left = number
        self.only = only
        self.patch = patch.object(self.owner, self.name, self.build())

    def build(self):
        def call(target, *arguments, **options):
            if not self.left or self.only not in {None, target}:
                return self.method(target, *arguments, **options)
            if self.name == 'apply':
                records, *others = arguments
                records = tuple(records)
                arguments = (records, *others)
                if not records:
                    return self.method(target, *arguments)
                half = records[: len(records) // 2]
                self.method(target, half, *others)
            self.left -= 1
            raise AssertionError(f'{self.name} fails')

        return call


def collect_lines(context):
    """Collect what is logged from now on, until the scenario ends."""
    if hasattr(context, 'lines'):
        return
    lines = context.lines = []
    eliot.add_destinations(lines.append)
    # Eliot passes messages logged earlier to the first destination.
    lines.clear()
    context.add_cleanup(eliot.remove_destination, lines.append)


def add_action(context, action):
    context.simulation.actions.append(action)


def start_failures(context, call, number, find_target=None):
    async def action(sim):
        collect_lines(context)
        only = None if find_target is None else find_target(sim)
        context.failures = Failures(call, number, only)
        context.failures.patch.start()
        context.add_cleanup(context.failures.patch.stop)

    add_action(context, action)


@when('the next {number:d} calls of "{call}" fail')
def fail_calls(context, number, call):
    start_failures(context, call, number)


@when('each search for a bid fails at the owner of the pool')
def fail_bids(context):
    def find_target(sim):
        sim.failed = sim.find_owner()
        return sim.controllers[sim.failed]._ownership

    start_failures(context, 'find bid', 1000, find_target)


@when('all calls succeed again')
def stop_failures(context):
    async def action(sim):
        context.failures.left = 0

    add_action(context, action)


@when('no member can leave a group')
def refuse_leaves(context):
    async def action(sim):
        async def leave(partition, member):
            await trio.lowlevel.checkpoint()

        sim.store.leave = leave

    add_action(context, action)


@when('nobody answers a member that leaves a group')
def lose_leaves(context):
    async def action(sim):
        async def leave(partition, member):
            await trio.sleep_forever()

        sim.store.leave = leave

    add_action(context, action)


@when('the owner of the pool stops')
def stop_owner(context):
    async def action(sim):
        name = sim.find_owner()
        stopped_at = trio.current_time()
        sim.stops[name].set()
        await sim.ended[name].wait()
        sim.stop_seconds = trio.current_time() - stopped_at

    add_action(context, action)


@then('the stop took {seconds:g} seconds')
def check_stop(context, seconds):
    context.simulation.run()
    took = context.simulation.stop_seconds
    assert abs(took - seconds) < 0.01, took


@then('all jobs are completed, and every task was started once')
def check_jobs(context):
    async def action(sim):
        states = [
            await controller.job_service.describe(QUEUE, job_id)
            for controller in sim.controllers.values()
            for job_id in sim.jobs
        ]
        assert set(states) == {'completed'}, states
        keys = [key for key, _ in sim.worker_api.starts]
        assert len(keys) == len(set(keys)), keys

    add_action(context, action)


@then('all daemons know version {version:d} and that worker "w1" has shrunk')
def check_views(context, version):
    async def action(sim):
        for controller in sim.controllers.values():
            view = controller.view
            assert view.configuration.version == version, view.configuration
            assert view.workers['w1'].capacity.cpu_millicores == 3000

    add_action(context, action)


@then('the other daemon owns the pool')
def check_other_owner(context):
    async def action(sim):
        partition = sim.find_partition('pool')
        names = [
            name
            for name, owned in sim.list_owners()
            if owned.partition == partition
        ]
        assert len(names) == 1 and names != [sim.failed], names

    add_action(context, action)


@then('the daemon is not ready and does not say that there is no such job')
def check_unready(context):
    async def action(sim):
        for controller in sim.controllers.values():
            assert not controller.is_ready
            for job_id in sim.jobs:
                state = await controller.job_service.describe(QUEUE, job_id)
                assert state is not None

    add_action(context, action)


@then('the daemon is ready')
def check_ready(context):
    async def action(sim):
        assert all(one.is_ready for one in sim.controllers.values())

    add_action(context, action)


@then('{number:d} lines say that the task "{task}" failed')
def check_lines(context, number, task):
    check_line_range(context, number, number, task)


@then('{least:d} to {most:d} lines say that the task "{task}" failed')
def check_line_range(context, least, most, task):
    async def action(sim):
        found = list_failures(context)
        assert {line['task'] for line in found} <= {task}, found
        assert least <= len(found) <= most, found
        assert all('fails' in line['trace'] for line in found), found

    add_action(context, action)


def list_failures(context):
    return [
        line
        for line in context.lines
        if line.get('sentence') == 'process: Task failed.'
    ]


@then('the partition of the pool was owned anew, in another term')
def check_terms(context):
    async def action(sim):
        partition = sim.find_partition('pool')
        ended, started = (
            [
                line['term']
                for line in context.lines
                if line['sentence'] == sentence
                and line['partition'] == partition
            ]
            for sentence in (
                'process: Partition no longer owned.',
                'owner: Term started.',
            )
        )
        assert len(ended) == len(started) == 1, (ended, started)
        assert started[0] > ended[0], (ended, started)

    add_action(context, action)


@then('no daemon has ended')
def check_running(context):
    context.simulation.run()


@when('a task with two children fails while it is cancelled')
def fail_cancelled(context):
    collect_lines(context)

    async def fail():
        try:
            await trio.sleep_forever()
        finally:
            raise AssertionError('a child fails')

    async def task():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail)
            nursery.start_soon(trio.sleep_forever)

    async def run():
        with trio.move_on_after(1) as scope:
            await supervise('children', task)
        assert scope.cancelled_caught

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then('it has ended, and 1 line says so')
def check_cancelled(context):
    (line,) = list_failures(context)
    assert 'a child fails' in line['error'], line


@when("a read is under way while another one's records can't be indexed")
def fail_during_read(context):
    feed = context.feed

    async def run():
        context.results = []

        async def read():
            context.results.append(await feed._reader.read(0.1))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(read)
            await trio.sleep(0.001)
            with Failures('index jobs', 1).patch:
                feed.apply_stored([KeyedRecord('a' * 16 + 'c', b'')], 1)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


@then('it has failed, and the partition counts as not read')
def check_discarded(context):
    (result,) = context.results
    assert isinstance(result, NotDone), result
    assert context.feed.last_read_at is None
    assert not context.feed.has_read(0)
    assert context.feed.job_index.find('a' * 16) is None


@when('the partition is started again and read')
def restart_feed(context):
    async def run():
        assert not await context.feed.refresh()
        context.feed._reader.start()
        assert await context.feed.refresh()

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))
