import trio
from behave import then, when


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
            await trio.sleep(strong if cores == 2 else weak)
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
