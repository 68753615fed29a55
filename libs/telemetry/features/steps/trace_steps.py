import json

from behave import given, then, when

from tarragonlb.telemetry.trace import trace_job


def add_line(context, name, line):
    if not hasattr(context, 'logs'):
        context.logs = {}
    context.logs.setdefault(name, []).append(line)


@given('the log of "{name}" shows at {at:d} s that tasks "{tasks}" start')
def add_start_line(context, name, at, tasks):
    line = {
        'sentence': 'owner: Starting tasks.',
        'timestamp': at,
        'starts': [[task, 1, 'w1'] for task in tasks.split()],
    }
    add_line(context, name, json.dumps(line))


@given('the log of "{name}" shows at {at:d} s that job "{job}" was submitted')
def add_submission_line(context, name, at, job):
    line = {
        'sentence': 'desk: Job submitted.',
        'timestamp': at,
        'job': job,
    }
    add_line(context, name, json.dumps(line))


@given('the log of "{name}" holds a line that is not JSON and contains "{job}"')
def add_invalid_line(context, name, job):
    add_line(context, name, f'Traceback about {job}')


@given('a line "{prefix}" before "{sentence}" of job "{job}"')
def add_benchmark_line(context, prefix, sentence, job):
    line = {'sentence': sentence, 'timestamp': 99, 'job': job}
    add_line(context, 'bench', prefix + json.dumps(line))


@when('job "{job}" is traced')
def trace(context, job):
    context.events = trace_job(job, context.logs.items())


@then('the timeline is "{text}"')
def check_timeline(context, text):
    timeline = ', '.join(
        f'{event.source} {event.seconds:g} {event.sentence}'
        for event in context.events
    )
    assert timeline == text, timeline


@then('the last event lists only the task "{task}"')
def check_filtered_tasks(context, task):
    starts = context.events[-1].details['starts']
    assert [row[0] for row in starts] == [task], starts


@given(
    'the log of "{name}" shows at {at:d} s that jobs "{jobs}" were submitted'
)
def add_submissions_line(context, name, at, jobs):
    line = {
        'sentence': 'desk: Jobs submitted.',
        'timestamp': at,
        'jobs': [[job, 0.2] for job in jobs.split()],
    }
    add_line(context, name, json.dumps(line))


@then('the event lists only the job "{job}"')
def check_job_rows(context, job):
    (event,) = context.events
    assert event.details['jobs'] == [[job, 0.2]], event
