"""Commands on settings."""

import sys
from pathlib import Path

import cyclopts

from tarragonlb.cli.client import EXIT_BAD_INPUT, CallError
from tarragonlb.cli.session import DEFAULT_SESSION, Session
from tarragonlb.settings.check import read_document
from tarragonlb.settings.problem import Problem, SettingsError

application = cyclopts.App(
    name='settings', help='Check, read and change settings.'
)


@application.command
def check(path: str, file: Path) -> None:
    """Check a file of settings without sending it.

    Parameters
    ----------
    path
        Where the document would stand: /fleet, /pools/NAME or /teams/NAME.
    file
        The YAML file.

    """
    _check(path, file)
    sys.stdout.write(f'{file}: no problem found\n')


@application.command(name='list')
def list_paths(*, session: Session = DEFAULT_SESSION) -> None:
    """List the paths that have a document."""
    session.get('/v1/settings')


@application.command
def get(path: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Show the document in force under PATH."""
    session.get(f'/v1/settings{path}')


@application.command(name='set')
def publish(
    path: str, file: Path, version: int, *, session: Session = DEFAULT_SESSION
) -> None:
    """Put a file in force under PATH.

    Parameters
    ----------
    path
        Where the document stands: /fleet, /pools/NAME or /teams/NAME.
    file
        The YAML file.
    version
        The version that is to be replaced, 0 for a new path.

    """
    text = _check(path, file)
    headers = {'if-match': str(version), 'tarragon-source': str(file)}
    server = session.connect()
    answer = server.call('PUT', f'/v1/settings{path}', text.encode(), headers)
    session.show(answer)


@application.command
def history(path: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Show the latest versions under PATH, oldest first."""
    session.get(f'/v1/history{path}')


@application.command
def explain(path: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Show who set PATH, when, from which file, and at which offset."""
    entry = session.connect().call('GET', f'/v1/settings{path}')
    entry.pop('text')
    session.show(entry)


def _check(path: str, file: Path) -> str:
    try:
        text = file.read_text()
        read_document(text, path)
    except SettingsError as error:
        message = '\n'.join(
            str(_place(problem, path, file)) for problem in error.problems
        )
        raise CallError(message, EXIT_BAD_INPUT) from error
    except (OSError, UnicodeDecodeError) as error:
        raise CallError(f'{file}: {error}', EXIT_BAD_INPUT) from error
    return text


def _place(problem: Problem, path: str, file: Path) -> Problem:
    message = f'{problem.message} (for {path})'
    return Problem(str(file), problem.line, problem.field, message)
