"""Writes the pages that follow from the code, or checks the committed ones.

``make docs`` writes them.  With ``--check`` nothing is written, and every page
that differs from the code is named.
"""

import dataclasses
import json
import sys
import typing
from pathlib import Path
from types import MappingProxyType

import msgspec

from tarragonlb.daemon.apidocument import write_document
from tarragonlb.daemon.process import Process
from tarragonlb.settings import schema
from tarragonlb.telemetry.metrics import METRICS

DOCS = Path(__file__).parent.parent / 'docs'
START = schema.DaemonSettings(
    name='docs',
    zone='docs',
    listen='127.0.0.1:1',
    peer_listen='127.0.0.1:2',
    platform='127.0.0.1:3',
)
DOCUMENTS = (
    ('/fleet', schema.FleetSettings),
    ('/pools/NAME', schema.PoolSettings),
    ('/teams/NAME', schema.TeamSettings),
    ('The start-up file of a daemon', schema.DaemonSettings),
)
METRICS_HEAD = """# Metrics

Written by `make docs` from `tarragonlb.telemetry.metrics`.  An operator reads
them as the JSON of OTLP with `GET /metrics` from each entry VM; nothing is sent
anywhere.  Units are in the notation of UCUM.

| Name | Kind | Unit | Attributes | Meaning |
|---|---|---|---|---|
"""
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


def write_metrics() -> str:
    """Return the page that lists all metrics."""
    rows = [
        f'| `{metric.name}` | {metric.kind} | `{metric.unit}` | '
        f'{", ".join(metric.attributes)} | {metric.description} |\n'
        for metric in METRICS
    ]
    return METRICS_HEAD + ''.join(rows)


def write_api() -> str:
    """Return the OpenAPI document."""
    document = write_document(Process(START).list_routes())
    return f'{json.dumps(document, indent=1, sort_keys=True)}\n'


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


PAGES = (
    (DOCS / 'METRICS.md', write_metrics),
    (DOCS / 'openapi.json', write_api),
    (DOCS / 'operators' / 'settings-reference.md', write_settings),
)


def _read(path: Path) -> str:
    return path.read_text() if path.exists() else ''


def main() -> int:
    """Write or check all pages and return the exit code."""
    is_check = '--check' in sys.argv
    stale = [(path, write()) for path, write in PAGES]
    stale = [(path, text) for path, text in stale if _read(path) != text]
    for path, text in stale:
        sys.stdout.write(f'{path.relative_to(DOCS.parent)} differs\n')
        if not is_check:
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
    if is_check and stale:
        sys.stdout.write('run "make docs" and commit what it writes\n')
    return 1 if is_check and stale else 0


if __name__ == '__main__':
    sys.exit(main())
