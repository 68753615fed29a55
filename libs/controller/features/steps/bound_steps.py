from behave import then, when

from tarragonlb.controller.ports import Topic


@when('the worker that runs them becomes unreachable')
def make_unreachable(context):
    async def action(sim):
        runs = sim.worker_api.runs
        sim.worker_api.unreachable.update(w for w in runs if runs[w])
        assert len(sim.worker_api.unreachable) == 1, runs

    context.simulation.actions.append(action)


@when('its VM is listed as down')
def end_vm(context):
    async def action(sim):
        sim.vms.ended.update(sim.worker_api.unreachable)

    context.simulation.actions.append(action)


@when('the worker becomes reachable')
def make_reachable(context):
    async def action(sim):
        sim.worker_api.unreachable.clear()

    context.simulation.actions.append(action)


@then('no lease bound is left in the store')
def check_no_bounds(context):
    simulation = context.simulation
    log = simulation.store.logs[Topic.JOBS, simulation.find_partition('pool')]
    newest = {record.key: record.value for record in log}
    bounds = {key: v for key, v in newest.items() if key.endswith('l')}
    assert bounds, 'no bound was ever stored'
    assert not any(bounds.values()), bounds
