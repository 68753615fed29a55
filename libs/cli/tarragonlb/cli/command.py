"""The command ``tarragonlb``: its command groups and its entry point."""

import sys
from importlib import metadata

import cyclopts

from tarragonlb.cli import jobcommands, settingscommands, wavecommands
from tarragonlb.cli.client import EXIT_REFUSED, CallError
from tarragonlb.cli.session import DEFAULT_SESSION, Session

application = cyclopts.App(
    name='tarragonlb',
    help='Manage a fleet through its administration API.',
    version=metadata.version('tarragonlb-cli'),
    help_epilogue=(
        'Exit codes: 0 done, 1 refused, 2 bad input, 3 server not reached, '
        '4 unknown whether the change took effect.'
    ),
)
application.command(settingscommands.application)
application.command(jobcommands.application)
application.command(wavecommands.application)
application.command(
    'tarragonlb.cli.reportcommands:application',
    name='report',
    help='Report on objectives.',
)
application.register_install_completion_command()
pool_application = cyclopts.App(name='pool', help='List and plan pools.')
vm_application = cyclopts.App(name='vm', help='List VMs.')
application.command(pool_application)
application.command(vm_application)


@application.command
def status(*, session: Session = DEFAULT_SESSION) -> None:
    """Show the state of the entry VM and its log offset."""
    session.get('/v1/status')


@pool_application.command(name='list')
def list_pools(*, session: Session = DEFAULT_SESSION) -> None:
    """List pools with their sizes and budgets."""
    session.get('/v1/pools')


@pool_application.command(name='plan')
def plan_pools(pool: str = '', *, session: Session = DEFAULT_SESSION) -> None:
    """Show the lowest cost of maintaining every pool.

    Parameters
    ----------
    pool
        Show the plan of this pool in full.

    """
    plans = session.connect().call('GET', '/v1/pools/plan')
    if not pool:
        session.show(plans)
        return
    chosen = [plan for plan in plans if plan['pool'] == pool]
    if not chosen:
        message = f'pool {pool} does not exist or is a spare pool'
        raise CallError(message, EXIT_REFUSED)
    session.show(chosen[0])


@vm_application.command(name='list')
def list_vms(*, session: Session = DEFAULT_SESSION) -> None:
    """List VMs with their pools and charges."""
    session.get('/v1/vms')


def main() -> None:
    """Run the tool with the arguments of this process."""
    try:
        application()
    except CallError as error:
        sys.stderr.write(f'tarragonlb: {error}\n')
        sys.exit(error.exit_code)
