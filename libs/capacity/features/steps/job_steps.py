from behave import given, then, when

from tarragonlb.capacity.attempts import (
    RENEWALS_PER_LEASE,
    choose_lease_seconds,
)
from tarragonlb.model.entry import JobEntry, JobPhase
from tarragonlb.model.fleet import TaskPhase, VmPhase
from tarragonlb.model.job import JobSubmitted
from tarragonlb.model.record import SettingPublished
from tarragonlb.model.recordhead import HeadFactory


@given('team "{team}" has a quota of {cores:d} cores')
def publish_quota(context, team, cores):
    record = SettingPublished(
        head=context.world.make_head(),
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


@given('VM "{vm_id}" fails every job')
def set_failing_vm(context, vm_id):
    context.failing_vm = vm_id


@when('the planner runs for {rounds:d} rounds')
def run_planner(context, rounds):
    failing_vm = getattr(context, 'failing_vm', None)
    platform = context.world.platform
    for _ in range(rounds):
        context.world.run_rounds(context.daemon, 1)
        context.world.check()
        for task in platform.list_running() if failing_vm else ():
            failed = task.vm_id == failing_vm
            phase = TaskPhase.FAILED if failed else TaskPhase.SUCCEEDED
            platform.end_task(task, phase)


@given('jobs of team "{team}" run {times:d} times as long as declared')
def submit_long_job(context, team, times):
    submit(context, 1, 'patient', team, 1)
    run_planner(context, 2)
    context.world.platform.pass_time(1)
    for _ in range(times):
        run_planner(context, 1)
    context.world.end_task(0, TaskPhase.SUCCEEDED)
    run_planner(context, 3)


@when(
    'a job of team "{first}" due in {soon:d} s and one of team "{second}" '
    'due in {late:d} s wait'
)
def submit_two(context, first, soon, second, late):
    for team, seconds in ((first, soon), (second, late)):
        context.world.submit(
            'a',
            4,
            idempotent=True,
            urgent=False,
            team=team,
            deadline_seconds=seconds,
        )
    for vm_id in ('vm-1', 'vm-2', 'vm-3'):
        context.world.platform.set_phase(vm_id, VmPhase.LEAVING)


@then('the one of team "{team}" starts first')
def check_first(context, team):
    run_planner(context, 4)
    check_running(context, team, 1)
    assert len(context.world.platform.list_running()) == 1


@given('{count:d} jobs are running')
def add_running_jobs(context, count):
    for number in range(count):
        job = JobEntry(
            spec=make_spec(number),
            phase=JobPhase.STARTED,
            offset=number,
            vm_id='vm-1',
        )
        context.daemon.state.jobs[f'job-{number}'] = job
    context.started = count


@then('renewals are at most {limit:d} per second')
def check_renewals(context, limit):
    lease = choose_lease_seconds(context.daemon.view())
    assert RENEWALS_PER_LEASE * context.started / lease <= limit, lease


def make_spec(number):
    return JobSubmitted(
        head=HeadFactory('test', '1').make_head(0, 0),
        job_id=f'job-{number}',
        team='team',
        kind='kind',
        pool='a',
        cores=1,
        memory_gb=1,
        payload='',
        urgent=False,
        idempotent=True,
        deadline_seconds=1,
        declared_seconds=1,
    )


@then('team "{team}" has {count:d} jobs running')
def check_running(context, team, count):
    jobs = context.world.truth.jobs
    running = [
        task.task_id
        for task in context.world.platform.list_running()
        if jobs[task.task_id.rpartition('.')[0]].spec.team == team
    ]
    assert len(running) == count, running


@when('VM "{vm_id}" is listed as gone')
def list_as_gone(context, vm_id):
    context.world.platform.set_phase(vm_id, VmPhase.GONE)


@then('the first job is at attempt {attempt:d}')
def check_attempt(context, attempt):
    job = context.world.truth.jobs['job-1']
    assert job.attempt == attempt, job


@then('no job was lost')
def check_lost(context):
    open_phases = {JobPhase.QUEUED, JobPhase.STARTED}
    jobs = context.world.truth.jobs.values()
    assert all(job.phase in open_phases for job in jobs), list(jobs)


@then('VM "{vm_id}" was given at most {limit:d} attempts')
def check_attempts(context, vm_id, limit):
    tasks = context.world.platform.tasks.values()
    started = [task for task in tasks if task.vm_id == vm_id]
    assert len(started) <= limit, len(started)


@then('at least {minimum:d} jobs have succeeded')
def check_succeeded(context, minimum):
    assert len(context.world.platform.succeeded) >= minimum


@then('a job is set aside because "{reason}"')
def check_aside(context, reason):
    jobs = list(context.world.truth.jobs.values())
    assert jobs[0].phase is JobPhase.SET_ASIDE, jobs
    assert jobs[0].output == reason, jobs
