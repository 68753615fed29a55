"""Steps for the burn report and its meter."""

import json
import random
import re

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from tarragonlb.journal import burnfold
from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import apply_blob
from tarragonlb.journal.state import State
from tarragonlb.model.burn import (
    MINUTES_PER_DAY,
    BurnEntry,
    BurnReported,
    ServiceCount,
)
from tarragonlb.model.record import SettingPublished
from tarragonlb.model.recordhead import HeadFactory
from tarragonlb.settings.schema import ObjectiveSettings
from tarragonlb.telemetry.burnrate import forecast_days
from tarragonlb.telemetry.burnreport import report_service
from tarragonlb.telemetry.latency import find_quantile
from tarragonlb.telemetry.meter import (
    MAX_REPORT_BYTES_PER_SECOND,
    MAX_REPORT_INTERVAL_MINUTES,
    BurnMeter,
    RequestResult,
    choose_report_interval,
)
from tarragonlb.telemetry.page import render_page

NOW = 30_000_000
SERVICE = 'archive/s'
CAUSE = 'wave 70e94343 on pool a <b>'
LATENCY = ((0, 100),)


@given(
    'a log with the team "{team}" and the objective {share:g} '
    'within {seconds:g} seconds'
)
def create_log(context, team, share, seconds):
    context.state = State()
    context.head_factory = HeadFactory('test', '1')
    objective = {'availability': share, 'latency_seconds': seconds}
    settings = {'services': {'s': {'pool': 'a', 'objective': objective}}}
    context.objective = ObjectiveSettings(**objective)
    record = SettingPublished(
        head=context.head_factory.make_head(0, 0),
        path=f'/teams/{team}',
        text=json.dumps(settings),
        source='test',
        expected_version=0,
    )
    append(context, record)


def append(context, record):
    context.record = record
    blob = encode_record(record)
    offset = context.state.offset + 1
    context.outcome = apply_blob(context.state, offset, blob)


def report(context, entry, count, minute=NOW):
    record = BurnReported(
        head=context.head_factory.make_head(0, 0),
        entry=entry,
        minute=minute,
        counts=(count,),
    )
    append(context, record)


@when('"{entry}" reports {good:d} good, {slow:d} slow and {bad:d} bad')
def report_counts(context, entry, good, slow, bad):
    count = ServiceCount(
        service=SERVICE,
        good=good,
        slow=slow,
        bad=bad,
        latency=LATENCY,
        causes=(CAUSE,),
    )
    report(context, entry, count)


@when(
    '"{entry}" reports {good:d} good, {slow:d} slow and {bad:d} bad '
    'of "{service}"'
)
def report_other_service(context, entry, good, slow, bad, service):
    report(context, entry, ServiceCount(service=service, good=good))


@when('the team replaces its service by "{service}"')
def replace_service(context, service):
    record = SettingPublished(
        head=context.head_factory.make_head(0, 0),
        path='/teams/archive',
        text=json.dumps({'services': {service: {'pool': 'a'}}}),
        source='test',
        expected_version=1,
    )
    append(context, record)


@then('only "{service}" is kept')
def check_services(context, service):
    assert list(context.state.burn) == [service], context.state.burn


@when('the last summary is appended again')
def append_again(context):
    append(context, context.record)


@when('{bad:d} of 1000 requests were bad {days:d} days ago')
def report_past(context, bad, days):
    count = ServiceCount(service=SERVICE, good=1000 - bad, bad=bad)
    report(context, 'entry-1', count, NOW - days * MINUTES_PER_DAY)


def read_report(context):
    entry = context.state.burn[SERVICE]
    return report_service(entry, context.objective, NOW)


@then('the report shows {requests:d} requests, {bad:d} bad and {slow:d} slow')
def check_report(context, requests, bad, slow):
    shown = read_report(context)
    assert (shown.requests, shown.bad, shown.slow) == (requests, bad, slow)


@then('the last summary is rejected')
def check_rejected(context):
    assert not context.outcome.accepted
    assert not context.state.burn


@then('the objective is "{status}" with {left:g} of the budget left')
def check_status(context, status, left):
    budget = read_report(context).availability
    assert budget.status == status, budget
    assert abs(budget.left - left) < 1e-6, budget


@then('{left:g} left at rate {rate:g} over 28 days lasts {days} days')
def check_forecast(context, left, rate, days):
    forecast = forecast_days(left, rate, 28)
    assert forecast == (None if days == 'none' else float(days)), forecast


