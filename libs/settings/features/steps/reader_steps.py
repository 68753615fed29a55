"""Steps for reading settings documents."""

import json

import hypothesis
from behave import given, then, when
from hypothesis import strategies

from tarragonlb.settings.problem import SettingsError
from tarragonlb.settings.reader import read_document

PATHS = ('/fleet', '/pools/portal', '/teams/archive', '/teams/', '/x', '')
KEYS = (
    'services',
    'quota',
    'cores',
    'budgets',
    'pool',
    'tokens',
    'weights',
    'at_once',
)


@given('the document "{path}"')
def set_document(context, path):
    context.path = path
    context.document = context.text


@given('the text {quoted} for "{path}"')
def set_text(context, quoted, path):
    context.path = path
    context.document = json.loads(quoted)


@when('it is read')
def read_text(context):
    try:
        read_document(context.document, context.path)
    except SettingsError as error:
        context.problems = error.problems
    else:
        context.problems = ()


@then('these problems are reported')
def check_problems(context):
    found = [
        (problem.line, problem.field, problem.message)
        for problem in context.problems
    ]
    assert len(found) == len(context.table.rows), found
    for row, (line, field, message) in zip(context.table, found, strict=True):
        assert (int(row['line']), row['field']) == (line, field), found
        assert message.startswith(row['message']), found


@then('the problem is on line {line:d}')
def check_line(context, line):
    assert [problem.line for problem in context.problems] == [line]


@then('reading any text at any path raises no other error')
def check_any_text(context):
    scalars = strategies.one_of(
        strategies.none(),
        strategies.booleans(),
        strategies.integers(),
        strategies.floats(),
        strategies.text(max_size=5),
    )
    trees = strategies.recursive(
        scalars,
        lambda inner: strategies.one_of(
            strategies.lists(inner, max_size=3),
            strategies.dictionaries(
                strategies.sampled_from(KEYS), inner, max_size=4
            ),
        ),
    )
    texts = strategies.one_of(strategies.text(), trees.map(json.dumps))

    @hypothesis.settings(
        max_examples=300, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(texts, strategies.sampled_from(PATHS))
    def check(text, path):
        try:
            read_document(text, path)
        except SettingsError as error:
            assert error.problems
            assert all(problem.line >= 1 for problem in error.problems)

    check()
