import random
import sys
from pathlib import Path

from behave import given, then, when
from hypothesis import HealthCheck, seed, settings
from hypothesis import given as given_data
from hypothesis import strategies as st

sys.path.insert(0, str(Path(__file__).parent.parent))

from quotasimulation import World  # noqa: E402

from tarragonlb.scheduling.quotaindex import QuotaIndex  # noqa: E402
from tarragonlb.scheduling.quotarecords import (  # noqa: E402
    Grant,
    PartitionShare,
    QuotaReport,
    build_grant_record,
    build_report_record,
    build_term_record,
    decode_grant,
    decode_report,
)
from tarragonlb.scheduling.records import KeyedRecord  # noqa: E402

ACTIONS = (
    'run',
    'run',
    'task',
    'task',
    'task',
    'take over',
    'freeze',
    'blind',
    'blind',
    'wake',
    'cut',
    'fleet',
    'freeze fleet',
    'lose',
    'late',
    'prompt',
    'cap',
)
AMOUNTS = st.tuples(*[st.integers(0, 10**9)] * 3, st.integers(0, 1))


def act(world, chance, action):
    partition = chance.choice(world.partitions)
    owner = chance.choice(world.owners)
    match action:
        case 'run':
            world.run(chance.choice((0.05, 0.2, 1.0)))
        case 'task':
            for _ in range(chance.randrange(1, 6)):
                name = chance.choice(('a', 'b'))
                size = chance.choice((10, 100, 250, 600))
                world.add_task(partition, name, size, chance.uniform(0.1, 2))
        case 'take over':
            world.take_over(partition)
        case 'freeze':
            owner.is_frozen = True
        case 'blind':
            owner.blind_until = world.now + chance.choice((0.2, 1.0))
        case 'cut':
            owner.is_cut = True
        case 'wake':
            for daemon in (*world.owners, *world.fleet_owners):
                daemon.is_frozen = daemon.is_cut = False
        case 'fleet':
            world.replace_fleet_owner()
        case 'freeze fleet':
            world.fleet_owners[-1].is_frozen = True
        case 'lose':
            world.delay = lambda: chance.choice((None, 0, 0.1))
        case 'late':
            world.delay = lambda: chance.choice((0, 0.1, 1.0, 4.0))
        case 'prompt':
            world.delay = lambda: 0
        case 'cap':
            caps = {'a': chance.choice((700, 1000, 2000)), 'b': 800}
            world.set_caps(caps)


def heal(world):
    """End all faults; owners that do not answer have successors."""
    world.delay = lambda: 0
    for daemon in (*world.owners, *world.fleet_owners):
        daemon.is_frozen = daemon.is_cut = False
    world.owners = [
        owner
        for owner in world.owners
        if owner.term == world.epochs[owner.partition]
    ]
    owned = {owner.partition for owner in world.owners}
    for partition in set(world.partitions) - owned:
        world.take_over(partition)


@when('owners fail, freeze, wake and change in {count:d} random ways')
def run_random(context, count):
    context.waiting = []

    @seed(7)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given_data(
        st.lists(st.sampled_from(ACTIONS), min_size=5, max_size=40),
        st.integers(0, 10**6),
    )
    def run(actions, number):
        chance = random.Random(number)
        world = World(4, {'a': 1000, 'b': 800})
        for action in actions:
            act(world, chance, action)
        heal(world)
        for _ in range(240):
            world.run(1.0)
            if not world.count_waiting():
                break
        assert not world.count_waiting(), (actions, number)

    run()


@then('no start ever exceeded the highest cap in force')
@then('all tasks have run in the end')
def check_in_simulation(context):
    """Both are checked at each start and after each run."""


@given('{count:d} partitions and a tenant with a cap of {cap:d}')
def build_world(context, count, cap):
    context.world = World(count, {'a': cap})
    context.cap = cap
    context.world.run(0.5)


@when('{count:d} tasks of {size:d} wait in partition {partition:d}')
def add_tasks(context, count, size, partition):
    add_long_tasks(context, count, size, 1, partition)


@when(
    '{count:d} tasks of {size:d} that last {seconds:d} seconds wait in '
    'partition {partition:d}'
)
def add_long_tasks(context, count, size, seconds, partition):
    for _ in range(count):
        context.world.add_task(partition, 'a', size, seconds)


@when('{count:d} tasks of {size:d} wait in each partition')
def add_tasks_everywhere(context, count, size):
    for partition in context.world.partitions:
        add_tasks(context, count, size, partition)


@then('{seconds:d} seconds of rounds pass')
@when('{seconds:d} seconds of rounds pass')
def wait(context, seconds):
    context.world.run(seconds)


@when('partition {partition:d} is taken over')
def take_over(context, partition):
    context.world.take_over(partition)


@when('partition 1 is taken over by an owner that reads nothing more')
def take_over_blind(context):
    world = context.world
    world.take_over(1)
    world.run(0.2)
    world.owners[-1].blind_until = world.now + 60


@when('the record of its term is stored late')
def delay_mark(context):
    world = context.world
    world.take_over(1)
    world.delay = lambda: 3.0
    world.step()
    world.delay = lambda: 0
    world.owners[-1].blind_until = world.now + 2.0


