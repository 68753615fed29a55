"""Writes log lines without ever blocking the process.

Lines wait in a bounded queue for a thread of their own, which alone writes to
the pipe.  A reader that is slow or gone costs lines, never time; each kind of
line also has a rate of its own.  What was left out is counted, and the counts
are written as lines themselves as soon as there is room.

>>> sink = LineSink(lines.append, now=time.monotonic)      # doctest: +SKIP
"""

import queue
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

# A few seconds of the busiest daemon seen; less than a megabyte.
QUEUE_LINES = 2000
# Lines of one kind a second; an owner at its peak writes about 150.
LINES_A_SECOND = 400
SUMMARY_SECONDS = 1.0
# The last lines get this long to be read when the process ends.
DRAIN_SECONDS = 0.2
# Between two looks at the queue while the process ends.
DRAIN_STEP_SECONDS = 0.01
# Fields of the library that say nothing here, where no actions are nested.
IDLE_FIELDS = ('task_uuid', 'task_level')
LEFT_OUT = 'log: Lines were left out.'


class LineSink:
    """A destination for log messages, fed by any task of the process."""

    __slots__ = ('_budget', '_left_out', '_now', '_queue', '_since', '_write')

    def __init__(
        self, write: Callable[[bytes], None], now: Callable[[], float]
    ) -> None:
        """Write lines with ``write``, which may block its own thread."""
        self._write = write
        self._now = now
        self._queue: queue.Queue[bytes | None] = queue.Queue(QUEUE_LINES)
        self._budget: Counter[str] = Counter()
        self._left_out: Counter[str] = Counter()
        self._since = now()

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message, or count it as left out."""
        now = self._now()
        if now - self._since >= SUMMARY_SECONDS:
            self._since = now
            self._budget.clear()
            self._summarize()
        kind = str(message.get('sentence', ''))
        self._budget[kind] += 1
        if self._budget[kind] > LINES_A_SECOND or not self._put(message):
            self._left_out[kind] += 1

    def start(self) -> None:
        """Begin to write."""
        threading.Thread(target=self._work, daemon=True).start()

    def drain(self) -> None:
        """Wait until all lines are written, at most ``DRAIN_SECONDS``."""
        end = self._now() + DRAIN_SECONDS
        while self._queue.unfinished_tasks and self._now() < end:
            time.sleep(DRAIN_STEP_SECONDS)

    def _summarize(self) -> None:
        if not self._left_out:
            return
        summary = {'sentence': LEFT_OUT, 'counts': dict(self._left_out)}
        if self._put(summary):
            self._left_out.clear()

    def _put(self, message: dict[str, Any]) -> bool:
        told = {
            name: content
            for name, content in message.items()
            if name not in IDLE_FIELDS
        }
        encoded = msgspec.json.encode(told, enc_hook=str)
        try:
            self._queue.put_nowait(b'%s\n' % encoded)
        except queue.Full:
            return False
        return True

    def _work(self) -> None:
        for line in iter(self._queue.get, None):
            self._write(line)
            self._queue.task_done()
