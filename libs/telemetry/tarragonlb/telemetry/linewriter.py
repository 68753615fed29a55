"""Writes lines to a file descriptor, however that takes them."""

import os
import select

NEWLINE = b'\n'


class LineWriter:
    """Writes each line whole, and each on a line of its own.

    Only the writing thread may call it, as it waits for the reader.
    """

    __slots__ = ('_descriptor', '_is_cut')

    def __init__(self, descriptor: int) -> None:
        """Write to ``descriptor``, which may be non-blocking."""
        self._descriptor = descriptor
        # Whether the last line was written in part, as on a full disk.
        self._is_cut = False

    def write(self, line: bytes) -> None:
        """Write a line; raise ``OSError`` if it can't be written."""
        rest = NEWLINE + line if self._is_cut else line
        size = len(rest)
        try:
            while rest:
                rest = rest[self._write_some(rest) :]
        except OSError:
            self._is_cut = self._is_cut or len(rest) < size
            raise
        self._is_cut = False

    def _write_some(self, content: bytes) -> int:
        try:
            return os.write(self._descriptor, content)
        except BlockingIOError:
            poll = select.poll()
            poll.register(self._descriptor, select.POLLOUT)
            poll.poll()
            return 0
