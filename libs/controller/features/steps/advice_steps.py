import eliot
from advisedplatform import AdvisedDecoder, AdvisedWorkerApi
from behave import given, then, when
from simulation import Simulation

JOB_TASKS = 4


@given('{daemons:d} daemons and {workers:d} workers with {service}')
def start(context, daemons, workers, service):
    has_service = service == 'a placement policy service'
    context.simulation = Simulation(
        daemons,
        workers,
        create_worker_api=lambda: AdvisedWorkerApi(has_service=has_service),
        decoder=AdvisedDecoder(),
    )
    context.lines = []


@when(
    '{count:d} jobs of {tasks:d} tasks are submitted to the queue with advice'
)
def submit(context, count, tasks):
    async def action(sim):
        service = next(iter(sim.controllers.values())).job_service
        for _ in range(count):
            job = sim.add_job(tasks, queue='advised')
            sim.worker_api.advised.add(job.job_id)
            await service.submit(job)

    context.simulation.actions.append(action)


@when('the service falls silent')
def silence(context):
    async def action(sim):
        sim.worker_api.advisor.is_silent = True

    context.simulation.actions.append(action)


@when('the service answers again')
def speak(context):
    async def action(sim):
        sim.worker_api.advisor.is_silent = False

    context.simulation.actions.append(action)


def run(context):
    """Run the simulation once and keep the lines that it logs."""
    eliot.add_destinations(context.lines.append)
    context.lines.clear()
    try:
        context.simulation.run()
    finally:
        eliot.remove_destination(context.lines.append)
    return context.simulation.worker_api


def list_done(workers, job_ids):
    return [
        end.key
        for ends in workers.ended.values()
        for end in ends
        if end.outcome == 'done' and end.key.job_id in job_ids
    ]


@then('the jobs are completed and no start was refused')
def check_completed(context):
    workers = run(context)
    done = list_done(workers, workers.advised)
    assert len(done) == JOB_TASKS * len(workers.advised) > 0, done
    assert len(set(done)) == len(done), done
    assert not workers.refused, workers.refused


@then('the log has a line on the state of the advice at most every 5 s')
def check_lines(context):
    times = [
        line['timestamp']
        for line in context.lines
        if line['sentence'] == 'advice: State of the advice.'
    ]
    # The run takes 8 virtual seconds.
    assert len(times) == 1, times


@then('only the tasks of the other queue have started and are done')
def check_others(context):
    workers = run(context)
    others = set(context.simulation.jobs) - workers.advised
    assert len(list_done(workers, others)) == JOB_TASKS
    assert {key.job_id for key, _ in workers.starts} == others
    assert workers.advisor.calls
    assert not workers.refused, workers.refused


@then('the service was not called and no start carried a ticket')
def check_no_calls(context):
    workers = run(context)
    assert len(list_done(workers, context.simulation.jobs)) == JOB_TASKS
    assert not workers.advisor.calls
    assert set(workers.tickets) == {''}
    assert not any('advice' in line['sentence'] for line in context.lines)


@then('starts were refused and no start carried a ticket')
def check_refused(context):
    workers = run(context)
    assert workers.refused
    assert set(workers.tickets) == {''}
