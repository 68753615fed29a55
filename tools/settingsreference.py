"""The reference of all settings, from the classes that describe them."""

import dataclasses
import json
import typing
from types import MappingProxyType

import msgspec

from tarragonlb.settings import schema, startup

DOCUMENTS = (
    ('/fleet', schema.FleetSettings),
    ('/pools/NAME', schema.PoolSettings),
    ('/teams/NAME', schema.TeamSettings),
    ('The start-up file of a daemon', startup.DaemonSettings),
)
SETTINGS_HEAD = """# Settings

Written by `make docs` from `tarragonlb.settings.schema`.  Keys that are not
listed are refused with their line.  Names are of small letters, digits and
hyphens; times are in seconds; a key without a default has to be given.

"""
SUFFIXES: MappingProxyType[typing.Any, str] = MappingProxyType(
    {dict: '.NAME', tuple: '[N]'}
)
LIMIT_WORDS = MappingProxyType(
    {
        'minimum': 'at least',
        'exclusiveMinimum': 'greater than',
        'maximum': 'at most',
        'exclusiveMaximum': 'less than',
        'pattern': 'matching',
    }
)
ESCAPED_PIPE = r'\|'
NO_VALUE = object()


def write_settings() -> str:
    """Return the reference of all settings."""
    parts = [SETTINGS_HEAD]
    for title, kind in DOCUMENTS:
        parts.append(f'## {title}\n\n')
        parts.append(_describe(kind))
    return ''.join(parts).rstrip() + '\n'


def _describe(kind: typing.Any) -> str:
    rows = [
        f'{_read_doc(kind)}\n\n| Key | Expected | Default |\n|---|---|---|\n',
        *_list_rows(kind, ''),
    ]
    return ''.join(rows) + '\n'


def _list_rows(kind: typing.Any, field: str) -> typing.Iterator[str]:
    hints = typing.get_type_hints(kind, include_extras=True)
    for member in dataclasses.fields(kind):
        name = f'{field}{member.name}'
        inner, suffix = _find_inner(hints[member.name])
        expected = inner and _read_doc(inner).partition('\n')[0]
        expected = expected or _describe_leaf(hints[member.name])
        yield f'| `{name}{suffix}` | {expected} | {_read_default(member)} |\n'
        if inner:
            yield from _list_rows(inner, f'{name}{suffix}.')


def _find_inner(hint: typing.Any) -> tuple[typing.Any, str]:
    if dataclasses.is_dataclass(hint):
        return hint, ''
    origin = typing.get_origin(hint)
    for inner in typing.get_args(hint):
        if dataclasses.is_dataclass(inner):
            suffix = SUFFIXES.get(origin, '')
            return inner, suffix
    return None, ''


def _describe_leaf(hint: typing.Any) -> str:
    tree = msgspec.json.schema(hint)
    if '$ref' in tree:
        tree = next(iter(tree['$defs'].values()))
    limits = _describe_limits(tree.get('items', tree))
    return f'a list of {limits}' if 'items' in tree else limits


def _describe_limits(tree: dict[str, typing.Any]) -> str:
    names = ', '.join(f'`{name}`' for name in tree.get('enum', ()))
    if names:
        return f'one of {names}'
    limits = [
        f'{LIMIT_WORDS[key]} `{limit}`'.replace('|', ESCAPED_PIPE)
        for key, limit in tree.items()
        if key in LIMIT_WORDS
    ]
    kind = tree.get('type', 'any value')
    return ', '.join((kind, *limits))


def _read_default(member: typing.Any) -> str:
    default = member.default
    if default is dataclasses.MISSING:
        default = NO_VALUE
        if member.default_factory is not dataclasses.MISSING:
            default = member.default_factory()
    if default is NO_VALUE:
        return 'must be given'
    if default is None or default in ({}, ()):
        return 'none'
    if dataclasses.is_dataclass(default):
        return 'as below'
    return f'`{json.dumps(msgspec.to_builtins(default))}`'


def _read_doc(kind: typing.Any) -> str:
    return typing.cast(str, kind.__doc__).replace('\n    ', '\n').strip()
