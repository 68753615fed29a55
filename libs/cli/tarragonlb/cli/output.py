"""Formats answers as text tables or as JSON."""

import datetime
import enum
import json
from collections.abc import Sequence
from typing import Any

MAX_CELL_CHARACTERS = 40
TIME_SUFFIX = '_at'


class OutputFormat(enum.StrEnum):
    """Output format of answers."""

    TEXT = 'text'
    JSON = 'json'


def format_answer(answer: Any, output_format: OutputFormat) -> str:
    """Return an answer as text in the given format."""
    if output_format is OutputFormat.JSON:
        return json.dumps(answer, indent=2, sort_keys=True)
    if isinstance(answer, list) and all(
        isinstance(row, dict) for row in answer
    ):
        return format_table(answer)
    if isinstance(answer, dict):
        width = max(map(len, answer), default=0)
        return '\n'.join(
            f'{key.ljust(width)}  {_format_field(key, cell)}'.rstrip()
            for key, cell in answer.items()
        )
    return str(answer).rstrip('\n')


def format_table(rows: Sequence[dict[str, Any]]) -> str:
    """Return rows as aligned columns with a header line."""
    if not rows:
        return 'nothing to show'
    names = list(dict.fromkeys(name for row in rows for name in row))
    cells = [
        [_truncate(_format_field(name, row.get(name))) for name in names]
        for row in rows
    ]
    table = [names, *cells]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in table
    )


def format_time(seconds: float) -> str:
    """Return a time in seconds since 1970 as a date and time in UTC."""
    date = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return f'{date:%Y-%m-%d %H:%M:%S} UTC'


def _format_field(name: str, cell: Any) -> str:
    if name.endswith(TIME_SUFFIX) and isinstance(cell, float):
        return format_time(cell)
    return _format_cell(cell)


def _format_cell(cell: Any) -> str:
    if cell is None:
        return '-'
    if isinstance(cell, dict):
        return ', '.join(f'{key}={part}' for key, part in cell.items()) or '-'
    if isinstance(cell, list):
        return ', '.join(map(str, cell)) or '-'
    return str(cell)


def _truncate(text: str) -> str:
    line = text.replace('\n', ' ')
    return (
        line
        if len(line) <= MAX_CELL_CHARACTERS
        else f'{line[: MAX_CELL_CHARACTERS - 1]}…'
    )
