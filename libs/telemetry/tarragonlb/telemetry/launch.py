"""Starts the program of a daemon with its signals handled from the beginning.

Importing a program takes most of the time of a start, so this module imports
as little as possible.
"""

import importlib

from tarragonlb.telemetry.processsignals import ProcessSignals


def launch(module_name: str, log_descriptor: int) -> None:
    """Run the ``main`` of a module as a daemon, and end the process."""
    signals = ProcessSignals(log_descriptor)
    signals.install()
    telemetry = importlib.import_module('tarragonlb.telemetry.lifecycle')
    telemetry.Lifecycle(signals, log_descriptor).run(module_name)
