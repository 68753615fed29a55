"""Steps for checks over several documents, and for paths inside one."""

import json

from behave import given, then, when

from tarragonlb.settings.crosscheck import SourceDocument, check_documents
from tarragonlb.settings.problem import SettingsError
from tarragonlb.settings.settingpath import find_value, split_path


@given('the documents of a tree')
def keep_tree(context):
    context.texts = [
        SourceDocument(
            path=row['path'],
            source=f'{row["path"].rpartition("/")[2]}.yaml',
            text=row['text'].replace('\\n', '\n').replace('{a}', 'a' * 64),
        )
        for row in context.table
    ]


@when('the tree is checked')
def check(context):
    context.problems = check_documents(context.texts)


@then('these problems are found')
def compare(context):
    found = [str(problem) for problem in context.problems]
    assert found == [row['problem'] for row in context.table], found


@then('the only problem starts with "{message}"')
def compare_only(context, message):
    (problem,) = context.problems
    assert problem.message.startswith(message), problem


@then('{path} is {setting} from line {line}')
def compare_value(context, path, setting, line):
    found = find_value(context.document, split_path(path))
    assert found.setting == json.loads(setting), found
    assert found.line == (None if line == 'none' else int(line)), found


@then('looking for {path} is told "{message}"')
def compare_missing(context, path, message):
    try:
        find_value(context.document, split_path(path))
    except SettingsError as error:
        (problem,) = error.problems
        assert str(problem).startswith(message), problem
    else:
        raise AssertionError('something was found')
