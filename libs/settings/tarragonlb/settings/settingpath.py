"""Paths of single settings, and what stands there.

A path leads to a document and may go on inside it: ``/teams/archive`` is a
document, ``/teams/archive/services/transcribe/pool`` one value of it.  The
items of a list are numbered from 0: ``/teams/archive/budgets/0/pool``.

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
    """A document, and the way to a value inside it."""

    document: str
    members: tuple[str, ...]

    def __str__(self) -> str:
        """Return the path as it was written."""
        return '/'.join((self.document, *self.members))


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingValue:
    """A value in force; ``line`` is None where the default holds.

    ``setting`` holds plain values as YAML has them: text, numbers, lists and
    mappings.
    """

    path: str
    setting: object
    line: int | None


def split_path(path: str) -> SettingPath:
    """Return the document of a path and the way inside it."""
    parts = path.strip('/').split('/')
    size = 1 if parts[0] == 'fleet' else 2
    document = '/'.join(parts[:size])
    return SettingPath(f'/{document}', tuple(parts[size:]))


def find_value(text: str, path: SettingPath) -> SettingValue:
    """Return the value that stands at a path of a document's text.

    Values that the text leaves out are the defaults of the schema.  Raises
    ``SettingsError`` if the schema has nothing at this path.
    """
    settings = read_document(text, path.document)
    tree, field = _follow(path, msgspec.to_builtins(settings))
    document = parse_document(text, path.document)
    line = document.lines.get(field, None if field else 1)
    return SettingValue(path=str(path), setting=tree, line=line)


def _follow(path: SettingPath, tree: object) -> tuple[object, str]:
    field = ''
    for count, member in enumerate(path.members, start=1):
        found, tree, field = _step(tree, member, field)
        if not found:
            part = str(SettingPath(path.document, path.members[:count]))
            message = f'does not exist{_list_members(tree)}'
            raise SettingsError([Problem(part, 1, '', message)])
    return tree, field


def _step(tree: object, member: str, field: str) -> tuple[bool, object, str]:
    if isinstance(tree, dict) and member in tree:
        name = f'{field}.{member}' if field else member
        return True, tree[member], name
    is_index = member.isascii() and member.isdigit()
    if isinstance(tree, (list, tuple)) and is_index and int(member) < len(tree):
        return True, tree[int(member)], f'{field}[{int(member)}]'
    return False, tree, field


def _list_members(tree: object) -> str:
    if isinstance(tree, dict) and tree:
        return f', expected one of: {", ".join(sorted(tree))}'
    if isinstance(tree, (list, tuple)) and tree:
        return f', expected a number from 0 to {len(tree) - 1}'
    return ''
