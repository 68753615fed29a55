"""Starts the program of a daemon with its signals handled from the beginning.

Importing a program takes most of the time of a start, so this module imports
as little as possible.
"""

import contextlib
import importlib
import os

from tarragonlb.telemetry.processsignals import ProcessSignals

STANDARD_DESCRIPTORS = (0, 1, 2)


def launch(module_name: str, log_descriptor: int) -> None:
    """Run the ``main`` of a module as a daemon, and end the process."""
    reserve_descriptors()
    signals = ProcessSignals(log_descriptor)
    signals.install()
    telemetry = importlib.import_module('tarragonlb.telemetry.lifecycle')
    telemetry.Lifecycle(signals, log_descriptor).run(module_name)


def reserve_descriptors() -> None:
    """Open the standard streams that are closed.

    A socket or a file would get their numbers otherwise, and log lines with
    them.  What one of the output streams lacks, the other one gets.
    """
    closed = [number for number in STANDARD_DESCRIPTORS if not _is_open(number)]
    with contextlib.suppress(OSError):
        for _ in closed:
            # Takes the lowest number that is free.
            os.open(os.devnull, os.O_RDWR)
        for number, other in ((1, 2), (2, 1)):
            if number in closed and other not in closed:
                os.dup2(other, number)


def _is_open(descriptor: int) -> bool:
    try:
        os.fstat(descriptor)
    except OSError:
        return False
    return True