@given('a meter')
def make_meter(context):
    context.meter = BurnMeter()
    context.objective = ObjectiveSettings(availability=0.9, latency_seconds=2)


@when('requests take {a:g}, {b:g}, {c:g} and {d:g} seconds and one is refused')
def meter_requests(context, a, b, c, d):
    for seconds in (a, b, c, d):
        result = RequestResult(service=SERVICE, seconds=seconds, answered=True)
        context.meter.add(result, context.objective)
    result = RequestResult(service=SERVICE, seconds=0.1, answered=False)
    context.meter.add(result, context.objective)
    context.meter.add_causes(SERVICE, (CAUSE,))
    context.counts = context.meter.collect_and_reset()


@then('it counts {good:d} good, {slow:d} slow and {bad:d} bad')
def check_counts(context, good, slow, bad):
    (count,) = context.counts
    assert (count.good, count.slow, count.bad) == (good, slow, bad)
    assert context.meter.collect_and_reset() == ()


@then('the median is about {seconds:g} seconds')
def check_median(context, seconds):
    median = find_quantile(context.counts[0].latency, 0.5)
    assert abs(median - seconds) <= 0.25 * seconds, median


@then('causes are reported only if a request was slow or bad')
def check_causes(context):
    assert context.counts[0].causes == (CAUSE,)
    result = RequestResult(service=SERVICE, seconds=0.1, answered=True)
    context.meter.add(result, context.objective)
    context.meter.add_causes(SERVICE, (CAUSE,))
    assert context.meter.collect_and_reset()[0].causes == ()


def read_page(context):
    return render_page([read_report(context)], 'Written now.')


@then('the page contains "{text}"')
def check_page(context, text):
    plain = re.sub('<[^>]*>', '', read_page(context))
    assert text in ' '.join(plain.split()), plain[-3000:]


@then('the page loads nothing over the network')
def check_page_links(context):
    page = read_page(context)
    assert page.count('<svg') == 2
    assert '<script' not in page
    assert not re.search('(src|href)="(?!#)', page.replace('xlink:href="#', ''))


@then('any report size and number of entry VMs keep within the rate limit')
def check_interval(context):
    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.integers(0, 10**6), strategies.integers(1, 100)
    )
    def check(size, entries):
        minutes = choose_report_interval(size, entries)
        rate = size * entries / (minutes * 60)
        assert 1 <= minutes <= MAX_REPORT_INTERVAL_MINUTES
        assert (
            rate <= MAX_REPORT_BYTES_PER_SECOND
            or minutes == MAX_REPORT_INTERVAL_MINUTES
        )

    check()


@then('any summaries in any order give the same counts in few buckets')
def check_order_and_bounds(context):
    counts = strategies.builds(
        ServiceCount,
        service=strategies.just(SERVICE),
        good=strategies.integers(0, 9),
        bad=strategies.integers(0, 9),
        latency=strategies.lists(
            strategies.tuples(strategies.integers(-9, 9), strategies.just(1)),
            max_size=3,
            unique=True,
        ).map(tuple),
        causes=strategies.lists(strategies.text(max_size=2)).map(tuple),
    )
    minutes = strategies.integers(NOW, NOW + 20 * MINUTES_PER_DAY)

    def fold(stream):
        entry = BurnEntry(service=SERVICE)
        for count, minute in stream:
            entry = burnfold.add_count(entry, count, minute)
        return entry

    @hypothesis.settings(
        max_examples=200, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        strategies.lists(strategies.tuples(counts, minutes), max_size=30),
        strategies.randoms(use_true_random=False),
    )
    def check(stream, order: random.Random):
        shuffled = list(stream)
        order.shuffle(shuffled)
        entry = fold(stream)
        days = [(day.start, day.good, day.bad) for day in entry.days]
        other = fold(shuffled)
        assert days == [(day.start, day.good, day.bad) for day in other.days]
        assert [day.latency for day in other.days] == [
            day.latency for day in entry.days
        ]
        assert sum(day.good for day in entry.days) == sum(
            count.good for count, _ in stream
        )
        assert len(entry.fine) <= burnfold.MAX_FINE_BUCKETS
        assert len(entry.hours) <= burnfold.MAX_HOUR_BUCKETS
        assert len(entry.days) <= burnfold.MAX_DAY_BUCKETS
        for day in entry.days:
            assert len(day.causes) <= burnfold.MAX_CAUSES

    check()
