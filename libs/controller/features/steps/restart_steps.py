import trio
from behave import given, then, when
from fakeplatform import PARTITIONS
from narrowstore import NarrowAccess
from simulation import Simulation

from tarragonlb.controller.ports import Topic
from tarragonlb.controller.settings import FLEET_PARTITION
from tarragonlb.scheduling.records import SUBMISSION, KeyedRecord

RECORDS = 100
STRONG_CORES = 2
# How many times as fast the links of strong daemons are.
STRONG_LINK = 10


class NarrowSimulation(Simulation):
    """Daemons behind narrow links, and partitions with large records."""

    create_access = NarrowAccess
    record_bytes = 0

    def _start(self, nursery, name, cores):
        super()._start(nursery, name, cores)
        if cores == STRONG_CORES:
            self.accesses[name].link.bytes_per_second *= STRONG_LINK

    def fill_store(self):
        super().fill_store()
        value = bytes(self.record_bytes)
        for partition in range(1, PARTITIONS):
            self.store.logs[Topic.JOBS, partition].extend(
                KeyedRecord(f'{number:016x}{SUBMISSION}', value)
                for number in range(RECORDS)
            )


@given(
    'daemons with "{cores}" cores behind links of 1 MB a second, 10 with 2 '
    'cores, and {size:g} MB in each partition'
)
def begin_behind_links(context, cores, size):
    numbers = [float(number) for number in cores.split()]
    context.simulation = NarrowSimulation(len(numbers), 2, cores=numbers)
    context.simulation.record_bytes = int(size * 1_000_000 / RECORDS)


@then('all owners have read their partitions')
def check_owners_read(context):
    async def action(sim):
        sim.unread = [
            (name, owned.partition)
            for name, owned in sim.list_owners()
            if owned.partition != FLEET_PARTITION
            and sim.controllers[name]._feeds[owned.partition].last_read_at
            is None
        ]

    context.simulation.actions.append(action)
    context.simulation.run()
    assert not context.simulation.unread, context.simulation.unread


@when('all daemons are killed')
def kill_all(context):
    async def action(sim):
        for name in sim.controllers:
            sim.scopes[name].cancel()
        sim.controllers.clear()

    context.simulation.actions.append(action)


@when(
    'those with 2 cores start after {strong:g} s, the others after {weak:g} s'
)
def start_anew(context, strong, weak):
    async def action(sim):
        async def start(number, cores):
            await trio.sleep(strong if cores == STRONG_CORES else weak)
            sim._start(sim.nursery, f'new-{number}-{cores:g}', cores)

        for number, cores in enumerate(sim.cores):
            sim.nursery.start_soon(start, number, cores)
        await trio.sleep(min(strong, weak))

    context.simulation.actions.append(action)


@then('all are owned by daemons with 2 cores')
def check_strong_names(context):
    owners = context.simulation.final_owners
    assert all(name.endswith('-2') for name, _ in owners), owners


@when('the owners are noted')
def note_owners(context):
    async def action(sim):
        sim.former_owners = sim.list_owners()

    context.simulation.actions.append(action)
