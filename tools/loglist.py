"""Finds the sentences that the code logs, part by part.

A part makes its log by ``Log('part')`` and writes by ``emit``; both are found
in the syntax trees of all modules.
"""

import ast
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

LIBS = Path(__file__).parent.parent / 'libs'
EMIT_NAMES = frozenset(('emit', '_emit'))


@dataclass(frozen=True, slots=True, order=True)
class Sentence:
    """One sentence of a part, with the names of its fields."""

    part: str
    text: str
    fields: tuple[str, ...]


@dataclass(frozen=True, slots=True, order=True)
class Part:
    """A part with its prefix, and what its module says that it does."""

    prefix: str
    purpose: str
    sentences: tuple[Sentence, ...]


def list_parts() -> list[Part]:
    """Return all parts that write a log, in the order of their prefixes."""
    modules = sorted(LIBS.glob('*/tarragonlb/**/*.py'))
    parts = [_read_part(ast.parse(path.read_text())) for path in modules]
    return sorted(part for part in parts if part is not None)


def _read_part(tree: ast.Module) -> Part | None:
    calls = [node for node in ast.walk(tree) if isinstance(node, ast.Call)]
    prefixes = [_read_text(call) for call in calls if _name(call) == 'Log']
    if not prefixes:
        return None
    prefix = prefixes[0]
    purpose = (ast.get_docstring(tree) or '').partition('\n')[0]
    sentences = sorted(set(_list_sentences(calls, prefix)))
    return Part(prefix, purpose, tuple(sentences))


def _list_sentences(calls: list[ast.Call], prefix: str) -> Iterator[Sentence]:
    for call in calls:
        text = _read_text(call)
        if _name(call) in EMIT_NAMES and text:
            fields = tuple(word.arg for word in call.keywords if word.arg)
            yield Sentence(prefix, text, fields)


def _name(call: ast.Call) -> str:
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ''


def _read_text(call: ast.Call) -> str:
    first = call.args[0] if call.args else None
    if isinstance(first, ast.Constant) and isinstance(first.value, str):
        return first.value
    return ''
