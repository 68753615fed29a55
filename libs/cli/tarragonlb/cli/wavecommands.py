"""Commands that plan, start and control maintenance waves."""

import cyclopts

from tarragonlb.cli.session import DEFAULT_SESSION, Session

application = cyclopts.App(name='wave', help='Run maintenance waves.')


@application.command
def plan(
    pool: str,
    *,
    at_once: int | None = None,
    session: Session = DEFAULT_SESSION,
) -> None:
    """Show the cost of a wave over POOL without starting it.

    Parameters
    ----------
    pool
        The pool to maintain.
    at_once
        Maximum number of VMs in maintenance at a time; by default it is
        taken from the settings of the pool.

    """
    _post_wave('/v1/waves/plan', pool, at_once, session)


@application.command
def start(
    pool: str,
    *,
    at_once: int | None = None,
    session: Session = DEFAULT_SESSION,
) -> None:
    """Start a wave over all VMs of POOL.

    Parameters
    ----------
    pool
        The pool to maintain.
    at_once
        Maximum number of VMs in maintenance at a time; by default it is
        taken from the settings of the pool.

    """
    _post_wave('/v1/waves', pool, at_once, session)


@application.command(name='list')
def list_waves(*, session: Session = DEFAULT_SESSION) -> None:
    """List all waves."""
    session.get('/v1/waves')


@application.command
def show(wave_id: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Show the progress of a wave."""
    session.get(f'/v1/waves/{wave_id}')


@application.command
def pause(wave_id: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Pause a wave; VMs in maintenance finish, but no further VM starts."""
    _put_status(wave_id, 'paused', session)


@application.command
def resume(wave_id: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Resume a paused wave."""
    _put_status(wave_id, 'running', session)


@application.command
def abort(wave_id: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Abort a wave before all its VMs were maintained."""
    _put_status(wave_id, 'aborted', session)


def _post_wave(
    path: str, pool: str, at_once: int | None, session: Session
) -> None:
    request = {'pool': pool, 'at_once': at_once}
    session.show(session.connect().send('POST', path, request))


def _put_status(wave_id: str, status: str, session: Session) -> None:
    request = {'status': status}
    session.show(session.connect().send('PUT', f'/v1/waves/{wave_id}', request))
