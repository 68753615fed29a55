"""Steps for issued idempotency keys."""

import hypothesis
from behave import given, then, when
from hypothesis import stateful, strategies

from tarragonlb.routing.ledger import ClaimResult, KeyLedger, parse_key

FIXED = hypothesis.settings(
    max_examples=200,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
)
ENTRIES = ('entry-1', 'entry-2', 'entry-3')


class KeyMachine(stateful.RuleBasedStateMachine):
    """Entry VMs that issue and claim keys, run requests, and are killed."""

    keys = stateful.Bundle('keys')

    def __init__(self):
        super().__init__()
        self.starts = 0
        self.ledgers = {}
        self.runs = {}
        self.open_claims = []
        for name in ENTRIES:
            self.start(name)

    def start(self, name):
        self.starts += 1
        self.ledgers[name] = KeyLedger(name, f'i{self.starts}', b's', 16)

    @stateful.rule(target=keys, name=strategies.sampled_from(ENTRIES))
    def issue(self, name):
        return self.ledgers[name].issue('archive', 1)[0]

    @stateful.rule(
        key=keys,
        answer_lost=strategies.booleans(),
        end=strategies.sampled_from(('ran', 'not run', 'unknown', 'open')),
    )
    def claim_and_run(self, key, answer_lost, end):
        parts = parse_key(key)
        result = self.ledgers[parts.issuer].claim(parts, 'archive')
        if result is not ClaimResult.GRANTED or answer_lost:
            return
        if end == 'open':
            self.open_claims.append(key)
            return
        if end != 'not run':
            self.run(key)
        self.record_outcome(key, end)

    @stateful.precondition(lambda self: self.open_claims)
    @stateful.rule(end=strategies.sampled_from(('ran', 'not run', 'unknown')))
    def run_late(self, end):
        key = self.open_claims.pop()
        if end != 'not run':
            self.run(key)
        self.record_outcome(key, end)

    @stateful.rule(name=strategies.sampled_from(ENTRIES))
    def kill(self, name):
        self.start(name)

    def run(self, key):
        self.runs[key] = self.runs.get(key, 0) + 1

    def record_outcome(self, key, end):
        if end != 'unknown':
            parts = parse_key(key)
            ledger = self.ledgers[parts.issuer]
            ledger.record_outcome(parts, 'archive', ran=end == 'ran')

    @stateful.invariant()
    def runs_once(self):
        assert all(count == 1 for count in self.runs.values()), self.runs


@then('no key is used by two runs despite kills, lost answers and retries')
def run_machine(context):
    stateful.run_state_machine_as_test(KeyMachine, settings=FIXED)


@given('a ledger that has issued a key to team "{team}"')
def issue_key(context, team):
    context.ledger = KeyLedger('entry-1', 'i1', b's')
    context.key = context.ledger.issue(team, 1)[0]


@given('a ledger of {window:d} keys that has issued one to "{team}"')
def issue_in_window(context, window, team):
    context.ledger = KeyLedger('entry-1', 'i1', b's', window)
    context.key = context.ledger.issue(team, 1)[0]


@when('{count:d} more keys are issued')
def issue_more(context, count):
    context.ledger.issue('archive', count)


@then('team "{team}" may claim it once')
def claim_twice(context, team):
    key = parse_key(context.key)
    assert context.ledger.claim(key, team) is ClaimResult.GRANTED
    assert context.ledger.claim(key, team) is ClaimResult.TAKEN


@then('team "{team}" may not claim it')
def claim_other(context, team):
    assert (
        context.ledger.claim(parse_key(context.key), team) is ClaimResult.FORGED
    )


@then('a changed key may not be claimed')
def claim_changed(context):
    changed = parse_key(f'{context.key[:-1]}x')
    assert context.ledger.claim(changed, 'archive') is ClaimResult.FORGED


@then('the claim of the first key is answered "{answer}"')
def claim_expired(context, answer):
    result = context.ledger.claim(parse_key(context.key), 'archive')
    assert result.value == answer


@then('any text is parsed without an error')
def parse_any(context):
    @FIXED
    @hypothesis.given(
        strategies.one_of(
            strategies.text(),
            strategies.lists(strategies.text(max_size=4), max_size=6).map(
                lambda parts: '.'.join(['tk1', *parts])
            ),
        )
    )
    def check(text):
        key = parse_key(text)
        assert key is None or key.sequence >= 0

    check()
