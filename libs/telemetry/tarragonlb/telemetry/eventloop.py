"""The event loop of a daemon: signals, failures and what is running."""

import contextlib
import math
import signal
from collections.abc import Awaitable, Callable, Generator
from functools import partial
from typing import Any

import trio

from tarragonlb.telemetry.lifecycle import Lifecycle
from tarragonlb.telemetry.log import Log
from tarragonlb.telemetry.processsignals import STOP_SIGNALS
from tarragonlb.telemetry.supervision import format_trace, supervise

LOG = Log('eventloop')


@contextlib.contextmanager
def open_signals(
    lifecycle: Lifecycle,
) -> Generator[trio.MemoryReceiveChannel[signal.Signals], None, None]:
    """Receive the signals of the process as messages.

    Signals that arrived before are received first.  Equal signals that arrive
    together are received once.
    """
    sender, receiver = trio.open_memory_channel[signal.Signals](math.inf)
    token = trio.lowlevel.current_trio_token()
    lifecycle.attach_tasks(
        partial(list_tasks, trio.lowlevel.current_root_task())
    )
    lifecycle.signals.attach(
        lambda number: token.run_sync_soon(
            sender.send_nowait, number, idempotent=True
        )
    )
    try:
        yield receiver
    finally:
        lifecycle.signals.detach()


class ProcessTasks:
    """Runs the tasks without which a process can't go on."""

    __slots__ = ('_lifecycle',)

    def __init__(self, lifecycle: Lifecycle) -> None:
        """Supervise tasks of the process with this lifecycle."""
        self._lifecycle = lifecycle

    async def run(
        self, task: Callable[..., Awaitable[None]], *arguments: Any
    ) -> None:
        """Run a task; log its error at once and limit the time until the end.

        The process ends only when all other tasks are cancelled, and one of
        them may hang.
        """
        try:
            await task(*arguments)
        except Exception as error:
            self._lifecycle.begin_stop()
            LOG.emit(
                'Task failed.', error=repr(error), trace=format_trace(error)
            )
            raise

    async def watch_signals(
        self,
        stop: Callable[[], None],
        reload: Callable[[], None] | None = None,
    ) -> None:
        """Call ``stop`` on signals to stop, and ``reload`` on each SIGHUP.

        An error of either is logged, and later signals are handled.
        """
        await supervise('signals', partial(self._handle_signals, stop, reload))

    async def _handle_signals(
        self, stop: Callable[[], None], reload: Callable[[], None] | None
    ) -> None:
        with open_signals(self._lifecycle) as signals:
            async for number in signals:
                if number in STOP_SIGNALS:
                    stop()
                elif number == signal.SIGHUP and reload:
                    reload()
                else:
                    LOG.emit('Signal ignored.', signal=number.name)


def list_tasks(root: trio.lowlevel.Task | None) -> list[str]:
    """Return the name and position of each task without child tasks."""
    lines = []
    unvisited = [root] if root else []
    while unvisited:
        task = unvisited.pop()
        children = [
            child
            for nursery in tuple(task.child_nurseries)
            for child in tuple(nursery.child_tasks)
        ]
        unvisited.extend(children)
        if not children:
            lines.append(_describe(task))
    return lines


def _describe(task: trio.lowlevel.Task) -> str:
    frames = [
        f'{frame.f_code.co_filename}:{line}'
        for frame, line in task.iter_await_frames()
        if '/trio/' not in frame.f_code.co_filename
    ]
    return f'{task.name} at {frames[-1]}' if frames else task.name
