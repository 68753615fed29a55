"""The end of a daemon: exit code and last log line.

The log line is written whatever has failed, so only the standard library is
used here.
"""

import enum
import faulthandler
import importlib
import os
import traceback
from collections.abc import Callable
from typing import Any, NoReturn, Protocol

from tarragonlb.telemetry.directlog import DirectLog, write_if_read
from tarragonlb.telemetry.processsignals import ProcessSignals

STANDARD_ERROR = 2


class ExitCode(enum.IntEnum):
    """The exit codes of a daemon; docs/OPERATIONS.md explains them."""

    STOPPED = 0
    INVALID_SETTINGS = 2
    # EX_SOFTWARE of sysexits.h
    UNEXPECTED_ERROR = 70


class End:
    """Why a process ends, and with which exit code."""

    __slots__ = ('cause', 'code', 'details')

    def __init__(self, code: int, cause: str, **details: Any) -> None:
        """Log ``details`` with the cause."""
        self.code = code
        self.cause = cause
        self.details = details


class Program(Protocol):
    """A module that holds the main function of a daemon."""

    def main(self, lifecycle: 'Lifecycle') -> End:
        """Run the daemon and return why it ends."""


class Lifecycle:
    """Runs the program of this process and reports how it ends."""

    __slots__ = (
        '_drain',
        '_log',
        '_signals',
    )

    def __init__(self, signals: ProcessSignals, descriptor: int) -> None:
        """Write the last log line to ``descriptor``."""
        self._signals = signals
        self._log = DirectLog('lifecycle', descriptor)
        self._drain: Callable[[], None] | None = None

    @property
    def signals(self) -> ProcessSignals:
        """The signals of this process."""
        return self._signals

    def run(self, module_name: str) -> NoReturn:
        """Import a module, call its ``main`` and end the process."""
        faulthandler.enable(STANDARD_ERROR)
        try:
            program: Program = importlib.import_module(module_name)
            end = program.main(self)
        except SystemExit as error:
            end = _describe_exit(error)
        except BaseException as error:
            end = _describe_error(error)
        try:
            self._report(end)
        finally:
            os._exit(end.code)

    def attach_log(self, drain: Callable[[], None]) -> None:
        """Call ``drain`` before the last line, to write the lines before it."""
        self._drain = drain

    def describe_stop(self) -> End:
        """Return the end of a daemon whose tasks have ended in time."""
        number = self._signals.stop_signal
        if number is None:
            return End(
                ExitCode.UNEXPECTED_ERROR, 'all tasks ended without a signal'
            )
        return End(ExitCode.STOPPED, number.name)

    def _report(self, end: End) -> None:
        self._signals.hold()
        self._signals.detach()
        if self._drain:
            self._drain()
        self._log.emit(
            'Process ended.',
            exit_code=end.code,
            cause=end.cause,
            **end.details,
        )
        if end.code != ExitCode.STOPPED:
            text = end.details.get('trace') or f'{end.cause}\n'
            content = text.encode(errors='backslashreplace')
            write_if_read(STANDARD_ERROR, content)


def _describe_exit(error: SystemExit) -> End:
    code = error.code if isinstance(error.code, int) else bool(error.code)
    return End(int(code), f'the program exited: {error.code}')


def _describe_error(error: BaseException) -> End:
    try:
        trace = ''.join(traceback.format_exception(error))
        cause = ''.join(traceback.format_exception_only(_find_leaf(error)))
    except Exception:
        # Such as a lack of memory.
        cause = type(error).__name__
        trace = f'{cause}\n'
    return End(ExitCode.UNEXPECTED_ERROR, cause.strip(), trace=trace)


def _find_leaf(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
