"""Signals of a daemon, from its first instruction to its end.

Importing little, this module is loaded before all others.  Until the event
loop runs, a signal to stop ends the process at once, as nothing has been
accepted yet; all other signals are kept for the event loop.
"""

import os
import signal
import time
from collections.abc import Callable
from types import FrameType

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)
# Shells start background processes with these ignored.
SHELL_SIGNALS = (signal.SIGINT, signal.SIGQUIT)
# Would end the process by default, and mean nothing to it.
UNUSED_SIGNALS = (
    signal.SIGUSR1,
    signal.SIGUSR2,
    signal.SIGALRM,
    signal.SIGVTALRM,
    signal.SIGPROF,
    signal.SIGIO,
    signal.SIGXCPU,
)
EARLY_STOP_LINE = (
    '{{"sentence": "lifecycle: Process ended.", "timestamp": {now}, '
    '"message_type": "tarragonlb:lifecycle", "exit_code": 0, '
    '"cause": "{name} during the start"}}\n'
)


class ProcessSignals:
    """Handles the signals of this process and hands them to the event loop."""

    __slots__ = (
        '_begin_stop',
        '_deliver',
        '_descriptor',
        '_pending',
        'stop_signal',
        'stopped_at',
    )

    def __init__(self, descriptor: int) -> None:
        """Report a stop during the start on ``descriptor``."""
        self._descriptor = descriptor
        self._begin_stop: Callable[[], None] | None = None
        self._deliver: Callable[[signal.Signals], None] | None = None
        self._pending: dict[signal.Signals, None] = {}
        self.stop_signal: signal.Signals | None = None
        # When it arrived, in seconds of ``time.monotonic()``.
        self.stopped_at: float | None = None

    def install(self) -> None:
        """Handle all signals that would end the process."""
        for number in (*STOP_SIGNALS, signal.SIGHUP, *UNUSED_SIGNALS):
            is_ignored = signal.getsignal(number) == signal.SIG_IGN
            if not (is_ignored and number in SHELL_SIGNALS):
                signal.signal(number, self._handle)

    def hold(self, begin_stop: Callable[[], None]) -> None:
        """Keep signals for the event loop instead of ending at once.

        Call ``begin_stop`` once, when the first signal to stop arrives.
        """
        self._begin_stop = begin_stop

    def attach(self, deliver: Callable[[signal.Signals], None]) -> None:
        """Deliver all signals that have been kept, and those to come."""
        self._deliver = deliver
        pending, self._pending = self._pending, {}
        for number in pending:
            deliver(number)

    def detach(self) -> None:
        """Deliver no more signals."""
        self._deliver = None

    def _handle(self, code: int, _frame: FrameType | None) -> None:
        number = signal.Signals(code)
        if number in STOP_SIGNALS and self.stop_signal is None:
            if self._begin_stop is None:
                self._exit(number)
            else:
                self.stop_signal = number
                self.stopped_at = time.monotonic()
                self._begin_stop()
        if self._deliver is None:
            self._pending[number] = None
        else:
            self._deliver(number)

    def _exit(self, number: signal.Signals) -> None:
        line = EARLY_STOP_LINE.format(now=time.time(), name=number.name)
        try:
            os.write(self._descriptor, line.encode())
        finally:
            # An exception would be lost in a callback of the import system.
            os._exit(os.EX_OK)
