"""Structured logs: one JSON object a line, short sentences, a prefix a part.

>>> Log('journal').say('Record is void.', record_id='r1')
"""

import sys

import eliot


def start_logging() -> None:
    """Write all log lines of this process to standard error."""
    eliot.to_file(sys.stderr)


class Log:
    """The log of one part of a process."""

    __slots__ = ('_part',)

    def __init__(self, part: str) -> None:
        """Write under the prefix ``part``."""
        self._part = part

    def say(self, sentence: str, **fields: object) -> None:
        """Write one sentence with the fields that it is about."""
        eliot.log_message(
            message_type=f'tarragonlb:{self._part}',
            sentence=f'{self._part}: {sentence}',
            **fields,
        )
