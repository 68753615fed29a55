"""Paths of single settings, and the lookup of their values.

A path names a document or a value inside of it: ``/teams/archive`` is a
document, ``/teams/archive/services/transcribe/pool`` a value in it.  The items
of a list are numbered from 0: ``/teams/archive/budgets/0/pool``.

>>> split_path('/teams/archive/quota/cores').members
('quota', 'cores')
"""

from dataclasses import dataclass

import msgspec

from tarragonlb.settings.document import parse_document
from tarragonlb.settings.problem import Problem, SettingsError
from tarragonlb.settings.reader import read_document


@dataclass(frozen=True, slots=True)
class SettingPath:
    """The path of a document, and the keys that lead to a value in it."""

    document: str
    members: tuple[str, ...]

    def __str__(self) -> str:
        """Return the whole path."""
        return '/'.join((self.document, *self.members))


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingValue:
    """A value in force; ``line`` is None if it is a default.

    ``setting`` is a plain YAML value: text, a number, a list or a mapping.
    """

    path: str
    setting: object
    line: int | None


def split_path(path: str) -> SettingPath:
    """Split a path into the path of its document and the keys inside of it."""
    parts = path.strip('/').split('/')
    size = 1 if parts[0] == 'fleet' else 2
    document = '/'.join(parts[:size])
    return SettingPath(f'/{document}', tuple(parts[size:]))


def find_value(text: str, path: SettingPath) -> SettingValue:
    """Return the value at a path inside of a document's text.

    A value that the text leaves out is the default of the schema.  Raises
    ``SettingsError`` if the document has no value at this path.
    """
    settings = read_document(text, path.document)
    tree, field = _find_node(path, msgspec.to_builtins(settings))
    document = parse_document(text, path.document)
    line = document.lines.get(field, None if field else 1)
    return SettingValue(path=str(path), setting=tree, line=line)


def _find_node(path: SettingPath, tree: object) -> tuple[object, str]:
    field = ''
    for count, member in enumerate(path.members, start=1):
        found, tree, field = _find_child(tree, member, field)
        if not found:
            missing_path = str(SettingPath(path.document, path.members[:count]))
            message = f'does not exist{_list_expected(tree)}'
            raise SettingsError([Problem(missing_path, 1, '', message)])
    return tree, field


def _find_child(
    tree: object, member: str, field: str
) -> tuple[bool, object, str]:
    if isinstance(tree, dict) and member in tree:
        name = f'{field}.{member}' if field else member
        return True, tree[member], name
    is_index = member.isascii() and member.isdigit()
    if isinstance(tree, (list, tuple)) and is_index and int(member) < len(tree):
        return True, tree[int(member)], f'{field}[{int(member)}]'
    return False, tree, field


def _list_expected(tree: object) -> str:
    if isinstance(tree, dict) and tree:
        return f', expected one of: {", ".join(sorted(tree))}'
    if isinstance(tree, (list, tuple)) and tree:
        return f', expected a number from 0 to {len(tree) - 1}'
    return ''
