"""Checks of the evidence that each trial collected."""

from collections import Counter

from behave import given, then


@given('the trial under "{fault}"')
def get_trial(context, fault):
    context.fault = fault
    context.evidence = context.trials[fault].result()


@then('the wave finished and each VM was rebooted once')
def check_wave(context):
    evidence = context.evidence
    reboots = Counter(action.vm_id for action in evidence.report.reboots)
    assert evidence.wave_finished, reboots
    assert set(reboots.values()) == {1} and len(reboots) == 6, reboots


@then('at most {count:d} VMs were unavailable at each drain')
def check_budget(context, count):
    most_away = context.evidence.report.most_away
    assert 0 < most_away['transcription'] <= count, most_away


@then('every entry VM always listed each VM in one pool')
def check_pools(context):
    assert len(context.evidence.vm_pools) == 1, context.evidence.vm_pools
    rows = next(iter(context.evidence.vm_pools))
    assert len(dict(rows)) == len(rows) == 6, rows
    assert {pool for _, pool in rows} == {'transcription'}, rows


@then('no endpoint received work later than {seconds:d} s after its drain')
def check_drained_endpoints(context, seconds):
    report = context.evidence.report
    reboots = {action.vm_id: action.at for action in report.reboots}
    for drain in report.drains:
        reboot_at = reboots.get(drain.vm_id, float('inf'))
        late = [
            event
            for event in context.evidence.events
            if event.event == 'started'
            and event.endpoint == drain.vm_id
            and drain.at + seconds < event.at < reboot_at
        ]
        assert not late, late[:3]
    durations = [reboots[first.vm_id] - first.at for first in report.drains[:2]]
    assert max(durations) > seconds, 'no drain lasted long enough for the check'


@then('no planned action interrupted a request or a task')
def check_interruptions(context):
    assert not context.evidence.report.violations, context.evidence.report
    interrupted = [
        event for event in context.evidence.events if event.event == 'cut'
    ]
    assert not interrupted, interrupted


@then('the change was active on every entry VM within {seconds:d} s')
def check_activation(context, seconds):
    assert context.evidence.change_active, context.evidence.versions


@then('no entry VM returned to an older version')
def check_versions(context):
    for entry, versions in context.evidence.versions.items():
        assert versions == sorted(versions), (entry, versions)
        assert versions[-1] == 2, (entry, versions)


@then('each race had one winner')
def check_races(context):
    assert set(context.evidence.race_winners) <= {1}, context.evidence
