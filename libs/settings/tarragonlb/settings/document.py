"""Parsing of YAML documents, with the line of every field.

A document is parsed into plain values and a mapping from each field to its
line.  Fields are written as ``services.transcribe.pool`` or
``budgets[0].pool``.
"""

from collections.abc import Mapping
from dataclasses import dataclass

import yaml

from tarragonlb.settings.problem import Problem, SettingsError

MAX_DOCUMENT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class Document:
    """A parsed document: ``content`` holds plain values, ``lines`` their lines.

    ``source`` names the file or path in messages.
    """

    source: str
    content: object
    lines: Mapping[str, int]

    def find_line(self, field: str) -> int:
        """Return the line of a field, or of its nearest parent."""
        while field:
            line = self.lines.get(field)
            if line:
                return line
            parent_end = max(field.rfind('.'), field.rfind('['))
            field = field[: max(parent_end, 0)]
        return self.lines.get('', 1)


def parse_document(text: str, source: str) -> Document:
    """Parse YAML text.

    ``source`` names the file or path in messages.  Raises ``SettingsError``
    for text that is too long, is not YAML, has a key twice, or uses anchors or
    aliases.
    """
    if len(text.encode()) > MAX_DOCUMENT_BYTES:
        message = f'expected a document of at most {MAX_DOCUMENT_BYTES} bytes'
        raise SettingsError([Problem(source, 1, '', message)])
    try:
        return _parse(text, source)
    except (yaml.YAMLError, RecursionError, ValueError) as error:
        raise SettingsError([_convert_error(error, source)]) from error


def _parse(text: str, source: str) -> Document:
    for token in yaml.scan(text, Loader=yaml.SafeLoader):
        if isinstance(token, (yaml.AliasToken, yaml.AnchorToken)):
            line = token.start_mark.line + 1
            message = 'aliases and anchors are not allowed'
            raise SettingsError([Problem(source, line, '', message)])
    loader = yaml.SafeLoader(text)
    node = loader.get_single_node()
    lines: dict[str, int] = {}
    problems: list[Problem] = []
    if node is not None:
        _collect_lines(node, '', lines, problems, source)
    if problems:
        raise SettingsError(problems)
    content = None if node is None else loader.construct_document(node)
    return Document(source, content, lines)


def _collect_lines(
    node: yaml.Node,
    field: str,
    lines: dict[str, int],
    problems: list[Problem],
    source: str,
) -> None:
    lines[field] = node.start_mark.line + 1
    if isinstance(node, yaml.SequenceNode):
        for index, child in enumerate(node.value):
            _collect_lines(child, f'{field}[{index}]', lines, problems, source)
    if isinstance(node, yaml.MappingNode):
        for key, child in node.value:
            name = f'{field}.{key.value}' if field else str(key.value)
            if name in lines:
                line = key.start_mark.line + 1
                problems.append(Problem(source, line, name, 'duplicate key'))
            _collect_lines(child, name, lines, problems, source)
            lines[name] = key.start_mark.line + 1


def _convert_error(error: Exception, source: str) -> Problem:
    mark = getattr(error, 'problem_mark', None)
    line = mark.line + 1 if mark else 1
    message = getattr(error, 'problem', None) or str(error)
    return Problem(source, line, '', f'not valid YAML: {message}')
