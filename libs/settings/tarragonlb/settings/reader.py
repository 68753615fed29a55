"""Conversion of settings documents into typed settings objects.

The classes in ``schema`` define what a document may hold.  The reader compares
a document with them and collects all problems, so that an operator sees them
together.

>>> from tarragonlb.settings.schema import PoolSettings
>>> read_settings('at_once: 2', '/pools/portal', PoolSettings).at_once
2
"""

import dataclasses
import math
import re
import typing
from types import MappingProxyType, UnionType

import msgspec

from tarragonlb.settings.document import Document, parse_document
from tarragonlb.settings.problem import Problem, SettingsError
from tarragonlb.settings.schema import (
    DIGEST_CHARACTERS,
    Digest,
    FleetSettings,
    PoolSettings,
    TeamSettings,
)

Settings = typing.TypeVar('Settings')
_PATH = re.compile('^/(?:fleet|(?:pools|teams)/[a-z][a-z0-9-]{0,62})$')
_DOCUMENT_TYPES = MappingProxyType(
    {
        'fleet': FleetSettings,
        'pools': PoolSettings,
        'teams': TeamSettings,
    }
)


def read_settings(text: str, source: str, kind: type[Settings]) -> Settings:
    """Return the settings object of class ``kind`` that the text describes.

    Raises ``SettingsError`` with the line of each problem.  A key that the
    class does not define is a problem, too.
    """
    document = parse_document(text, source)
    reader = _Reader(document)
    node = {} if document.content is None else document.content
    settings = reader.read(node, kind, '')
    if reader.problems:
        raise SettingsError(reader.problems)
    return typing.cast(Settings, settings)


def read_document(text: str, path: str) -> object:
    """Return the settings object of the document at a path.

    Raises ``SettingsError`` for problems in the document, and for a path that
    can't have a document.
    """
    if not _PATH.fullmatch(path):
        message = 'expected /fleet, /pools/NAME or /teams/NAME'
        raise SettingsError([Problem(path, 1, '', message)])
    return read_settings(text, path, _DOCUMENT_TYPES[path.split('/')[1]])


class _Reader:
    """Converts one document and collects its problems in ``problems``."""

    __slots__ = ('_document', 'problems')

    def __init__(self, document: Document) -> None:
        self._document = document
        self.problems: list[Problem] = []

    def read(self, node: object, kind: typing.Any, field: str) -> object:
        if dataclasses.is_dataclass(kind):
            return self._read_object(node, kind, field)
        origin = typing.get_origin(kind)
        if origin is UnionType:
            return self._read_optional(node, kind, field)
        if origin is dict:
            return self._read_mapping(node, kind, field)
        if origin is tuple:
            return self._read_sequence(node, kind, field)
        return self._read_leaf(node, kind, field)

    def _read_optional(
        self, node: object, kind: typing.Any, field: str
    ) -> object | None:
        if node is None:
            return None
        return self.read(node, typing.get_args(kind)[0], field)

    def _read_object(
        self, node: object, kind: typing.Any, field: str
    ) -> object | None:
        if not isinstance(node, dict):
            self._report(field, 'expected a mapping')
            return None
        hints = typing.get_type_hints(kind, include_extras=True)
        problems_before = len(self.problems)
        self._report_missing(node, kind, field)
        values = {}
        for key, child in node.items():
            name = _join(field, key)
            child_kind = hints.get(key)
            if child_kind is None:
                expected = ', '.join(sorted(hints))
                self._report(name, f'unknown key, expected one of: {expected}')
            else:
                values[key] = self.read(child, child_kind, name)
        if len(self.problems) > problems_before:
            return None
        return typing.cast(object, kind(**values))

    def _report_missing(
        self, node: dict[object, object], kind: typing.Any, field: str
    ) -> None:
        for member in dataclasses.fields(kind):
            has_default = (
                member.default is not dataclasses.MISSING
                or member.default_factory is not dataclasses.MISSING
            )
            if member.name not in node and not has_default:
                self._report(field, f'the key "{member.name}" is missing')

    def _read_mapping(
        self, node: object, kind: typing.Any, field: str
    ) -> object | None:
        if not isinstance(node, dict):
            self._report(field, 'expected a mapping')
            return None
        key_kind, child_kind = typing.get_args(kind)
        values = {}
        for key, child in node.items():
            name = _join(field, key)
            self._read_leaf(key, key_kind, name)
            values[key] = self.read(child, child_kind, name)
        return values

    def _read_sequence(
        self, node: object, kind: typing.Any, field: str
    ) -> object | None:
        if not isinstance(node, list):
            self._report(field, 'expected a list')
            return None
        child_kind = typing.get_args(kind)[0]
        return tuple(
            self.read(child, child_kind, f'{field}[{index}]')
            for index, child in enumerate(node)
        )

    def _read_leaf(
        self, node: object, kind: typing.Any, field: str
    ) -> object | None:
        if isinstance(node, float) and not math.isfinite(node):
            self._report(field, f'expected a finite number, got {node}')
            return None
        try:
            return typing.cast(object, msgspec.convert(node, kind))
        except msgspec.ValidationError as error:
            message = str(error)
        if kind == Digest and isinstance(node, str):
            message = _explain_digest(node)
        self._report(field, message[:1].lower() + message[1:])
        return None

    def _report(self, field: str, message: str) -> None:
        line = self._document.find_line(field)
        source = self._document.source
        self.problems.append(Problem(source, line, field, message))


def _explain_digest(text: str) -> str:
    return (
        f'expected {DIGEST_CHARACTERS} characters 0-9 a-f, the SHA-256 of a '
        f'token, got {len(text)} characters'
    )


def _join(field: str, key: object) -> str:
    return f'{field}.{key}' if field else str(key)
