"""The end of a daemon: exit code, last log line and time limit of a stop.

The log line is written whatever has failed, so only the standard library is
used here.
"""

import enum
import faulthandler
import importlib
import os
import sys
import threading
import time
import traceback
from collections.abc import Callable, Sequence
from typing import Any, NoReturn, Protocol

from tarragonlb.telemetry.directlog import DirectLog, write_if_read
from tarragonlb.telemetry.processsignals import ProcessSignals

# Innermost frames of the main thread in the report of a stop.
MAX_FRAMES = 3
# Time limit for reporting the end, with the lines that are still queued.
REPORT_SECONDS = 1
STANDARD_ERROR = 2


class ExitCode(enum.IntEnum):
    """The exit codes of a daemon; docs/OPERATIONS.md explains them."""

    STOPPED = 0
    INVALID_SETTINGS = 2
    # EX_SOFTWARE of sysexits.h
    UNEXPECTED_ERROR = 70
    # As of the command ``timeout``.
    STOP_OVERDUE = 124


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

    def main(self, lifecycle: 'Lifecycle') -> End | None:
        """Run the daemon and return why it ends; None if it hasn't run."""


class Lifecycle:
    """Runs the program of this process and reports how it ends."""

    __slots__ = (
        '_close_log',
        '_ending',
        '_list_tasks',
        '_log',
        '_signals',
        '_stop_pipe',
    )

    def __init__(self, signals: ProcessSignals, descriptor: int) -> None:
        """Write the last log line to ``descriptor``."""
        self._signals = signals
        self._log = DirectLog('lifecycle', descriptor)
        self._close_log: Callable[[], None] | None = None
        self._ending = threading.Lock()
        self._list_tasks: Callable[[], Sequence[str]] | None = None
        self._stop_pipe: int | None = None

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
        if end is None:
            sys.exit(ExitCode.STOPPED)
        self._end(end)

    def attach_log(self, close: Callable[[], None]) -> None:
        """Call ``close`` before the last line, after which none may follow."""
        self._close_log = close

    def attach_tasks(self, list_tasks: Callable[[], Sequence[str]]) -> None:
        """Call ``list_tasks`` to report what runs when a stop takes too long.

        It is called in a thread of its own.
        """
        self._list_tasks = list_tasks

    def begin_run(self, stop_seconds: float) -> None:
        """Leave stops to the event loop, which gets ``stop_seconds`` for them.

        The process is ended when the time is over.
        """
        reader, self._stop_pipe = os.pipe()
        # Started in advance, as no thread can be started in a signal handler.
        threading.Thread(
            target=self._enforce_limit,
            args=(reader, max(0, stop_seconds)),
            daemon=True,
        ).start()
        self._signals.hold(self.begin_stop)

    def begin_stop(self) -> None:
        """Limit the time until the end of the process, from now on."""
        if self._stop_pipe is not None:
            os.write(self._stop_pipe, b'.')

    def compute_stop_age(self, now: float) -> float:
        """Return the seconds since the signal to stop, 0 before it.

        ``now`` is in seconds of ``time.monotonic()``.
        """
        stopped_at = self._signals.stopped_at
        return 0 if stopped_at is None else now - stopped_at

    def describe_stop(self) -> End:
        """Return the end of a daemon whose tasks have ended in time."""
        number = self._signals.stop_signal
        if number is None:
            return End(
                ExitCode.UNEXPECTED_ERROR, 'all tasks ended without a signal'
            )
        return End(ExitCode.STOPPED, number.name)

    def _enforce_limit(self, reader: int, seconds: float) -> None:
        os.read(reader, 1)
        time.sleep(seconds)
        number = self._signals.stop_signal
        self._end(
            End(
                ExitCode.STOP_OVERDUE,
                f'{number.name if number else "the end"} took too long',
                limit_seconds=seconds,
                running=self._list_running(),
            )
        )

    def _list_running(self) -> list[str]:
        frame = sys._current_frames().get(threading.main_thread().ident or 0)
        stack = traceback.extract_stack(frame, limit=MAX_FRAMES)
        running = [f'main thread: {_locate(entry)}' for entry in stack]
        try:
            running += self._list_tasks() if self._list_tasks else []
        except Exception as error:
            # The event loop may change its tasks meanwhile.
            running.append(repr(error))
        return running

    def _end(self, end: End) -> NoReturn:
        if self._ending.acquire(blocking=False):
            try:
                self._report(end)
            finally:
                os._exit(end.code)
        # Another thread is reporting the end already.
        time.sleep(REPORT_SECONDS)
        os._exit(end.code)

    def _report(self, end: End) -> None:
        self._signals.hold(_ignore)
        self._signals.detach()
        if self._close_log:
            self._close_log()
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


def _ignore() -> None:
    """Do nothing about a stop, as the process ends anyway."""


def _locate(entry: traceback.FrameSummary) -> str:
    return f'{entry.filename}:{entry.lineno} in {entry.name}'


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
