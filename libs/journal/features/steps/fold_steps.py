"""Steps for the fold of records."""

import dataclasses
from unittest import mock

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from tarragonlb.journal import settingfold
from tarragonlb.journal.codec import encode_record
from tarragonlb.journal.fold import CURRENT_VERSION, apply_blob
from tarragonlb.journal.state import State
from tarragonlb.journal.vmfold import count_charged
from tarragonlb.model.ownership import (
    ChargeReason,
    VmAdopted,
    VmCharged,
    VmMoved,
    VmReleased,
)
from tarragonlb.model.record import SettingPublished, TermTaken
from tarragonlb.model.recordhead import HeadFactory

BUDGET = 'budgets:\n  - pool: a\n    max_unavailable: 1\n'


def make_head(head_factory, author=''):
    return head_factory.make_head(0, 0, author)


@given('a log')
def start(context):
    context.state = State()
    context.head_factory = HeadFactory('test', '1')
    context.outcomes = []


@when('two operators publish "{path}" on version 0')
def publish_twice(context, path):
    for author in ('operator-1', 'operator-2'):
        record = SettingPublished(
            head=make_head(context.head_factory, author),
            path=path,
            text='{}',
            source='test',
            expected_version=0,
        )
        append(context, encode_record(record))


@when('"{path}" is published on version 7')
def publish_stale(context, path):
    record = SettingPublished(
        head=make_head(context.head_factory),
        path=path,
        text='{}',
        source='test',
        expected_version=7,
    )
    context.blob = encode_record(record)


@then('the digest does not depend on the text of the rejection')
def check_digest_without_text(context):
    with mock.patch.object(
        settingfold, '_explain_version', return_value='another text'
    ):
        append(context, context.blob)
    assert context.outcomes[-1].reason == 'another text'
    other = State()
    assert not apply_blob(other, 1, context.blob).accepted
    assert other.digest == context.state.digest


@when('a record is appended twice')
def append_twice(context):
    record = TermTaken(
        head=make_head(context.head_factory),
        scope='s',
        expected_number=0,
        holder='a',
    )
    blob = encode_record(record)
    append(context, blob)
    append(context, blob)


@then('the first one is accepted')
def check_first(context):
    assert context.outcomes[0].accepted


@then('the second one is rejected with "{reason}"')
def check_second(context, reason):
    assert context.outcomes[1].reason.startswith(reason), context.outcomes


@then('it is accepted once')
def check_once(context):
    accepted = [outcome.accepted for outcome in context.outcomes]
    assert accepted == [True, False]


@then('daemons that fold any stream have the same digest and one pool per VM')
def check_any(context):
    names = strategies.sampled_from(('vm-1', 'vm-2', 'vm-3'))
    pools = strategies.sampled_from(('a', 'b'))
    small = strategies.integers(0, 4)
    head_factory = HeadFactory('test', '1')
    heads = strategies.builds(lambda: make_head(head_factory))
    records = strategies.one_of(
        strategies.builds(
            VmAdopted,
            head=heads,
            vm_id=names,
            pool=pools,
            zone=strategies.just('z'),
            rack=strategies.just('r'),
        ),
        strategies.builds(
            VmCharged,
            head=heads,
            vm_id=names,
            expected_version=small,
            reason=strategies.sampled_from(ChargeReason),
            boot=small,
            wave_id=strategies.just(''),
            term=small,
        ),
        strategies.builds(
            VmReleased,
            head=heads,
            vm_id=names,
            expected_version=small,
            boot=small,
        ),
        strategies.builds(
            VmMoved,
            head=heads,
            vm_id=names,
            expected_version=small,
            pool=pools,
            term=small,
        ),
        strategies.builds(
            TermTaken,
            head=heads,
            scope=strategies.just('planner'),
            expected_number=small,
            holder=strategies.sampled_from(('p', 'q')),
        ),
        strategies.builds(
            SettingPublished,
            head=heads,
            path=strategies.just('/teams/t'),
            text=strategies.sampled_from((BUDGET, '{}', 'x: [')),
            source=strategies.just('test'),
            expected_version=small,
        ),
    )

    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(strategies.lists(records, max_size=40))
    def check(stream):
        first = State()
        second = State()
        for offset, record in enumerate(stream, start=1):
            blob = encode_record(record)
            before = count_charged(first, 'a')
            outcome = apply_blob(first, offset, blob)
            assert apply_blob(second, offset, blob) == outcome
            assert first.digest == second.digest
            assert_budget(first, record, outcome, before)

    check()


def assert_budget(state, record, outcome, before):
    planned = (
        isinstance(record, VmCharged)
        and record.reason is not ChargeReason.FAILURE
        and outcome.accepted
    )
    if planned and 't' in state.teams and state.teams['t'].budgets:
        charged = count_charged(state, 'a')
        assert charged <= 1 or charged == before


def append(context, blob):
    offset = context.state.offset + 1
    context.outcomes.append(apply_blob(context.state, offset, blob))


@when('two versions reject the same record with different texts')
def fold_with_two_texts(context):
    record = TermTaken(
        head=make_head(context.head_factory),
        scope='s',
        expected_number=1,
        holder='a',
    )
    blob = encode_record(record)
    context.digests = []
    for reason in ('one text', 'another text', None):
        rules = {
            **CURRENT_VERSION.rules,
            TermTaken: lambda *_, text=reason: text,
        }
        state = State()
        apply_blob(
            state, 1, blob, dataclasses.replace(CURRENT_VERSION, rules=rules)
        )
        context.digests.append(state.digest)


@then('both have the same digest, and another one if it is accepted')
def check_digests(context):
    first, second, accepted = context.digests
    assert first == second, 'the digests differ'
    assert first != accepted
