"""The program of the daemon: reads the start-up file and runs the tasks."""

from pathlib import Path
from typing import Annotated

import cyclopts
import trio

from tarragonlb.daemon.process import STOP_MARGIN_SECONDS, Process
from tarragonlb.settings.problem import SettingsError
from tarragonlb.settings.reader import read_settings
from tarragonlb.settings.startup import DaemonSettings
from tarragonlb.telemetry.eventloop import ProcessTasks
from tarragonlb.telemetry.lifecycle import (
    STANDARD_ERROR,
    End,
    ExitCode,
    Lifecycle,
)
from tarragonlb.telemetry.log import start_logging
from tarragonlb.telemetry.metrics import start_metrics
from tarragonlb.telemetry.settingsfile import read_settings_file

application = cyclopts.App(
    name='tarragonlbd',
    help='Run the tarragonlb daemon on this entry VM.',
    result_action='return_value',
)


@application.default
def get_settings_path(
    *, settings: Annotated[Path, cyclopts.Parameter(name='--settings')]
) -> Path:
    """Run until SIGTERM or SIGINT, then drain requests and stop.

    Parameters
    ----------
    settings
        Start-up file in YAML: name, zone, addresses, operators.

    """
    return settings


def main(lifecycle: Lifecycle) -> End | None:
    """Run the daemon and return why it ends, or give help only."""
    path = application()
    if path is None:
        return None
    try:
        text = read_settings_file(str(path))
        settings = read_settings(text, str(path), DaemonSettings)
    except (OSError, ValueError, SettingsError) as error:
        return End(ExitCode.INVALID_SETTINGS, f'invalid settings: {error}')
    lifecycle.attach_log(start_logging(STANDARD_ERROR).close)
    start_metrics()
    lifecycle.begin_run(settings.stop_limit_seconds + STOP_MARGIN_SECONDS)
    trio.run(Process(settings).run, ProcessTasks(lifecycle))
    return lifecycle.describe_stop()
