"""Commands on maintenance waves."""

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
    """Show what a wave over POOL would cost, without starting it.

    Parameters
    ----------
    pool
        The pool to maintain.
    at_once
        VMs away at once; the pool's settings decide if it is not given.

    """
    _order('/v1/waves/plan', pool, at_once, session)


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
        VMs away at once; the pool's settings decide if it is not given.

    """
    _order('/v1/waves', pool, at_once, session)


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
    """Take no further VM away; those that are away come back."""
    _steer(wave_id, 'paused', session)


@application.command
def resume(wave_id: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Go on with a paused wave."""
    _steer(wave_id, 'running', session)


@application.command
def abort(wave_id: str, *, session: Session = DEFAULT_SESSION) -> None:
    """End a wave before all its VMs were maintained."""
    _steer(wave_id, 'aborted', session)


def _order(path: str, pool: str, at_once: int | None, session: Session) -> None:
    order = {'pool': pool, 'at_once': at_once}
    session.show(session.connect().send('POST', path, order))


def _steer(wave_id: str, status: str, session: Session) -> None:
    order = {'status': status}
    session.show(session.connect().send('PUT', f'/v1/waves/{wave_id}', order))
