from behave import then

from tarragonlb.scheduling.health import assess_health
from tarragonlb.scheduling.idlejobs import IdleJobs


@then('{count:d} permanent task is idle in phase "{phase}"')
def check_idle(context, count, phase):
    context.health = assess_health(context.scheduler.state, context.now)
    assert context.health.idle_permanent_count == count, context.health
    phases = [idle.phase.name for idle in context.health.idle_permanent]
    assert phases == [phase.upper()] * count, phases


@then(
    'its obstacles are "{first}" on {many:d} workers and "{second}" on {few:d}'
)
def check_obstacles(context, first, many, second, few):
    (idle,) = context.health.idle_permanent
    assert idle.obstacles == {first: many, second: few}, idle


@then(
    'the oldest report is {age:d} seconds old after {seconds:d} seconds '
    'without reports'
)
def check_age(context, age, seconds):
    now = context.now + seconds
    context.health = assess_health(context.scheduler.state, now)
    assert round(context.health.oldest_report_seconds) == age, context.health


@then('{count:d} worker is silent')
def check_silent(context, count):
    assert context.health.silent == count, context.health


@then('no job has been idle for long')
def check_none_idle(context):
    context.idle_jobs = IdleJobs()
    assert context.idle_jobs.update(context.scheduler.state, context.now) == ()


@then(
    'after {seconds:d} seconds {count:d} job has been idle for {idle:d} '
    'seconds, in step {step:d}'
)
def check_idle_jobs(context, seconds, count, idle, step):
    found = context.idle_jobs.update(
        context.scheduler.state, context.now + seconds
    )
    assert context.idle_jobs.count == count, found
    (context.idle_job,) = found
    assert context.idle_job.idle_seconds == idle, context.idle_job
    assert context.idle_job.step == step, context.idle_job


@then('{count:d} of its tasks are "{phase}"')
def check_phases(context, phase, count):
    assert context.idle_job.phases == {phase: count}, context.idle_job


@then('{count:d} of its tasks wait, and {workers:d} workers are "{obstacle}"')
def check_phases_and_obstacles(context, count, workers, obstacle):
    check_phases(context, 'waiting', count)
    assert context.idle_job.obstacles == {obstacle: workers}, context.idle_job
