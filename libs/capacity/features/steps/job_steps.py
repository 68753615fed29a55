from behave import given, then, when

from tarragonlb.model.entry import JobPhase
from tarragonlb.model.fleet import TaskPhase
from tarragonlb.model.record import SettingPublished


@given('team "{team}" has a quota of {cores:d} cores')
def publish_quota(context, team, cores):
    record = SettingPublished(
        head=context.world.sign(),
        path=f'/teams/{team}',
        text=f'quota:\n  cores: {cores}\n',
        source='test',
        expected_version=0,
    )
    outcome = context.world.append(record)
    assert outcome.accepted, outcome


@given('{count:d} {class_} jobs of team "{team}" with {cores:d} cores')
@when('{count:d} {class_} jobs of team "{team}" with {cores:d} cores are added')
def submit(context, count, class_, team, cores):
    for _ in range(count):
        context.world.submit(
            'a', cores, idempotent=True, urgent=class_ == 'urgent', team=team
        )


@given('VM "{vm_id}" fails everything')
def break_vm(context, vm_id):
    context.broken = vm_id


@when('the planner runs for {rounds:d} rounds')
def run_planner(context, rounds):
    broken = getattr(context, 'broken', None)
    platform = context.world.platform
    for _ in range(rounds):
        context.world.run_rounds(context.daemon, 1)
        context.world.check()
        for task in platform.list_running() if broken else ():
            failed = task.vm_id == broken
            phase = TaskPhase.FAILED if failed else TaskPhase.SUCCEEDED
            platform.end_task(task, phase)


@then('team "{team}" has {count:d} jobs running')
def check_running(context, team, count):
    jobs = context.world.truth.jobs
    running = [
        task.task_id
        for task in context.world.platform.list_running()
        if jobs[task.task_id.rpartition('.')[0]].spec.team == team
    ]
    assert len(running) == count, running


@then('no job was lost')
def check_lost(context):
    ended = {JobPhase.QUEUED, JobPhase.STARTED}
    jobs = context.world.truth.jobs.values()
    assert all(job.phase in ended for job in jobs), list(jobs)


@then('VM "{vm_id}" was given at most {most:d} attempts')
def check_attempts(context, vm_id, most):
    tasks = context.world.platform.tasks.values()
    given_ = [task for task in tasks if task.vm_id == vm_id]
    assert len(given_) <= most, len(given_)


@then('at least {least:d} jobs have succeeded')
def check_succeeded(context, least):
    assert len(context.world.platform.succeeded) >= least


@then('a job is set aside because "{reason}"')
def check_aside(context, reason):
    jobs = list(context.world.truth.jobs.values())
    assert jobs[0].phase is JobPhase.SET_ASIDE, jobs
    assert jobs[0].output == reason, jobs
