"""Writes log lines without blocking the process.

A separate thread takes the lines from a bounded queue and writes them to the
pipe.  If the reader is slow or gone, lines are dropped instead of blocking the
caller.  Lines with the same sentence are also rate-limited.  Dropped lines are
counted, and the counts are logged as soon as the queue has room.  The same
holds for lines that could not be written, as on a full disk.

>>> sink = LineSink(lines.append, now=time.monotonic)      # doctest: +SKIP
"""

import queue
import threading
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec

# A few seconds of the busiest daemon.
MAX_QUEUED_LINES = 2000
# Bounds the memory of a daemon whose reader has stopped.
MAX_QUEUED_BYTES = 4_194_304
# Limit per sentence; an owner at its peak writes about 150 lines a second.
MAX_LINES_PER_SECOND = 400
RATE_WINDOW_SECONDS = 1.0
# Time limit for writing the remaining lines when the process ends.
DRAIN_SECONDS = 0.2
# Pause between two checks of the queue while the process ends.
DRAIN_STEP_SECONDS = 0.01
# Of a field that can't be encoded as it is.
MAX_DESCRIPTION_CHARACTERS = 3000
# Fields of eliot for nested actions, which are not used here.
OMITTED_FIELDS = ('task_uuid', 'task_level')
DROPPED_SENTENCE = 'log: Lines were left out.'


class LineSink:
    """Destination for the log messages of all tasks of the process."""

    __slots__ = (
        '_counts',
        '_dropped',
        '_is_closed',
        '_now',
        '_put_bytes',
        '_queue',
        '_reported',
        '_taken_bytes',
        '_unwritten',
        '_unwritten_reason',
        '_window_started_at',
        '_write',
        '_writing',
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
        # In total.
        self._put_bytes = 0
        # Only the writing thread changes these three.
        self._taken_bytes = 0
        self._unwritten = 0
        self._unwritten_reason = ''
        self._reported = 0
        self._is_closed = False
        self._writing = threading.Lock()
        self._window_started_at = now()

    def __call__(self, message: dict[str, Any]) -> None:
        """Queue a message, or count it as dropped."""
        if self._is_closed:
            return
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

    def close(self) -> None:
        """Take no more lines, and wait until those taken are written.

        What takes longer than ``DRAIN_SECONDS`` is left out.
        """
        self._is_closed = True
        deadline = self._now() + DRAIN_SECONDS
        while self._queue.unfinished_tasks and self._now() < deadline:
            time.sleep(DRAIN_STEP_SECONDS)
        # Kept, so that the writing thread writes nothing more.
        self._writing.acquire(timeout=DRAIN_STEP_SECONDS)

    def _log_dropped_lines(self) -> None:
        unwritten = self._unwritten
        if not self._dropped and unwritten == self._reported:
            return
        summary: dict[str, Any] = {
            'sentence': DROPPED_SENTENCE,
            'counts': dict(self._dropped),
        }
        if unwritten:
            # In total, as this line may not be written either.
            summary['unwritten'] = unwritten
            summary['reason'] = self._unwritten_reason
        if self._put(summary):
            self._dropped.clear()
            self._reported = unwritten

    def _put(self, message: dict[str, Any]) -> bool:
        fields = {
            name: content
            for name, content in message.items()
            if name not in OMITTED_FIELDS
        }
        line = b'%s\n' % _encode(fields)
        queued = self._put_bytes - self._taken_bytes
        if queued + len(line) > MAX_QUEUED_BYTES:
            return False
        try:
            self._queue.put_nowait(line)
        except queue.Full:
            return False
        self._put_bytes += len(line)
        return True

    def _write_lines(self) -> None:
        for line in iter(self._queue.get, None):
            try:
                with self._writing:
                    self._write(line)
            except Exception as error:
                self._unwritten += 1
                self._unwritten_reason = repr(error)
            finally:
                self._taken_bytes += len(line)
                self._queue.task_done()


def _encode(fields: dict[str, Any]) -> bytes:
    try:
        return msgspec.json.encode(fields, enc_hook=str)
    except Exception:
        # Such as a lone surrogate, or an object that can't be shown.
        plain = {name: _describe(content) for name, content in fields.items()}
        return msgspec.json.encode(plain)


def _describe(content: object) -> object:
    if isinstance(content, float):
        return content
    try:
        text = content if isinstance(content, str) else repr(content)
    except Exception:
        text = f'unprintable {type(content).__name__}'
    if len(text) > MAX_DESCRIPTION_CHARACTERS:
        text = f'{text[:MAX_DESCRIPTION_CHARACTERS]}...'
    return text.encode(errors='backslashreplace').decode()
