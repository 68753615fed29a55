"""Checks of what callers and teams were told against what really ran."""

from collections import Counter

from behave import then

REFUSED = 'not-run'
FAULTY_ENDPOINTS = frozenset(
    ('transcription-3', 'transcription-4', 'transcription-5')
)


def list_started(evidence):
    return [one for one in evidence.events if one.event == 'started']


@then("every response was whole and its caller's own")
def check_answers(context):
    requests = context.evidence.requests
    answered = [one for one in requests if one.status == 200]
    strange = [one for one in answered if not one.own]
    assert answered and not strange, strange


@then('no request ran that was refused as not run')
def check_refusals(context):
    started = {one.mark for one in list_started(context.evidence)}
    told = [one for one in context.evidence.requests if one.verdict == REFUSED]
    lies = [one for one in told if one.mark in started]
    assert not lies, lies


@then('no key ran twice')
def check_keys(context):
    marks = [one.mark for one in list_started(context.evidence)]
    keys = Counter(
        mark.rpartition('-')[0] for mark in marks if mark.startswith('key-')
    )
    assert keys and max(keys.values()) == 1, keys.most_common(3)


@then('no job had two attempts')
def check_attempts(context):
    tasks = context.evidence.report.tasks
    begun = Counter(task_id.partition('.')[0] for task_id in tasks)
    assert begun and max(begun.values()) == 1, begun


@then('every job has ended or is shown in doubt')
def check_jobs(context):
    phases = context.evidence.jobs
    final = {'succeeded', 'unknown', 'failed', 'set-aside'}
    assert phases and set(phases.values()) <= final, phases


@then('the daemon that was asked to stop cut nothing')
def check_stop(context):
    evidence = context.evidence
    told = next(one for one in evidence.requests if one.mark == 'stopping')
    assert evidence.exit_code == 0, evidence.exit_code
    ran_at = {one.endpoint for one in evidence.events if one.mark == 'stopping'}
    faulty = 'endpoint' in context.fault and ran_at <= FAULTY_ENDPOINTS
    assert told.own or faulty, told
