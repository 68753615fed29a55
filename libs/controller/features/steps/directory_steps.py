from behave import then, when
from fakeplatform import PARTITIONS

from tarragonlb.controller.ports import Topic
from tarragonlb.controller.settings import FLEET_PARTITION

READERS = {
    'directory': {(Topic.WORKERS, 0)},
    'fleet partition': {(Topic.JOBS, FLEET_PARTITION)},
    'other partitions': {
        (Topic.JOBS, number)
        for number in range(PARTITIONS)
        if number != FLEET_PARTITION
    },
    "operators' topic": {(Topic.OPERATORS, 0)},
}


def count_reads(context, *, by_owners):
    """Return the reads during the last period, by daemon."""
    sim = context.simulation
    owners = {name for name, _ in sim.owners_at_end}
    return {
        name: reads
        for name, reads in sim.reads.items()
        if (name in owners) == by_owners
    }


@when('the reads of {seconds:d} seconds are counted')
def count_period(context, seconds):
    async def action(sim):
        for reads in sim.reads.values():
            reads.clear()
        await sim.sleep(seconds)
        sim.owners_at_end = sim.list_owners()

    context.simulation.actions.append(action)
    context.simulation.run()


@then('each owner has read the directory at least {least:d} times')
def check_owner_reads(context, least):
    counted = count_reads(context, by_owners=True)
    assert counted
    for name, reads in counted.items():
        found = sum(read in READERS['directory'] for _, read in reads)
        assert found >= least, (name, found)


@then(
    'a daemon that owns nothing has read the {content} at most {most:d} times'
)
def check_idle_reads(context, content, most):
    counted = count_reads(context, by_owners=False)
    assert counted
    for name, reads in counted.items():
        found = sum(read in READERS[content] for _, read in reads)
        assert found <= most, (name, found)


@when('{seconds:g} seconds pass until a daemon owns the pool')
def wait_for_owner(context, seconds):
    async def action(sim):
        await sim.sleep(seconds)
        name = sim.find_owner()
        sim.directory_reads = [
            at for at, read in sim.reads[name] if read in READERS['directory']
        ]
        sim.claimed_at = next(
            lease.claimed_at
            for lease in sim.controllers[name]._ownership._leases.values()
            if lease.find_owned()
        )

    context.simulation.actions.append(action)
    context.simulation.run()


@then('that daemon read the directory within {seconds:g} s of its claim')
def check_fresh_directory(context, seconds):
    sim = context.simulation
    assert any(
        0 <= at - sim.claimed_at <= seconds for at in sim.directory_reads
    ), (sim.claimed_at, sim.directory_reads)
