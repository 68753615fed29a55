"""Writes log lines without blocking the process.

A separate thread takes the lines from a bounded queue and writes them to the
pipe.  If the reader is slow or gone, lines are dropped instead of blocking the
caller.  Lines with the same sentence are also rate-limited.  Dropped lines are
counted, and the counts are logged as soon as the queue has room.

>>> sink = LineSink(lines.append, now=time.monotonic)      # doctest: +SKIP
"""

import queue
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

# A few seconds of the busiest daemon; less than a megabyte of memory.
MAX_QUEUED_LINES = 2000
# Limit per sentence; an owner at its peak writes about 150 lines a second.
MAX_LINES_PER_SECOND = 400
RATE_WINDOW_SECONDS = 1.0
# Time limit for writing the remaining lines when the process ends.
DRAIN_SECONDS = 0.2
# Pause between two checks of the queue while the process ends.
DRAIN_STEP_SECONDS = 0.01
# Fields of eliot for nested actions, which are not used here.
OMITTED_FIELDS = ('task_uuid', 'task_level')
DROPPED_SENTENCE = 'log: Lines were left out.'


class LineSink:
    """Destination for the log messages of all tasks of the process."""

    __slots__ = (
        '_counts',
        '_dropped',
        '_now',
        '_queue',
        '_window_started_at',
        '_write',
    )

    def __init__(
        self, write: Callable[[bytes], None], now: Callable[[], float]
    ) -> None:
        """Pass lines to ``write``, which may block only the writing thread."""
        self._write = write
        self._now = now
        self._queue: queue.Queue[bytes | None] = queue.Queue(MAX_QUEUED_LINES)
        self._counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()
        self._window_started_at = now()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message, or count it as dropped."""
        now = self._now()
        if now - self._window_started_at >= RATE_WINDOW_SECONDS:
            self._window_started_at = now
            self._counts.clear()
            self._log_dropped_lines()
        key = str(message.get('sentence', ''))
        self._counts[key] += 1
        if self._counts[key] > MAX_LINES_PER_SECOND or not self._put(message):
            self._dropped[key] += 1

    def start(self) -> None:
        """Start the writing thread."""
        threading.Thread(target=self._write_lines, daemon=True).start()

    def drain(self) -> None:
        """Wait until all lines are written, at most ``DRAIN_SECONDS``."""
        deadline = self._now() + DRAIN_SECONDS
        while self._queue.unfinished_tasks and self._now() < deadline:
            time.sleep(DRAIN_STEP_SECONDS)

    def _log_dropped_lines(self) -> None:
        if not self._dropped:
            return
        summary = {'sentence': DROPPED_SENTENCE, 'counts': dict(self._dropped)}
        if self._put(summary):
            self._dropped.clear()

    def _put(self, message: dict[str, Any]) -> bool:
        fields = {
            name: content
            for name, content in message.items()
            if name not in OMITTED_FIELDS
        }
        encoded = msgspec.json.encode(fields, enc_hook=str)
        try:
            self._queue.put_nowait(b'%s\n' % encoded)
        except queue.Full:
            return False
        return True

    def _write_lines(self) -> None:
        for line in iter(self._queue.get, None):
            self._write(line)
            self._queue.task_done()
