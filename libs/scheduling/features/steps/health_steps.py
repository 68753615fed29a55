from behave import then

from tarragonlb.scheduling.health import assess_health


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
