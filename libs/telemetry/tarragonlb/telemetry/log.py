"""Structured logs: one JSON object a line, short sentences, a prefix a part.

>>> Log('journal').emit('Record is void.', record_id='r1')
"""

import os
import sys
import time
from typing import TextIO

import eliot

from tarragonlb.telemetry.sink import LineSink


def start_logging(stream: TextIO = sys.stderr) -> LineSink:
    """Write all log lines of this process to a stream.

    The caller drains the sink that is returned before it exits.
    """
    descriptor = stream.fileno()
    sink = LineSink(
        lambda line: _write_all(descriptor, line), now=time.monotonic
    )
    sink.start()
    eliot.add_destinations(sink)
    return sink


class Log:
    """The log of one part of a process."""

    __slots__ = ('_part',)

    def __init__(self, part: str) -> None:
        """Write under the prefix ``part``."""
        self._part = part

    def emit(self, sentence: str, **fields: object) -> None:
        """Write one sentence with the fields that it is about."""
        eliot.log_message(
            message_type=f'tarragonlb:{self._part}',
            sentence=f'{self._part}: {sentence}',
            **fields,
        )


def _write_all(descriptor: int, line: bytes) -> None:
    try:
        while line:
            line = line[os.write(descriptor, line) :]
    except OSError:
        # The reader is gone, and there is nowhere left to say so.
        return
