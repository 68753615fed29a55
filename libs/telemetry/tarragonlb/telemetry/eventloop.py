"""Connects the signals of a daemon with its event loop."""

import contextlib
import math
import signal
from collections.abc import Generator

import trio

from tarragonlb.telemetry.processsignals import ProcessSignals


@contextlib.contextmanager
def open_signals(
    signals: ProcessSignals,
) -> Generator[trio.MemoryReceiveChannel[signal.Signals], None, None]:
    """Receive the signals of the process as messages.

    Signals that arrived before are received first.  Equal signals that arrive
    together are received once.
    """
    sender, receiver = trio.open_memory_channel[signal.Signals](math.inf)
    token = trio.lowlevel.current_trio_token()
    signals.attach(
        lambda number: token.run_sync_soon(
            sender.send_nowait, number, idempotent=True
        )
    )
    try:
        yield receiver
    finally:
        signals.detach()
