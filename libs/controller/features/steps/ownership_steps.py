import trio
from behave import then, when

from tarragonlb.controller.ports import Topic
from tarragonlb.scheduling.records import KeyedRecord


@when('the operators publish version {version:d} with the pools "{names}"')
def publish_pools(context, version, names):
    async def action(sim):
        log = sim.store.logs[Topic.OPERATORS, 0]
        log.append(KeyedRecord('config', f'{version} {names}'.encode()))

    context.simulation.actions.append(action)


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


def find_partitions(sim):
    controller = next(iter(sim.controllers.values()))
    return controller.view.fleet_state.partitions
