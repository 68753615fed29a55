"""Checks of the evidence that each trial gathered."""

from collections import Counter

from behave import given, then


@given('the trial under "{fault}"')
def take_trial(context, fault):
    context.fault = fault
    context.evidence = context.trials[fault].result()


@then('the wave ended with each VM rebooted once')
def check_wave(context):
    evidence = context.evidence
    reboots = Counter(act.vm_id for act in evidence.report.reboots)
    assert evidence.wave_finished, reboots
    assert set(reboots.values()) == {1} and len(reboots) == 6, reboots


@then('at most {count:d} VMs were away at each planned act')
def check_budget(context, count):
    most_away = context.evidence.report.most_away
    assert 0 < most_away['transcription'] <= count, most_away


@then('every entry VM always showed each VM in one pool')
def check_pools(context):
    assert len(context.evidence.vm_pools) == 1, context.evidence.vm_pools
    rows = next(iter(context.evidence.vm_pools))
    assert len(dict(rows)) == len(rows) == 6, rows
    assert {pool for _, pool in rows} == {'transcription'}, rows


@then('no endpoint got work later than {seconds:d} s after its drain')
def check_leaving(context, seconds):
    report = context.evidence.report
    reboots = {act.vm_id: act.at for act in report.reboots}
    for drain in report.drains:
        end = reboots.get(drain.vm_id, float('inf'))
        late = [
            one
            for one in context.evidence.events
            if one.event == 'started'
            and one.endpoint == drain.vm_id
            and drain.at + seconds < one.at < end
        ]
        assert not late, late[:3]
    held = [reboots[one.vm_id] - one.at for one in report.drains[:2]]
    assert max(held) > seconds, 'no drain lasted long enough to tell'


@then('no planned act cut a request or a task')
def check_cuts(context):
    assert not context.evidence.report.violations, context.evidence.report
    cut = [one for one in context.evidence.events if one.event == 'cut']
    assert not cut, cut


@then('the change was in force everywhere within {seconds:d} s')
def check_force(context, seconds):
    assert context.evidence.change_active, context.evidence.versions


@then('no entry VM showed an older version again')
def check_versions(context):
    for entry, seen in context.evidence.versions.items():
        assert seen == sorted(seen), (entry, seen)
        assert seen[-1] == 2, (entry, seen)


@then('each race had one winner')
def check_races(context):
    assert set(context.evidence.race_winners) <= {1}, context.evidence
