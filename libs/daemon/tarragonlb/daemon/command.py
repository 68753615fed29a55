"""The command ``tarragonlbd``: runs the daemon on this entry VM."""

from tarragonlb.telemetry.launch import launch

STANDARD_ERROR = 2


def main() -> None:
    """Run the command with the arguments of this process."""
    launch('tarragonlb.daemon.program', STANDARD_ERROR)
