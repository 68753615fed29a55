"""Lists the sentences that each component logs.

A component creates its log with ``Log('component')``, or ``DirectLog``, and
writes with ``emit``; both are looked up in the syntax trees of all modules.
"""

import ast
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

LIBS = Path(__file__).parent.parent / 'libs'
EMIT_NAMES = frozenset(('emit', '_emit'))
LOG_NAMES = frozenset(('Log', 'DirectLog'))


@dataclass(frozen=True, slots=True, order=True)
class Sentence:
    """A log sentence of a component, with the names of its fields."""

    component: str
    text: str
    fields: tuple[str, ...]


@dataclass(frozen=True, slots=True, order=True)
class Component:
    """A component: its log prefix, purpose and log sentences.

    ``purpose`` is the first line of the doc comment of its module.
    """

    prefix: str
    purpose: str
    sentences: tuple[Sentence, ...]


def list_components() -> list[Component]:
    """Return all components that write logs, sorted by prefix."""
    modules = sorted(LIBS.glob('*/tarragonlb/**/*.py'))
    components = [
        _read_component(ast.parse(path.read_text())) for path in modules
    ]
    return sorted(one for one in components if one is not None)


def _read_component(tree: ast.Module) -> Component | None:
    calls = [node for node in ast.walk(tree) if isinstance(node, ast.Call)]
    prefixes = [
        _get_text(call) for call in calls if _get_name(call) in LOG_NAMES
    ]
    if not prefixes:
        return None
    prefix = prefixes[0]
    purpose = (ast.get_docstring(tree) or '').partition('\n')[0]
    sentences = sorted(set(_list_sentences(calls, prefix)))
    return Component(prefix, purpose, tuple(sentences))


def _list_sentences(calls: list[ast.Call], prefix: str) -> Iterator[Sentence]:
    for call in calls:
        text = _get_text(call)
        if _get_name(call) in EMIT_NAMES and text:
            fields = tuple(
                keyword.arg for keyword in call.keywords if keyword.arg
            )
            yield Sentence(prefix, text, fields)


def _get_name(call: ast.Call) -> str:
    if isinstance(call.func, ast.Attribute):
        return call.func.attr
    return call.func.id if isinstance(call.func, ast.Name) else ''


def _get_text(call: ast.Call) -> str:
    first = call.args[0] if call.args else None
    if isinstance(first, ast.Constant) and isinstance(first.value, str):
        return first.value
    return ''
