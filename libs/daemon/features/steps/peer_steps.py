"""Steps for peers, over loopback on an accelerated mock clock."""

import functools
import math

import trio
import trio.testing
from behave import given, then, when
from journal_steps import FaultyLog

from tarragonlb.daemon.journal import Journal
from tarragonlb.daemon.peers import PeerTask
from tarragonlb.daemon.peerserver import PeerServer
from tarragonlb.model.record import SettingPublished
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.standin.cluster import reserve_port
from tarragonlb.standin.logstore import LogStore

CLOCK_RATE = 10
SCENARIO_TIMEOUT_SECONDS = 300
RETENTION = 1000


class Zone:
    """The daemons of one availability zone over one log."""

    def __init__(self, count):
        self.store = LogStore(RETENTION)
        ports = [reserve_port() for _ in range(count + 1)]
        self.addresses = [f'127.0.0.1:{port}' for port in ports]
        self.logs = []
        self.journals = []

    def start(self, nursery, *, disconnected=False):
        index = len(self.journals)
        log = FaultyLog(self.store)
        log.disconnected = disconnected
        settings = DaemonSettings(
            name=f'entry-{index}',
            zone='a',
            listen='127.0.0.1:1',
            platform='127.0.0.1:1',
            peer_listen=self.addresses[index],
            peers=tuple(
                address
                for address in self.addresses
                if address != self.addresses[index]
            ),
        )
        journal = Journal(log, HeadFactory(settings.name, '1'))
        self.logs.append(log)
        self.journals.append(journal)
        nursery.start_soon(journal.run)
        peers = PeerTask(settings, journal)
        server = PeerServer(
            settings.peer_listen, {'/state': peers.serve_connection}
        )
        nursery.start_soon(server.run)
        nursery.start_soon(peers.run)

    async def wait_for(self, check):
        """Wait until ``check`` returns true for the journals."""
        while not check(self.journals):
            async with trio.open_nursery() as nursery:
                for journal in self.journals:
                    nursery.start_soon(cancel_on_change, journal, nursery)


async def cancel_on_change(journal, nursery):
    await journal.wait_for_change()
    nursery.cancel_scope.cancel()


async def run_zone(scenario):
    zone = Zone(3)
    with trio.fail_after(SCENARIO_TIMEOUT_SECONDS):
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                zone.start(nursery)
            await zone.wait_for(are_caught_up)
            await publish(zone.journals[0])
            await zone.wait_for(are_equal)
            await scenario(zone, nursery)
            nursery.cancel_scope.cancel()


async def publish(journal):
    record = SettingPublished(
        head=journal.make_head(),
        path='/fleet',
        text='{}',
        source='test',
        expected_version=0,
    )
    await journal.commit(record)


def are_caught_up(journals):
    return all(journal.replica.caught_up for journal in journals)


def are_equal(journals):
    digests = {journal.state.digest for journal in journals}
    return len(digests) == 1 and are_caught_up(journals)


def run_scenario(scenario):
    clock = trio.testing.MockClock(rate=CLOCK_RATE)
    trio.run(functools.partial(run_zone, scenario), clock=clock)


@given('3 connected daemons, and a setting in force')
def prepare(context):
    """Do nothing; each scenario starts its own daemons."""


async def start_daemon_without_log(zone, nursery):
    await trio.sleep(20)
    for log in zone.logs:
        log.disconnected = True
    zone.start(nursery, disconnected=True)
    await zone.wait_for(are_caught_up)


@when("the platform's log goes down and a new daemon starts")
def start_while_log_is_down(context):
    async def scenario(zone, nursery):
        await start_daemon_without_log(zone, nursery)
        context.old, *_, context.new = zone.journals

    run_scenario(scenario)


@then('it has the setting at the offset of its peers')
def check_shown(context):
    assert context.new.state.offset == context.old.state.offset
    assert context.new.state.settings == context.old.state.settings
    assert context.new.state.settings['/fleet'].version == 1


@then('it must not plan')
def check_no_planning(context):
    assert context.new.last_read == -math.inf


@when('the log comes back after a new daemon has started without it')
def reconnect_log(context):
    async def scenario(zone, nursery):
        await start_daemon_without_log(zone, nursery)
        for log in zone.logs:
            log.disconnected = False
        await trio.sleep(20)
        await zone.wait_for(are_equal)
        context.journals = zone.journals

    run_scenario(scenario)


@then('all of them reach the same state')
def check_same(context):
    assert len(context.journals) == 4
    assert not any(journal.replica.halted for journal in context.journals)


@when('the digest of one of them is corrupted')
def corrupt_digest(context):
    async def scenario(zone, nursery):
        zone.journals[1].state.digest = b'damaged'
        await zone.wait_for(lambda journals: journals[1].replica.halted)
        context.journals = zone.journals

    run_scenario(scenario)


@then('it halts and the others do not')
def check_halting(context):
    first, differing, last = context.journals
    assert 'entry-0, entry-2' in differing.replica.halted
    assert not first.replica.halted
    assert not last.replica.halted