@when('the fleet owner is cut off')
def cut_fleet_owner(context):
    context.world.fleet_owners[-1].is_cut = True


@when('the fleet owner is back')
def reach_fleet_owner(context):
    context.world.fleet_owners[-1].is_cut = False


@when('the owners of partitions {first:d} and {second:d} are cut off')
def cut_owners(context, first, second):
    for owner in context.world.owners:
        owner.is_cut |= owner.partition in {first, second}


@when('all records on caps are lost for {seconds:d} second')
def lose_records(context, seconds):
    context.world.delay = lambda: None
    context.world.run(seconds)
    context.world.delay = lambda: 0


@when('all owners of pools read no further configuration')
def keep_configuration(context):
    for owner in context.world.owners:
        owner.is_outdated = True


@when('the cap is raised to {cap:d}')
@when('the cap is reduced to {cap:d}')
def reduce_cap(context, cap):
    context.world.set_caps({'a': cap})


@when('the tenant is removed from the configuration')
def remove_tenant(context):
    context.world.set_caps({})
    context.world.caps.pop()


@then('{seconds:f} seconds later {used:d} are in use')
def check_use(context, seconds, used):
    context.world.run(seconds)
    assert context.world.measure('a') == used, context.world.measure('a')


@then('{used:d} are in use and {waiting:d} tasks wait')
def check_waiting(context, used, waiting):
    found = context.world.measure('a'), context.world.count_waiting()
    assert found == (used, waiting), found


@then('in {seconds:d} more seconds at most {most:d} grants are stored')
def check_grants(context, seconds, most):
    before = context.world.grants
    context.world.run(seconds)
    assert context.world.grants - before <= most, context.world.grants - before


@then('{seconds:d} seconds later all tasks have run')
def check_all_ran(context, seconds):
    world = context.world
    world.most = 0
    for _ in range(seconds * 20):
        world.step()
        world.most = max(world.most, world.measure('a'))
    assert not world.count_waiting(), world.count_waiting()


@then('at most one task ran at a time')
def check_one(context):
    assert context.world.most == 700, context.world.most


def run_many(tenants, seconds):
    """Return the calls of functions in a round of an owner, at the median."""
    names = [f't{number}' for number in range(tenants)]
    world = World(72, dict.fromkeys(names, 20_000))
    world.run(0.5)
    chance = random.Random(3)
    counts = []
    for _ in range(seconds):
        for _ in range(100):
            world.add_task(
                chance.choice(world.partitions),
                chance.choice(names),
                chance.choice((100, 400, 900)),
                chance.uniform(0.5, 1.5),
            )
        world.run(0.8)
        counts.append(count_calls(world))
        world.run(0.15)
        for owner in world.owners:
            world.tasks[owner.partition] = [
                task
                for task in world.tasks[owner.partition]
                if not task.is_done
            ]
    return world, sum(counts)


def count_calls(world):
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        calls += event in {'call', 'c_call'}

    sys.setprofile(count)
    try:
        world.step()
    finally:
        sys.setprofile(None)
    return calls


@given('72 partitions and 400 tenants that take turns in being active')
def plan_many(context):
    context.tenants = 400


@when('they run for {seconds:d} seconds')
def run_both(context, seconds):
    context.many, context.many_calls = run_many(400, seconds)
    _, context.few_calls = run_many(20, seconds)
    assert context.many.starts


@then('a round costs at most {most:d} times that with 20 tenants')
def check_cost(context, most):
    calls = context.many_calls, context.few_calls
    assert calls[0] <= most * calls[1], calls


@when('grants and reports are written and read in {count:d} random ways')
def round_trip(context, count):
    share = st.builds(PartitionShare, AMOUNTS, AMOUNTS, st.integers(0, 99))
    grants = st.builds(
        Grant,
        st.text(min_size=1),
        st.integers(1, 99),
        AMOUNTS,
        st.dictionaries(st.integers(1, 99), share),
    )
    reports = st.builds(
        QuotaReport,
        st.text(min_size=1),
        *[st.integers(1, 99)] * 4,
        AMOUNTS,
        AMOUNTS,
        AMOUNTS,
    )

    @seed(5)
    @settings(max_examples=count, deadline=None, database=None)
    @given_data(grants, reports)
    def check(grant, report):
        record = build_grant_record(grant)
        assert decode_grant(grant.tenant, record.value) == grant
        record = build_report_record(report)
        name = record.key.partition('/')[2]
        assert decode_report(name, record.value) == report

    check()


@then('they are equal')
def check_equal(context):
    """The step before has compared them."""


@given('an index that has read the term {term:d} of partition 1 {how}')
def read_term(context, term, how):
    context.index = QuotaIndex()
    context.how = how
    mark = build_term_record(1, term)
    context.records = [KeyedRecord(mark.key, mark.value, 4)]


@when('a report of term {term:d} is read')
def read_report(context, term):
    report = build_report_record(QuotaReport('a', 1, term, 1, 5))
    if context.how == 'in a snapshot':
        late = KeyedRecord(report.key, report.value, 3)
        context.index.apply_snapshot([late, *context.records])
    else:
        late = KeyedRecord(report.key, report.value, 5)
        context.index.apply([*context.records, late])


@then('the index holds no report')
def check_no_report(context):
    assert not context.index.reports
