import hashlib
import math
import sys
from collections import Counter
from dataclasses import replace
from pathlib import Path

import trio
import trio.testing
from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from fakedocuments import FakeDocumentDecoder  # noqa: E402
from fakeplatform import (  # noqa: E402
    QUEUE,
    FakeClock,
)
from simulation import SETTINGS, Simulation  # noqa: E402

from tarragonlb.controller.feeds import OperatorFeed  # noqa: E402
from tarragonlb.controller.keycheck import (  # noqa: E402
    KeyOutcome,
    decide_by_key,
)
from tarragonlb.controller.keyindex import (  # noqa: E402
    KeyEntry,
    KeyIndex,
    compute_digest,
)
from tarragonlb.controller.partitionreader import RecordUpdate  # noqa: E402
from tarragonlb.controller.platformview import PlatformView  # noqa: E402
from tarragonlb.controller.ports import Configuration, Topic  # noqa: E402
from tarragonlb.scheduling.queue import QueueTable  # noqa: E402
from tarragonlb.scheduling.records import KeyedRecord  # noqa: E402

TENANT_SETTINGS = replace(SETTINGS, has_tenants=True)
APPLY_SECONDS = TENANT_SETTINGS.configuration_apply_seconds
OPERATORS = (Topic.OPERATORS, 0)
CHECK_SECONDS = 0.02
PUBLIC_QUEUE = replace(QUEUE, is_public=True)


@given(
    'a configuration with the key "{key}" of tenant "{tenant}", confirmed '
    '{age} s ago'
)
def configure(context, key, tenant, age):
    entry = KeyEntry(compute_digest(key.encode()), tenant)
    context.configuration = Configuration(
        1, QueueTable([QUEUE]), 1000, keys=KeyIndex([entry])
    )
    context.age = math.inf if age == 'inf' else float(age)


@when('a request with the key "{key}" is checked, {strictness}')
def check_key(context, key, strictness):
    settings = replace(TENANT_SETTINGS, strict_revoke=strictness == 'strictly')
    encoded = b'' if key == 'missing' else key.encode()
    arguments = (encoded, context.age, settings)
    decision = decide_by_key(context.configuration, QUEUE, *arguments)
    context.outcome = decision.outcome
    assert decision.tenant == ('a' if decision.is_allowed else '')
    public = decide_by_key(context.configuration, PUBLIC_QUEUE, *arguments)
    assert public.outcome is KeyOutcome.PUBLIC
    assert not public.tenant


@then('the outcome is "{outcome}"')
def check_outcome(context, outcome):
    assert context.outcome.value == outcome, context.outcome


@given('an index of {count:d} keys, some with digests that begin alike')
def index_keys(context, count):
    context.keys = [f'key-{number}'.encode() for number in range(count)]
    digests = [hashlib.sha256(key).digest() for key in context.keys]
    assert len({digest[:2] for digest in digests}) < count
    context.index = KeyIndex(
        KeyEntry(digest, f't{number}') for number, digest in enumerate(digests)
    )


@then('each key is found and no other')
def check_found(context):
    for number, key in enumerate(context.keys):
        assert context.index.find(key) == f't{number}'
        assert context.index.find(key + b'x') is None


@then('its text shows no key, and it keeps none')
def check_text(context):
    assert repr(context.index) == f'KeyIndex({len(context.keys)} keys)'
    # Nor in what the index keeps.
    assert 'key-' not in str(context.index._groups)


@given('{daemons:d} daemons with tenants')
def begin(context, daemons):
    context.simulation = Simulation(daemons, 2, settings=TENANT_SETTINGS)


@given('{daemons:d} daemons without tenants')
def begin_without(context, daemons):
    context.simulation = Simulation(daemons, 2)


def publish(sim, version):
    value = f'{version} a=key{version}'.encode()
    sim.store.logs[OPERATORS].append(KeyedRecord('config', value))


@when('configurations are published {times:d} times, one each {interval:g} s')
def publish_often(context, times, interval):
    context.times, context.interval = times, interval


@when(
    'the connection of each pending read dies before each {every:d}th of them'
)
def kill_connections(context, every):
    async def run(sim):
        for version in range(2, context.times + 2):
            if version % every == 0:
                # A record that is no configuration makes all daemons send a
                # new read, which has nearly all of its wait to come.
                sim.store.logs[OPERATORS].append(KeyedRecord('other', b'0'))
                await trio.sleep(0.05)
                sim.store.drop_pending_reads(Topic.OPERATORS)
            publish(sim, version)
            sim.published.append((trio.current_time(), version))
            await trio.sleep(context.interval)

    async def action(sim):
        sim.published = []
        sim.nursery.start_soon(run, sim)

    context.simulation.actions.append(action)
    context.seconds = context.times * context.interval + APPLY_SECONDS


