"""Steps for checks across documents, and for paths of single settings."""

import json

from behave import given, then, when

from tarragonlb.settings.crosscheck import SourceDocument, check_documents
from tarragonlb.settings.problem import SettingsError
from tarragonlb.settings.settingpath import find_value, split_path


@given('the documents of a fleet')
def set_documents(context):
    context.texts = [
        SourceDocument(
            path=row['path'],
            source=f'{row["path"].rpartition("/")[2]}.yaml',
            text=row['text'].replace('\\n', '\n').replace('{a}', 'a' * 64),
        )
        for row in context.table
    ]


@when('the documents are checked')
def check_all(context):
    context.problems = check_documents(context.texts)


@then('these problems are found')
def compare_problems(context):
    found = [str(problem) for problem in context.problems]
    assert found == [row['problem'] for row in context.table], found


@then('the only problem starts with "{message}"')
def check_only_problem(context, message):
    (problem,) = context.problems
    assert problem.message.startswith(message), problem


@then('{path} is {setting} from line {line}')
def check_value(context, path, setting, line):
    found = find_value(context.document, split_path(path))
    assert found.setting == json.loads(setting), found
    assert found.line == (None if line == 'none' else int(line)), found


@then('looking up {path} fails with "{message}"')
def check_missing(context, path, message):
    try:
        find_value(context.document, split_path(path))
    except SettingsError as error:
        (problem,) = error.problems
        assert str(problem).startswith(message), problem
    else:
        raise AssertionError('a value was found')
