"""Steps for the reading of settings."""

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
def keep_document(context, path):
    context.path = path
    context.document = context.text


@given('the text {quoted} for "{path}"')
def keep_text(context, quoted, path):
    context.path = path
    context.document = json.loads(quoted)


@when('it is read')
def read(context):
    try:
        read_document(context.document, context.path)
    except SettingsError as error:
        context.problems = error.problems
    else:
        context.problems = ()


@then('these problems are reported')
def compare(context):
    found = [
        (problem.line, problem.field, problem.message)
        for problem in context.problems
    ]
    assert len(found) == len(context.table.rows), found
    for row, (line, field, message) in zip(context.table, found, strict=True):
        assert (int(row['line']), row['field']) == (line, field), found
        assert message.startswith(row['message']), found


@then('the problem is on line {line:d}')
def compare_line(context, line):
    assert [problem.line for problem in context.problems] == [line]


@then('any text under any path is read without another error')
def read_any(context):
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
