import sys
from collections import Counter
from pathlib import Path
from unittest.mock import patch

import trio
from behave import given, then, when

sys.path.insert(0, str(Path(__file__).parent.parent))

from fakeplatform import FakeClock, FakeStore  # noqa: E402
from simulation import SETTINGS, Simulation  # noqa: E402

from tarragonlb.controller.dependencylog import DependencyLog  # noqa: E402
from tarragonlb.controller.partitionlease import PartitionLease  # noqa: E402
from tarragonlb.controller.ports import Topic  # noqa: E402
from tarragonlb.scheduling.records import KeyedRecord  # noqa: E402
from tarragonlb.scheduling.scheduler import Scheduler  # noqa: E402


@when('the operators publish version {version:d} with the pools "{names}"')
def publish_pools(context, version, names):
    async def action(sim):
        log = sim.store.logs[Topic.OPERATORS, 0]
        log.append(KeyedRecord('config', f'{version} {names}'.encode()))

    context.simulation.actions.append(action)


@when('a scheduling round raises an unexpected error')
def fail_round(context):
    async def action(sim):
        failed = trio.Event()

        def decide(*arguments, **named):
            failed.set()
            raise KeyError('unexpected')

        with patch.object(Scheduler, 'decide', decide):
            await failed.wait()

    context.simulation.actions.append(action)


@then('both daemons still run')
def check_daemons_run(context):
    # An error that ends a daemon ends the simulation's run.
    assert len(context.simulation.controllers) == 2


@when('all daemons are replaced by new ones')
def replace_all(context):
    async def action(sim):
        sim.partitions = dict(find_partitions(sim))
        names = tuple(sim.controllers)
        for name in names:
            sim.scopes[name].cancel()
        sim.controllers.clear()
        await trio.sleep(1)
        for name in names:
            sim._start(sim.nursery, f'{name}-new')

    context.simulation.actions.append(action)


@when('a job of pool "{pool}" is submitted')
def submit_to_pool(context, pool):
    async def action(sim):
        controller = next(iter(sim.controllers.values()))
        started_at = trio.current_time()
        job = sim.add_job(1, pool, pool)
        sim.outcome = await controller.job_service.submit(job)
        sim.elapsed = trio.current_time() - started_at

    context.simulation.actions.append(action)


@then('the job was accepted')
def check_accepted(context):
    context.simulation.run()
    outcome = context.simulation.outcome
    assert outcome.verdict.value == 'ran', outcome


@then('{count:d} pools are in partitions of their own')
def check_spread(context, count):
    async def action(sim):
        sim.followed = [
            set(controller._feeds) for controller in sim.controllers.values()
        ]

    context.simulation.actions.append(action)
    context.simulation.run()
    for followed in context.simulation.followed:
        assert len(followed) == count, followed


@then('no pool has changed its partition')
def check_unchanged(context):
    async def action(sim):
        for controller in sim.controllers.values():
            later = controller.view.fleet_state.partitions
            assert sim.partitions.items() <= later.items(), later
            assert len(later) == 5, later

    context.simulation.actions.append(action)
    context.simulation.run()


@given('daemons with "{cores}" cores and {workers:d} workers')
def begin_with_cores(context, cores, workers):
    numbers = [float(number) for number in cores.split()]
    context.simulation = Simulation(len(numbers), workers, cores=numbers)


@then('{count:d} partitions are owned, {each:d} by each daemon with 2 cores')
def check_strong_owners(context, count, each):
    owners = list_final_owners(context)
    assert len(owners) == count, owners
    counts = Counter(name for name, _ in owners)
    assert counts == {'d3': each, 'd4': each}, owners


@then(
    'every partition is owned by the daemon with 1 cores or one that owns '
    'nothing else'
)
def check_idle_owners(context):
    owners = list_final_owners(context)
    assert len(owners) == 2, owners
    assert 'd3' in {name for name, _ in owners}, owners
    others = Counter(name for name, _ in owners if name != 'd3')
    assert all(count == 1 for count in others.values()), owners


@then('{count:d} partitions are owned')
def check_owned(context, count):
    owners = list_final_owners(context)
    assert len({owned.partition for _, owned in owners}) == count, owners
    assert len(owners) == count, owners


@when('the renewals of the owner of the pool fail for {seconds:g} seconds')
def cut_owner(context, seconds):
    async def action(sim):
        name = sim.find_owner()
        sim.former_owners = sim.list_owners()
        sim.store.cut_members.add(name)
        await trio.sleep(seconds)
        sim.store.cut_members.clear()

    context.simulation.actions.append(action)


@then('another daemon owns the pool, in a later term')
def check_later_term(context):
    sim = context.simulation
    for name, owned in sim.former_owners:
        later = [
            (other, successor)
            for other, successor in sim.final_owners
            if successor.partition == owned.partition
        ]
        assert later[0][0] != name, (sim.former_owners, later)
        assert later[0][1].term > owned.term, (sim.former_owners, later)


@when('the store is in mode "{mode}" for {seconds:g} seconds')
def set_mode_for(context, mode, seconds):
    async def action(sim):
        sim.former_owners = sim.list_owners()
        sim.store.mode = mode
        await trio.sleep(seconds)
        sim.store.mode = 'up'

    context.simulation.actions.append(action)


@then('no partition has changed hands')
def check_same_owners(context):
    owners = list_final_owners(context)
    assert owners, 'nothing is owned'
    assert set(owners) == set(context.simulation.former_owners), owners


