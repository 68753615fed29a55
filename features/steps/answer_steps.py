"""Compares the responses to clients with what the endpoints and workers ran."""

from collections import Counter

from behave import then

REFUSED = 'not-run'
FAULTY_ENDPOINTS = frozenset(
    ('transcription-3', 'transcription-4', 'transcription-5')
)


def list_started_events(evidence):
    return [event for event in evidence.events if event.event == 'started']


@then('every response was complete and matched its request')
def check_responses(context):
    requests = context.evidence.requests
    answered = [record for record in requests if record.status == 200]
    mismatched = [record for record in answered if not record.matches]
    assert answered and not mismatched, mismatched


@then('no request that was refused as not run had started')
def check_refusals(context):
    started = {event.mark for event in list_started_events(context.evidence)}
    refused = [
        record
        for record in context.evidence.requests
        if record.verdict == REFUSED
    ]
    started_anyway = [record for record in refused if record.mark in started]
    assert not started_anyway, started_anyway


@then('no idempotency key ran twice')
def check_keys(context):
    marks = [event.mark for event in list_started_events(context.evidence)]
    keys = Counter(
        mark.rpartition('-')[0] for mark in marks if mark.startswith('key-')
    )
    assert keys and max(keys.values()) == 1, keys.most_common(3)


@then('no job had two attempts')
def check_attempts(context):
    tasks = context.evidence.report.tasks
    attempts = Counter(task_id.partition('.')[0] for task_id in tasks)
    assert attempts and max(attempts.values()) == 1, attempts


@then('every job has ended, is unknown or is set aside')
def check_jobs(context):
    phases = context.evidence.jobs
    final = {'succeeded', 'unknown', 'failed', 'set-aside'}
    assert phases and set(phases.values()) <= final, phases


@then('the daemon that was asked to stop completed its request')
def check_graceful_stop(context):
    evidence = context.evidence
    stopping = next(
        record for record in evidence.requests if record.mark == 'stopping'
    )
    assert evidence.exit_code == 0, evidence.exit_code
    endpoints = {
        event.endpoint for event in evidence.events if event.mark == 'stopping'
    }
    faulty = 'endpoint' in context.fault and endpoints <= FAULTY_ENDPOINTS
    assert stopping.matches or faulty, stopping
