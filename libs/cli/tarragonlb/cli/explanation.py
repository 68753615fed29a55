"""Explains where a setting comes from by asking several entry VMs.

The answer with the newest version is shown.  The other entry VMs either have
the same version in force, or are listed with their older version.
"""

from collections.abc import Iterable
from dataclasses import replace
from typing import Any

from tarragonlb.cli.client import (
    EXIT_NOT_REACHED,
    CallError,
    Server,
    read_fields,
)
from tarragonlb.cli.output import format_time


def explain_setting(
    server: Server, also: Iterable[str], target: str
) -> dict[str, Any]:
    """Return the explanation as a mapping from headings to text.

    ``also`` lists addresses of further entry VMs.  Those that fail are listed
    in the result; a failure of ``server`` raises ``CallError``.
    """
    answers = [read_fields(server.call('GET', target))]
    failed = []
    for url in also:
        try:
            answer = replace(server, url=url).call('GET', target)
            answers.append(read_fields(answer))
        except CallError as error:
            failed.append(_describe_failure(url, error))
    newest = max(answers, key=_read_offset)
    return _describe_setting(newest) | {
        'in force on': [
            _describe_entry(answer)
            for answer in answers
            if _read_offset(answer) == _read_offset(newest)
        ],
        'still older on': [
            f'{_describe_entry(answer)} has version {answer["version"]}'
            for answer in answers
            if _read_offset(answer) < _read_offset(newest)
        ],
        'not known for': failed,
    }


def _read_offset(answer: dict[str, Any]) -> int:
    return int(answer['offset'])


def _describe_setting(answer: dict[str, Any]) -> dict[str, Any]:
    line = answer['line']
    source = f'{answer["source"]}:{line}'
    return {
        'path': answer['path'],
        'value': answer['setting'],
        'comes from': source if line else 'the default, no file sets it',
        'document': answer['document'],
        'set by': answer['author'],
        'set at': format_time(answer['written_at']),
        'version': answer['version'],
        'log offset': answer['offset'],
    }


def _describe_entry(answer: dict[str, Any]) -> str:
    return f'{answer["entry"]} (read to offset {answer["read_to_offset"]})'


def _describe_failure(url: str, error: CallError) -> str:
    if error.exit_code == EXIT_NOT_REACHED:
        return f'{url} (not reached)'
    return f'{url} ({error})'
