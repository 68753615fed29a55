"""Writes log lines at once, past the queue of the log.

For the last lines of a process, which have to be written whatever has failed:
only the standard library is used.  A line is shortened rather than lost.
"""

import json
import os
import select
import stat
import time
from typing import Any

# Lines of at most PIPE_BUF bytes are written to a pipe whole or not at all.
MAX_LINE_BYTES = select.PIPE_BUF
MAX_TEXT_CHARACTERS = 3000
# Characters of a line that are given up for each entry of a list.
ENTRY_CHARACTERS = 100
# Time limit for a reader to make room for a line.
WRITE_SECONDS = 0.2
MS_PER_SECOND = 1000


class DirectLog:
    """Writes the log lines of one component to a file descriptor."""

    __slots__ = ('_component', '_descriptor')

    def __init__(self, component: str, descriptor: int) -> None:
        """Prefix each sentence with ``component``."""
        self._component = component
        self._descriptor = descriptor

    def emit(self, sentence: str, **fields: Any) -> None:
        """Write a line, with as much of its fields as fits.

        Of a text, the beginning and the end are kept.
        """
        limit = MAX_TEXT_CHARACTERS
        line = self._encode(sentence, fields, limit)
        while len(line) > MAX_LINE_BYTES and limit:
            limit //= 2
            line = self._encode(sentence, fields, limit)
        write_if_read(self._descriptor, line)

    def _encode(
        self, sentence: str, fields: dict[str, Any], limit: int
    ) -> bytes:
        message = {
            'sentence': f'{self._component}: {sentence}',
            'timestamp': time.time(),
            'message_type': f'tarragonlb:{self._component}',
        }
        for name, content in fields.items():
            message[name] = _shorten(content, limit)
        return f'{json.dumps(message, default=repr)}\n'.encode()


def write_if_read(descriptor: int, content: bytes) -> None:
    """Write to a descriptor unless its reader has stopped reading."""
    try:
        if _is_writable(descriptor):
            os.write(descriptor, content)
    except OSError:
        # This was the last way to report anything.
        return


def _is_writable(descriptor: int) -> bool:
    mode = os.fstat(descriptor).st_mode
    if not (stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)):
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT)
    return bool(poll.poll(WRITE_SECONDS * MS_PER_SECOND))


def _shorten(content: Any, limit: int) -> Any:
    if isinstance(content, str):
        return _cut(content, limit // 2)
    if isinstance(content, list):
        kept = content[: limit // ENTRY_CHARACTERS]
        return [_shorten(entry, limit) for entry in kept]
    return content


def _cut(text: str, half: int) -> str:
    if len(text) <= 2 * half:
        return text
    return f'{text[:half]}...{text[len(text) - half :]}'
