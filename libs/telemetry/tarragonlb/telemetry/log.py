"""Writes structured logs: one JSON object per line.

Each sentence begins with the name of the component that logs it.

>>> Log('journal').emit('Record rejected.', record_id='r1')
"""

import time

import eliot

from tarragonlb.telemetry.linewriter import LineWriter
from tarragonlb.telemetry.sink import LineSink


def start_logging(descriptor: int) -> LineSink:
    """Write all log lines of this process to a file descriptor.

    The caller has to close the returned sink before the process exits.
    """
    sink = LineSink(LineWriter(descriptor).write, now=time.monotonic)
    sink.start()
    eliot.add_destinations(sink)
    return sink


class Log:
    """Writes the log lines of one component of a process."""

    __slots__ = ('_component',)

    def __init__(self, component: str) -> None:
        """Prefix each sentence with ``component``."""
        self._component = component

    def emit(self, sentence: str, **fields: object) -> None:
        """Write a log line; only the fields may vary, not the sentence."""
        eliot.log_message(
            message_type=f'tarragonlb:{self._component}',
            sentence=f'{self._component}: {sentence}',
            **fields,
        )
