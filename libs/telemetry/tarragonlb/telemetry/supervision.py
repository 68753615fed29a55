"""Keeps the tasks of a process running.

A task that fails is logged, counted and started again after a pause.  The
pause doubles with each failure in a row, up to a bound.  What a task has to
discard before it can start again is decided by the task itself.
"""

import traceback
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import trio

from tarragonlb.telemetry.fleetmetrics import FLEET_METER, TASK_FAILURES
from tarragonlb.telemetry.log import Log

Task: TypeAlias = Callable[[], Awaitable[None]]

LOG = Log('process')
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 5.0
# A task that has run for this long counts as sound again.
RECOVERY_SECONDS = 10.0
# The end of a trace names the cause.
MAX_TRACE_CHARACTERS = 3000


class TaskRestarts:
    """Decides when a task that failed is started again.

    >>> restarts = TaskRestarts()
    >>> restarts.note_start(now=0.0)
    >>> restarts.note_failure(now=1.0)
    >>> restarts.note_failure(now=1.5)
    >>> restarts.failures, restarts.pause_seconds
    (2, 0.2)
    """

    __slots__ = ('_started_at', 'failures', 'pause_seconds')

    def __init__(self) -> None:
        """Begin without failures."""
        self._started_at = 0.0
        # Failures in a row, and the pause after the last one.
        self.failures = 0
        self.pause_seconds = 0.0

    def note_start(self, now: float) -> None:
        """Note that the task was started at ``now`` seconds."""
        self._started_at = now

    def note_failure(self, now: float) -> None:
        """Choose the pause after a failure at ``now`` seconds."""
        has_recovered = now - self._started_at >= RECOVERY_SECONDS
        if has_recovered or not self.failures:
            self.failures = 1
            self.pause_seconds = FIRST_PAUSE_SECONDS
            return
        self.failures += 1
        self.pause_seconds = min(2 * self.pause_seconds, MAX_PAUSE_SECONDS)


async def supervise(name: str, task: Task) -> None:
    """Run a task until it returns, and start it again whenever it fails.

    ``name`` is a label of a metric, so a process has few of them.
    Cancellation passes, also if it comes together with an error.
    """
    restarts = TaskRestarts()
    while True:
        if await _run_once(name, task, restarts):
            return
        await trio.sleep(restarts.pause_seconds)


def format_trace(error: BaseException) -> str:
    """Return the end of an error's trace."""
    trace = ''.join(traceback.format_exception(error))
    return trace[-MAX_TRACE_CHARACTERS:]


async def _run_once(name: str, task: Task, restarts: TaskRestarts) -> bool:
    """Run a task; return whether it ended without an error."""
    has_ended = False
    restarts.note_start(trio.current_time())
    try:
        async with trio.open_nursery() as nursery:
            if restarts.failures:
                nursery.start_soon(_report_recovery, name, restarts)
            await task()
            has_ended = True
            nursery.cancel_scope.cancel()
    except* Exception as group:
        # Logged here, since a cancellation may go on from here.
        restarts.note_failure(trio.current_time())
        _log_failure(name, _unwrap(group), restarts)
    return has_ended


def _log_failure(name: str, error: Exception, restarts: TaskRestarts) -> None:
    FLEET_METER.count(TASK_FAILURES, name)
    LOG.emit(
        'Task failed.',
        task=name,
        error=repr(error),
        trace=format_trace(error),
        failures=restarts.failures,
        pause_seconds=restarts.pause_seconds,
    )


async def _report_recovery(name: str, restarts: TaskRestarts) -> None:
    await trio.sleep(RECOVERY_SECONDS)
    LOG.emit('Task runs well again.', task=name, failures=restarts.failures)


def _unwrap(error: Exception) -> Exception:
    """Return the error that is alone in its groups, else the group."""
    while isinstance(error, ExceptionGroup) and len(error.exceptions) == 1:
        error = error.exceptions[0]
    return error
