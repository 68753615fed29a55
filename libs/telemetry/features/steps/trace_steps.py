import json

from behave import given, then, when

from tarragonlb.telemetry.trace import trace_job


def add_line(context, name, line):
    if not hasattr(context, 'logs'):
        context.logs = {}
    context.logs.setdefault(name, []).append(line)


@given('the log of "{name}" says at {at:d} s that tasks "{tasks}" start')
def say_start(context, name, at, tasks):
    line = {
        'sentence': 'owner: Starting tasks.',
        'timestamp': at,
        'starts': [[task, 1, 'w1'] for task in tasks.split()],
    }
    add_line(context, name, json.dumps(line))


@given('the log of "{name}" says at {at:d} s that job "{job}" was handed in')
def say_submitted(context, name, at, job):
    line = {
        'sentence': 'desk: Job submitted.',
        'timestamp': at,
        'job': job,
    }
    add_line(context, name, json.dumps(line))


@given('the log of "{name}" holds a line that is no JSON and names "{job}"')
def say_nonsense(context, name, job):
    add_line(context, name, f'Traceback about {job}')


@given('a line "{prefix}" before "{sentence}" of job "{job}"')
def say_on_bench(context, prefix, sentence, job):
    line = {'sentence': sentence, 'timestamp': 99, 'job': job}
    add_line(context, 'bench', prefix + json.dumps(line))


@when('job "{job}" is traced')
def trace(context, job):
    context.events = trace_job(job, context.logs.items())


@then('the timeline is "{text}"')
def check_timeline(context, text):
    told = ', '.join(
        f'{event.source} {event.seconds:g} {event.sentence}'
        for event in context.events
    )
    assert told == text, told


@then('the last event names only the task "{task}"')
def check_own(context, task):
    starts = context.events[-1].details['starts']
    assert [row[0] for row in starts] == [task], starts