@when('another daemon joins the groups of all partitions')
def join_groups(context):
    async def action(sim):
        sim.former_owners = sim.list_owners()
        for _, owned in sim.former_owners:
            lease = PartitionLease(
                owned.partition,
                'intruder',
                sim.store,
                SETTINGS,
                FakeClock(),
                DependencyLog('group of the intruder'),
            )
            assert not await lease.claim()

    context.simulation.actions.append(action)


@when('another daemon joins the groups of all partitions and dies')
def join_groups_and_die(context):
    async def action(sim):
        sim.former_owners = sim.list_owners()
        ttl = SETTINGS.member_ttl_seconds
        for _, owned in sim.former_owners:
            await sim.store.join(owned.partition, 'dead', ttl, 0)

    context.simulation.actions.append(action)


@when('a group is joined and left by others while a daemon claims it')
def compete(context):
    async def action(sim):
        sim.lease = PartitionLease(
            1,
            'claimer',
            sim.other_store,
            SETTINGS,
            FakeClock(),
            DependencyLog('group of the claimer'),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sim.lease.claim)
            for name in 'xyz':
                await trio.sleep(0.008)
                await sim.other_store.join(1, name, 1.6, 0)
                await sim.other_store.leave(1, name)

    context.simulation.other_store = FakeStore()
    context.simulation.actions.append(action)


@given('a daemon that owns a partition')
def prepare_lease(context):
    context.simulation = Simulation(1, 0)
    context.simulation.other_store = FakeStore()


@when('its membership expires, and another owner comes and goes meanwhile')
def pass_ownership(context):
    async def action(sim):
        store = sim.other_store
        first, second = make_lease(store, 'first'), make_lease(store, 'second')
        valid_terms = set()

        async def note_renewal():
            owned = first.find_owned()
            if owned and first.is_valid(trio.current_time()):
                valid_terms.add(owned.term)

        async with trio.open_nursery() as nursery:
            assert await first.claim()
            nursery.start_soon(first.hold, note_renewal)
            store.cut_members.add('first')
            await trio.sleep(SETTINGS.member_ttl_seconds + 0.1)
            assert await second.claim()
            sim.second_term = second.find_owned().term
            await store.fence(1, sim.second_term)
            await second.leave()
            valid_terms.clear()
            store.cut_members.clear()
            await trio.sleep(2)
            sim.valid_terms = valid_terms
            nursery.cancel_scope.cancel()

    context.simulation.actions.append(action)


@then('it owns the partition in a later term than the other')
def check_new_term(context):
    sim = context.simulation
    sim.run()
    assert sim.valid_terms, 'nothing is owned'
    assert min(sim.valid_terms) > sim.second_term, sim.valid_terms


def make_lease(store, name):
    return PartitionLease(
        1, name, store, SETTINGS, FakeClock(), DependencyLog(f'group of {name}')
    )


@then('the daemon owns it in the last generation')
def check_claim(context):
    sim = context.simulation
    sim.run()
    owned = sim.lease.find_owned()
    assert owned is not None
    assert owned.term == sim.other_store.generations[1], owned


@then('every partition has the same owner')
def check_same_names(context):
    owners = list_final_owners(context)
    former = context.simulation.former_owners
    assert former, 'nothing was owned'
    assert {(name, owned.partition) for name, owned in owners} == {
        (name, owned.partition) for name, owned in former
    }, (former, owners)


@then('the other daemon has left all groups')
def check_left(context):
    context.simulation.run()
    groups = context.simulation.store.groups
    assert groups
    assert all('intruder' not in members for members in groups.values())


@when('the calls of {seconds:g} seconds are counted')
def count_calls(context, seconds):
    async def action(sim):
        sim.store.calls.clear()
        await trio.sleep(seconds)

    context.simulation.actions.append(action)


@then('there were at most {joins:d} joins and {listings:d} listings of owners')
def check_calls(context, joins, listings):
    context.simulation.run()
    calls = context.simulation.store.calls
    assert 0 < calls['join'] <= joins, calls
    assert calls['list_owners'] <= listings, calls


@when('a daemon with {cores:g} cores starts')
def start_daemon(context, cores):
    async def action(sim):
        sim._start(sim.nursery, 'new', cores)

    context.simulation.actions.append(action)


@when('the owner of the pool is overloaded')
def overload_owner(context):
    async def action(sim):
        sim.former_owners = sim.list_owners()
        sim.former_owner = sim.find_owner()
        sim.lags[sim.former_owner].set_share(0.5)

    context.simulation.actions.append(action)


@when('the new daemon is overloaded, and the former owner is not')
def overload_new(context):
    async def action(sim):
        sim.lags['new'].set_share(0.5)
        sim.lags[sim.former_owner].set_share(0)

    context.simulation.actions.append(action)


@when('the new daemon is killed once it has offered')
def kill_new(context):
    async def action(sim):
        view = sim.controllers[sim.former_owner].view
        for _ in range(200):
            if view.fleet_state.owner_offers:
                break
            await trio.sleep(0.05)
        assert view.fleet_state.owner_offers, 'no offer was made'
        sim.scopes['new'].cancel()
        sim.controllers.pop('new')

    context.simulation.actions.append(action)


@then('the new daemon owns nothing')
def check_new_is_idle(context):
    owners = list_final_owners(context)
    assert 'new' not in {name for name, _ in owners}, owners


@then('the new daemon owns the pool')
def check_new_owner(context):
    async def action(sim):
        assert sim.find_owner() == 'new', sim.list_owners()

    context.simulation.actions.append(action)
    context.simulation.run()


def list_final_owners(context):
    async def action(sim):
        sim.final_owners = sim.list_owners()

    context.simulation.actions.append(action)
    context.simulation.run()
    return context.simulation.final_owners


def find_partitions(sim):
    controller = next(iter(sim.controllers.values()))
    return controller.view.fleet_state.partitions
