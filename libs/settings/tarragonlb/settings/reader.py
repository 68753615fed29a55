"""From a parsed document to a typed settings object, or to its problems.

The classes in ``schema`` say what is expected.  The reader walks a document
along them and collects every problem, so that an operator sees all at once.

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
    """Return the settings object that the text describes.

    Raises ``SettingsError`` with the line of each problem.  Keys that the
    object doesn't know are problems too.
    """
    document = parse_document(text, source)
    reader = _Reader(document)
    tree = {} if document.tree is None else document.tree
    settings = reader.read(tree, kind, '')
    if reader.problems:
        raise SettingsError(reader.problems)
    return typing.cast(Settings, settings)


def read_document(text: str, path: str) -> object:
    """Return the settings object of the document under a path.

    Raises ``SettingsError`` also where no document may stand at the path.
    """
    if not _PATH.fullmatch(path):
        message = 'expected /fleet, /pools/NAME or /teams/NAME'
        raise SettingsError([Problem(path, 1, '', message)])
    return read_settings(text, path, _DOCUMENT_TYPES[path.split('/')[1]])


class _Reader:
    """Walks one document; ``problems`` grows on the way."""

    __slots__ = ('_document', 'problems')

    def __init__(self, document: Document) -> None:
        self._document = document
        self.problems: list[Problem] = []

    def read(self, tree: object, kind: typing.Any, field: str) -> object:
        if dataclasses.is_dataclass(kind):
            return self._read_object(tree, kind, field)
        origin = typing.get_origin(kind)
        if origin is UnionType:
            return self._read_optional(tree, kind, field)
        if origin is dict:
            return self._read_mapping(tree, kind, field)
        if origin is tuple:
            return self._read_sequence(tree, kind, field)
        return self._read_leaf(tree, kind, field)

    def _read_optional(
        self, tree: object, kind: typing.Any, field: str
    ) -> object | None:
        if tree is None:
            return None
        return self.read(tree, typing.get_args(kind)[0], field)

    def _read_object(
        self, tree: object, kind: typing.Any, field: str
    ) -> object | None:
        if not isinstance(tree, dict):
            self._report(field, 'expected a mapping')
            return None
        hints = typing.get_type_hints(kind, include_extras=True)
        found_before = len(self.problems)
        self._report_missing(tree, kind, field)
        members = {}
        for key, child in tree.items():
            name = _join(field, key)
            child_kind = hints.get(key)
            if child_kind is None:
                expected = ', '.join(sorted(hints))
                self._report(name, f'unknown key, expected one of: {expected}')
            else:
                members[key] = self.read(child, child_kind, name)
        if len(self.problems) > found_before:
            return None
        return typing.cast(object, kind(**members))

    def _report_missing(
        self, tree: dict[object, object], kind: typing.Any, field: str
    ) -> None:
        for member in dataclasses.fields(kind):
            has_default = (
                member.default is not dataclasses.MISSING
                or member.default_factory is not dataclasses.MISSING
            )
            if member.name not in tree and not has_default:
                self._report(field, f'the key "{member.name}" is missing')

    def _read_mapping(
        self, tree: object, kind: typing.Any, field: str
    ) -> object | None:
        if not isinstance(tree, dict):
            self._report(field, 'expected a mapping')
            return None
        key_kind, child_kind = typing.get_args(kind)
        members = {}
        for key, child in tree.items():
            name = _join(field, key)
            self._read_leaf(key, key_kind, name)
            members[key] = self.read(child, child_kind, name)
        return members

    def _read_sequence(
        self, tree: object, kind: typing.Any, field: str
    ) -> object | None:
        if not isinstance(tree, list):
            self._report(field, 'expected a list')
            return None
        child_kind = typing.get_args(kind)[0]
        return tuple(
            self.read(child, child_kind, f'{field}[{index}]')
            for index, child in enumerate(tree)
        )

    def _read_leaf(
        self, tree: object, kind: typing.Any, field: str
    ) -> object | None:
        if isinstance(tree, float) and not math.isfinite(tree):
            self._report(field, f'expected a finite number, got {tree}')
            return None
        try:
            return typing.cast(object, msgspec.convert(tree, kind))
        except msgspec.ValidationError as error:
            message = str(error)
        if kind == Digest and isinstance(tree, str):
            message = _explain_digest(tree)
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
