"""Keeps the errors of one connection from the rest of the process.

>>> with Boundary('Request failed.'):                      # doctest: +SKIP
...     raise ValueError
"""

from collections.abc import Iterator
from types import TracebackType

import trio

from tarragonlb.telemetry.log import Log

LOG = Log('server')
# These end the task, or the process, on purpose.
PASSED_ERRORS = (trio.Cancelled, KeyboardInterrupt)
MAX_TEXT_CHARACTERS = 300
TRACE_FRAMES = 4


class Boundary:
    """A context that logs errors and lets only cancellation pass.

    ``SystemExit`` is an error here: a request must not end the process.
    """

    __slots__ = ('_client', 'has_failed')

    def __init__(self, client: str) -> None:
        """Name ``client`` in the log lines."""
        self._client = client
        self.has_failed = False

    def __enter__(self) -> 'Boundary':
        """Begin to watch for errors."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool:
        """Log the errors; return whether nothing else has to pass."""
        if error is None or isinstance(error, PASSED_ERRORS):
            return False
        passed: BaseException | None = None
        if isinstance(error, BaseExceptionGroup):
            passed = error.split(PASSED_ERRORS)[0]
        for fault in _list_faults(error):
            self.has_failed = True
            LOG.emit(
                'A connection failed unexpectedly.',
                client=self._client,
                error=describe_error(fault),
                trace=describe_trace(fault),
            )
        if passed is not None and self.has_failed:
            raise passed
        return passed is None


def describe_error(error: BaseException) -> str:
    """Return the type and the text of an error, such as ``OSError: busy``."""
    try:
        text = str(error)
    except Exception:
        # Its text is computed by code that may be broken as well.
        text = 'no text'
    return f'{type(error).__name__}: {text[:MAX_TEXT_CHARACTERS]}'


def describe_trace(error: BaseException) -> str:
    """Return the innermost calls, outermost first: ``module.py:3 name``."""
    calls: list[str] = []
    trace = error.__traceback__
    while trace is not None:
        code = trace.tb_frame.f_code
        name = code.co_filename.rpartition('/')[2]
        calls.append(f'{name}:{trace.tb_lineno} {code.co_name}')
        trace = trace.tb_next
    return ', '.join(calls[-TRACE_FRAMES:])


def _list_faults(error: BaseException) -> Iterator[BaseException]:
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from _list_faults(inner)
    elif not isinstance(error, PASSED_ERRORS):
        yield error
