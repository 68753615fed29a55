"""Commands on settings."""

import sys
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import quote

import cyclopts

from tarragonlb.cli.client import read_fields, read_rows
from tarragonlb.cli.explanation import explain_setting
from tarragonlb.cli.output import OutputFormat
from tarragonlb.cli.publication import apply_documents, publish
from tarragonlb.cli.session import DEFAULT_SESSION, Session
from tarragonlb.cli.settingsfiles import (
    check_folder,
    find_path,
    list_documents,
    read_checked,
)
from tarragonlb.settings.crosscheck import SourceDocument

application = cyclopts.App(
    name='settings', help='Check, read and change settings.'
)


@application.command
def check(target: Path, *, path: str = '') -> None:
    """Check a file, or a folder with a whole tree, without sending it.

    Parameters
    ----------
    target
        A YAML file, or a folder with fleet.yaml, pools/ and teams/.
    path
        Where a single file would stand: /fleet, /pools/NAME or /teams/NAME.
        Left out, the names of the file and its folder say so.

    """
    if target.is_dir():
        count = check_folder(target)
        sys.stdout.write(f'{target}: no problem in {count} documents\n')
    else:
        read_checked(path or find_path(target), target)
        sys.stdout.write(f'{target}: no problem found\n')


@application.command(name='list')
def list_paths(*, session: Session = DEFAULT_SESSION) -> None:
    """List the paths that have a document."""
    _show_entries('/v1/settings', session)


@application.command
def get(path: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Show what is in force under PATH.

    Parameters
    ----------
    path
        A document such as /teams/archive, or a value inside it such as
        /teams/archive/services/transcribe/pool.

    """
    answer = session.connect().call('GET', _make_target('settings', path))
    if session.output is OutputFormat.TEXT:
        fields = read_fields(answer)
        answer = fields.get('text', fields.get('setting'))
    session.show(answer)


@application.command(name='set')
def set_document(
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
    text = read_checked(path, file)
    document = SourceDocument(path=path, source=str(file), text=text)
    answer = publish(session.connect(), document, version)
    if session.output is OutputFormat.TEXT:
        answer.pop('text', None)
    session.show(answer)


@application.command(name='apply')
def apply_folder(folder: Path, *, session: Session = DEFAULT_SESSION) -> None:
    """Check a whole tree, and put in force what differs.

    Parameters
    ----------
    folder
        A folder with fleet.yaml, pools/ and teams/.

    """
    check_folder(folder)
    documents = list_documents(folder)
    rows: list[dict[str, Any]] = []
    try:
        rows.extend(apply_documents(session.connect(), documents))
    finally:
        session.show(rows)


@application.command
def history(path: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Show the latest versions under PATH, oldest first."""
    _show_entries(_make_target('history', path), session)


@application.command
def explain(
    path: str,
    *,
    also: Annotated[
        tuple[str, ...], cyclopts.Parameter(env_var='TARRAGONLB_ALSO')
    ] = (),
    session: Session = DEFAULT_SESSION,
) -> None:
    """Show a value, where it comes from, and where it is in force.

    Parameters
    ----------
    path
        A document, or a value inside it.
    also
        Addresses of further entry VMs to ask, beside --server.

    """
    target = _make_target('explain', path)
    explanation = explain_setting(session.connect(), also, target)
    session.show(explanation)


def _show_entries(target: str, session: Session) -> None:
    entries = session.connect().call('GET', target)
    if session.output is OutputFormat.TEXT:
        entries = [
            {name: entry[name] for name in entry if name != 'text'}
            for entry in read_rows(entries)
        ]
    session.show(entries)


def _make_target(kind: str, path: str) -> str:
    return f'/v1/{kind}/{quote(path.strip("/"))}'
