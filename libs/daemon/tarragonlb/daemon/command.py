"""The command ``tarragonlbd``: reads the start-up file and runs the daemon."""

import sys
from pathlib import Path
from typing import Annotated

import cyclopts
import trio

from tarragonlb.daemon.process import Process
from tarragonlb.settings.problem import SettingsError
from tarragonlb.settings.reader import read_settings
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.telemetry.lifecycle import STANDARD_ERROR
from tarragonlb.telemetry.log import start_logging
from tarragonlb.telemetry.metrics import start_metrics

EXIT_BAD_SETTINGS = 2

application = cyclopts.App(
    name='tarragonlbd', help='Run the tarragonlb daemon on this entry VM.'
)


@application.default
def run_daemon(
    *, settings: Annotated[Path, cyclopts.Parameter(name='--settings')]
) -> None:
    """Run until SIGTERM or SIGINT, then drain requests and stop.

    Parameters
    ----------
    settings
        Start-up file in YAML: name, zone, addresses, operators.

    """
    try:
        text = settings.read_text()
        daemon_settings = read_settings(text, str(settings), DaemonSettings)
    except (OSError, UnicodeDecodeError, SettingsError) as error:
        sys.stderr.write(f'tarragonlbd: {error}\n')
        sys.exit(EXIT_BAD_SETTINGS)
    sink = start_logging(STANDARD_ERROR)
    start_metrics()
    try:
        trio.run(Process(daemon_settings).run)
    finally:
        sink.drain()


def main() -> None:
    """Run the command with the arguments of this process."""
    application()
