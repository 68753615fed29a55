"""Commands that check, show and change settings."""

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
    """Check a file, or a folder with all settings, without publishing it.

    Parameters
    ----------
    target
        A YAML file, or a folder with fleet.yaml, pools/ and teams/.
    path
        The path of a single file: /fleet, /pools/NAME or /teams/NAME.  By
        default it follows from the names of the file and its folder.

    """
    if target.is_dir():
        count = check_folder(target)
        sys.stdout.write(f'{target}: no problem in {count} documents\n')
    else:
        read_checked(path or find_path(target), target)
        sys.stdout.write(f'{target}: no problem found\n')


@application.command(name='list')
def list_paths(*, session: Session = DEFAULT_SESSION) -> None:
    """List the paths of all documents."""
    _show_entries('/v1/settings', session)


@application.command
def get(path: str, *, session: Session = DEFAULT_SESSION) -> None:
    """Show the document or value in force at PATH.

    Parameters
    ----------
    path
        A document such as /teams/archive, or a value inside it such as
        /teams/archive/services/transcribe/pool.

    """
    answer = session.connect().call('GET', _build_api_path('settings', path))
    if session.output is OutputFormat.TEXT:
        fields = read_fields(answer)
        answer = fields.get('text', fields.get('setting'))
    session.show(answer)


@application.command(name='set')
def set_document(
    path: str, file: Path, version: int, *, session: Session = DEFAULT_SESSION
) -> None:
    """Publish a file as the document at PATH.

    Parameters
    ----------
    path
        The path of the document: /fleet, /pools/NAME or /teams/NAME.
    file
        The YAML file.
    version
        The version to replace, or 0 for a new document.

    """
    text = read_checked(path, file)
    document = SourceDocument(path=path, source=str(file), text=text)
    answer = publish(session.connect(), document, version)
    if session.output is OutputFormat.TEXT:
        answer.pop('text', None)
    session.show(answer)


@application.command(name='apply')
def apply_folder(folder: Path, *, session: Session = DEFAULT_SESSION) -> None:
    """Check a folder with all settings and publish the changed documents.

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
    """Show the latest versions of the document at PATH, oldest first."""
    _show_entries(_build_api_path('history', path), session)


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
        Addresses of further entry VMs to ask, in addition to --server.

    """
    target = _build_api_path('explain', path)
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


def _build_api_path(kind: str, path: str) -> str:
    return f'/v1/{kind}/{quote(path.strip("/"))}'