@then('each daemon applies each configuration within {seconds:g} s')
def check_applied(context, seconds):
    context.seen, late = {}, []

    def observe(sim, name, controller):
        now = trio.current_time()
        configuration = controller.view.configuration
        due = [version for at, version in sim.published if at <= now - seconds]
        if due and configuration.version < due[-1]:
            late.append((name, now, configuration.version, due[-1]))
        context.seen.setdefault(name, []).append(configuration.version)

    async def action(sim):
        for _ in range(int(context.seconds / CHECK_SECONDS)):
            for name, controller in sim.controllers.items():
                observe(sim, name, controller)
            await trio.sleep(CHECK_SECONDS)

    context.simulation.actions.append(action)
    context.simulation.run()
    assert not late, late[:3]
    last = context.simulation.published[-1][1]
    assert all(versions[-1] == last for versions in context.seen.values())


@then('none goes back to an older version')
def check_forward(context):
    for versions in context.seen.values():
        assert versions == sorted(versions)


@when('the connection of each pending read dies without a new configuration')
def kill_connection(context):
    async def action(sim):
        sim.store.drop_pending_reads(Topic.OPERATORS)

    context.simulation.actions.append(action)


@then('each daemon refuses an unknown key all the time but for {seconds:g} s')
def check_refused(context, seconds):
    async def action(sim):
        unrefused = Counter()
        for _ in range(int(6 / CHECK_SECONDS)):
            for name, controller in sim.controllers.items():
                decision = controller.key_check.check(
                    controller.view.configuration, QUEUE, b'unknown'
                )
                if decision.outcome is not KeyOutcome.UNKNOWN_KEY:
                    unrefused[name] += CHECK_SECONDS
            await trio.sleep(CHECK_SECONDS)
        context.unrefused = unrefused

    context.simulation.actions.append(action)
    context.simulation.run()
    assert all(one <= seconds for one in context.unrefused.values()), (
        context.unrefused
    )


@when('version 9 is published, then version 4, and records expire')
def publish_backwards(context):
    async def action(sim):
        publish(sim, 9)
        await trio.sleep(1)
        publish(sim, 4)
        await trio.sleep(1)
        publish(sim, 4)
        sim.store.firsts[OPERATORS] = len(sim.store.logs[OPERATORS])
        sim.store.drop_pending_reads(Topic.OPERATORS)
        await trio.sleep(4)

    context.simulation.actions.append(action)


@then('each daemon has version {version:d}')
def check_versions(context, version):
    async def action(sim):
        for controller in sim.controllers.values():
            assert controller.view.configuration.version == version
            age = controller.view.compute_configuration_age(trio.current_time())
            assert age < APPLY_SECONDS

    context.simulation.actions.append(action)
    context.simulation.run()


@when(
    'version {version:d} is published and a daemon starts while reads {problem}'
)
def start_daemon(context, version, problem):
    context.versions = []

    async def action(sim):
        publish(sim, version)
        sim.store.mode = 'refuse' if problem.startswith('fail') else 'up'
        sim._start(sim.nursery, 'new')
        controller = sim.controllers['new']
        started_at = trio.current_time()
        context.ready_after = math.inf
        while trio.current_time() < started_at + 6:
            if trio.current_time() >= started_at + 1.5:
                sim.store.mode = 'up'
            if controller.is_ready:
                elapsed = trio.current_time() - started_at
                context.ready_after = min(context.ready_after, elapsed)
                context.versions.append(controller.view.configuration.version)
            await trio.sleep(0.001)

    context.version = version
    context.simulation.actions.append(action)
    context.simulation.run()


@then('the new daemon is never ready with another version')
def check_ready(context):
    assert set(context.versions) == {context.version}


@then('it is ready within {seconds:g} s')
def check_ready_soon(context, seconds):
    assert context.ready_after <= seconds, context.ready_after


def build_feed(settings, view):
    return OperatorFeed(
        None, FakeDocumentDecoder(), settings, view, FakeClock()
    )


@given("an operators' feed")
def create_feed(context):
    context.view = PlatformView()
    context.feed = build_feed(TENANT_SETTINGS, context.view)


@then('without tenants each read waits as before there were tenants')
def check_wait(context):
    feed = build_feed(SETTINGS, PlatformView())
    trio.run(sleep_and_check, feed, clock=trio.testing.MockClock())


async def sleep_and_check(feed):
    assert feed.get_wait_seconds() == 0.3 * APPLY_SECONDS


@when('a read of 2 of 3 records that was sent at {at:g} s is applied')
def apply_part(context, at):
    records = tuple(KeyedRecord('config', b'%d' % n) for n in (1, 2))
    context.feed.apply(RecordUpdate(records), at)


@when('a read of no record that was sent at {at:g} s is applied')
def apply_rest(context, at):
    context.feed.apply(RecordUpdate((), is_at_end=True), at)


@then('the configuration is not confirmed')
def check_unconfirmed(context):
    assert context.view.configuration.version == 2
    assert context.view.compute_configuration_age(11) == math.inf


@then('the configuration was confirmed at {at:g} s')
def check_confirmed(context, at):
    assert context.view.configuration_read_at == at
