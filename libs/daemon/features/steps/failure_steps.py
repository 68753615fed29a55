"""Errors in the tasks of the product's daemon, on a mock clock."""

import types
from unittest.mock import patch

import eliot
import trio
import trio.testing
from behave import then, when

from tarragonlb.capacity.table import ChangeTable
from tarragonlb.daemon.fleetwatcher import FleetWatcher
from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.pools import PoolTask
from tarragonlb.daemon.process import Process
from tarragonlb.daemon.server import Server
from tarragonlb.journal.log import LogEntry
from tarragonlb.journal.replica import Replica
from tarragonlb.journal.state import State
from tarragonlb.model.entry import VmEntry
from tarragonlb.model.fleet import FleetReading, VmPhase, VmReading
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.telemetry.eventloop import ProcessTasks
from tarragonlb.telemetry.lifecycle import STANDARD_ERROR, Lifecycle
from tarragonlb.telemetry.processsignals import ProcessSignals
from tarragonlb.telemetry.supervision import supervise

SECONDS = 30


def collect_lines(context):
    lines = context.lines = []
    eliot.add_destinations(lines.append)
    # Eliot passes messages logged earlier to the first destination.
    lines.clear()
    context.add_cleanup(eliot.remove_destination, lines.append)


def list_failures(context):
    return [
        line['task']
        for line in context.lines
        if line.get('sentence') == 'process: Task failed.'
    ]


def run_for_a_while(*tasks):
    async def run():
        with trio.move_on_after(SECONDS):
            async with trio.open_nursery() as nursery:
                for name, task in tasks:
                    nursery.start_soon(supervise, name, task)

    trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def build_reading(vm_id):
    return VmReading(
        vm_id=vm_id,
        pool='p',
        zone='a',
        rack='r',
        phase=VmPhase.LIVE,
        boot=1,
        cores=1,
        memory_gb=1,
        address='127.0.0.1:1',
    )


@when('each task of a daemon fails once')
def fail_each(context):
    collect_lines(context)
    context.runs = {}

    def build(name):
        async def task():
            context.runs[name] = context.runs.get(name, 0) + 1
            if context.runs[name] == 1:
                raise AssertionError(f'{name} fails')
            await trio.sleep_forever()

        return task

    settings = DaemonSettings(
        name='a',
        zone='z',
        listen='127.0.0.1:1',
        peer_listen='127.0.0.1:2',
        platform='127.0.0.1:3',
    )
    process = Process(settings)
    tasks = {name: build(name) for name in process._build_tasks()}

    async def stop(process, stopping):
        await trio.sleep(SECONDS)

    async def serve(*arguments):
        await trio.sleep_forever()

    with (
        patch.object(Process, '_build_tasks', lambda process: tasks),
        patch.object(Process, '_wait_for_stop', stop),
        patch.object(Server, 'run', serve),
    ):
        trio.run(
            process.run,
            ProcessTasks(
                Lifecycle(ProcessSignals(STANDARD_ERROR), STANDARD_ERROR)
            ),
            clock=trio.testing.MockClock(autojump_threshold=0),
        )


@then('each of them runs again, and a line of each says so')
def check_each(context):
    assert len(context.runs) >= 11, context.runs
    assert set(context.runs.values()) == {2}, context.runs
    assert sorted(list_failures(context)) == sorted(context.runs)


@when("an entry of the log can't be applied")
def fail_entry(context):
    collect_lines(context)

    async def read(after, wait_seconds):
        await trio.sleep(1)
        return [LogEntry(after + 1, b'')]

    log = types.SimpleNamespace(read=read)
    context.journal = Journal(log, HeadFactory('a', 'b'))
    error = AssertionError('the fold fails')
    with patch.object(Replica, 'receive_entries', side_effect=error):
        run_for_a_while(('journal', context.journal.run))


@then('the journal has halted, and 1 line says that "{task}" failed')
def check_halted(context, task):
    assert 'the fold fails' in context.journal.replica.halted
    assert list_failures(context) == [task], context.lines


@when('a list of 2 VMs is read, and merging it fails once after 1 VM')
def fail_merge(context):
    collect_lines(context)
    vms = [build_reading('vm-1'), build_reading('vm-2')]

    async def read(number, wait_seconds):
        await trio.sleep(1)
        listed = vms if number < 1 else []
        return FleetReading(number=1, vms=listed, tasks=[])

    watcher = FleetWatcher(types.SimpleNamespace(read=read))
    update = ChangeTable.update
    failures = [AssertionError('merging fails')]

    def fail_once(table, rows):
        if rows and failures:
            update(table, dict(list(rows.items())[:1]))
            raise failures.pop()
        update(table, rows)

    with patch.object(ChangeTable, 'update', fail_once):
        run_for_a_while(('watcher', watcher.run))
    context.watcher = watcher


@then('both VMs are known, and 1 line says that "{task}" failed')
def check_merged(context, task):
    assert set(context.watcher.vms) == {'vm-1', 'vm-2'}
    assert list_failures(context) == [task], context.lines


@when('the endpoints of 2 VMs can be updated, then fail once and are updated')
def fail_update(context):
    state = State()
    watcher = types.SimpleNamespace(vms=ChangeTable(), number=1, last_read=0.0)
    context.counts = []

    def update_pool(pool, endpoints):
        context.counts.append(len(endpoints))

    task = PoolTask(
        types.SimpleNamespace(state=state),
        watcher,
        types.SimpleNamespace(update_pool=update_pool, list_read_at=None),
    )
    for vm_id in ('vm-1', 'vm-2'):
        state.vms[vm_id] = VmEntry(vm_id=vm_id, pool='p', zone='a', rack='r')
        watcher.vms[vm_id] = build_reading(vm_id)
    task.update(1.0)
    state.vms['vm-1'] = state.vms['vm-1']
    error = AssertionError('the update fails')
    with patch.object(PoolTask, '_find_endpoint', side_effect=error):
        try:
            task.update(2.0)
        except AssertionError as raised:
            assert raised is error
    task.update(3.0)


@then('the pool had 2, 0 and 2 endpoints')
def check_counts(context):
    assert context.counts == [2, 0, 2], context.counts


@when("the endpoints of 3 pools can't be updated, and 1 can't be withdrawn")
def fail_withdrawal(context):
    state = State()
    watcher = types.SimpleNamespace(vms=ChangeTable(), number=1, last_read=0.0)
    known = {}
    failures = [AssertionError('the withdrawal fails')]

    def update_pool(pool, endpoints):
        if not endpoints and failures:
            raise failures.pop()
        known[pool] = len(endpoints)

    task = PoolTask(
        types.SimpleNamespace(state=state),
        watcher,
        types.SimpleNamespace(update_pool=update_pool, list_read_at=None),
    )
    for pool in ('p', 'q', 'r'):
        vm_id = f'vm-{pool}'
        state.vms[vm_id] = VmEntry(vm_id=vm_id, pool=pool, zone='a', rack='r')
        watcher.vms[vm_id] = build_reading(vm_id)
    task.update(1.0)
    state.vms['vm-p'] = state.vms['vm-p']
    error = ValueError('the update fails')
    with patch.object(PoolTask, '_find_endpoint', side_effect=error):
        try:
            task.update(2.0)
        except (AssertionError, ValueError):
            context.known = dict(known)
    # All of its VMs leave before the next update.
    watcher.vms.replace({})
    task.update(3.0)
    context.known_later = known


@then('the 2 other pools have no endpoints')
def check_withdrawn(context):
    assert context.known == {'p': 1, 'q': 0, 'r': 0}, context.known


@then('the pool has none either after the next update')
def check_withdrawn_later(context):
    assert context.known_later == {'p': 0, 'q': 0, 'r': 0}, context.known_later
