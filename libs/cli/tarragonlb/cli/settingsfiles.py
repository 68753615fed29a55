"""Reads and checks the local settings files of an operator.

A folder holds all settings: ``fleet.yaml``, ``pools/NAME.yaml`` and
``teams/NAME.yaml`` are the documents ``/fleet``, ``/pools/NAME`` and
``/teams/NAME``.  It may also hold the start-up files of daemons, as
``entries/NAME.yaml``.
"""

from collections.abc import Iterable, Iterator
from pathlib import Path

from tarragonlb.cli.client import EXIT_BAD_INPUT, CallError
from tarragonlb.settings.crosscheck import SourceDocument, check_documents
from tarragonlb.settings.problem import Problem, SettingsError
from tarragonlb.settings.reader import read_document, read_settings
from tarragonlb.settings.startup import DaemonSettings

FLEET = 'fleet'
ENTRIES = 'entries'
FOLDERS = ('pools', 'teams')
SUFFIX = '.yaml'


def read_checked(path: str, file: Path) -> str:
    """Return the text of a file after checking it as the document of a path.

    Raise ``CallError`` with the line of each problem.
    """
    text = read_file(file)
    try:
        read_document(text, path)
    except SettingsError as error:
        raise _make_error(_locate_problems(error, path, file)) from error
    return text


def check_folder(folder: Path) -> int:
    """Check all files of a folder and return their number."""
    documents = list_documents(folder)
    if not documents:
        raise _make_error(
            [f'{folder}: expected fleet.yaml, pools/*.yaml or teams/*.yaml']
        )
    startup_files = _list_files(folder / ENTRIES)
    problems = [
        *check_documents(documents),
        *_check_startup_files(startup_files),
    ]
    if problems:
        raise _make_error(problems)
    return len(documents) + len(startup_files)


def list_documents(folder: Path) -> list[SourceDocument]:
    """Return the documents of a folder, pools before teams."""
    paths = {f'/{FLEET}': folder / f'{FLEET}{SUFFIX}'}
    for name in FOLDERS:
        for file in _list_files(folder / name):
            paths[f'/{name}/{file.stem}'] = file
    return [
        SourceDocument(path=path, source=str(file), text=read_file(file))
        for path, file in paths.items()
        if file.exists()
    ]


def find_path(file: Path) -> str:
    """Return the document path that follows from a file's name and folder.

    Raise ``CallError`` if the name and folder are those of no document.
    """
    if file.stem == FLEET:
        return f'/{FLEET}'
    folder = file.absolute().parent.name
    if folder in FOLDERS:
        return f'/{folder}/{file.stem}'
    raise _make_error([f'{file}: give the path of the document with --path'])


def read_file(file: Path) -> str:
    """Return the text of a file; raise ``CallError`` if it cannot be read."""
    try:
        return file.read_text(encoding='utf-8')
    except OSError as error:
        raise _make_error([f'{file}: {error.strerror}']) from error
    except UnicodeDecodeError as error:
        raise _make_error([f'{file}: not UTF-8: {error}']) from error


def _list_files(folder: Path) -> list[Path]:
    return sorted(folder.glob(f'*{SUFFIX}'))


def _check_startup_files(files: Iterable[Path]) -> Iterator[Problem]:
    owners: dict[str, Path] = {}
    for file in files:
        try:
            settings = read_settings(read_file(file), str(file), DaemonSettings)
        except SettingsError as error:
            yield from error.problems
            continue
        for identifier in (
            settings.name,
            settings.listen,
            settings.peer_listen,
        ):
            owner = owners.setdefault(identifier, file)
            if owner != file:
                yield Problem(
                    str(file), 1, '', f'{owner} uses {identifier}, too'
                )


def _locate_problems(
    error: SettingsError, path: str, file: Path
) -> Iterable[Problem | str]:
    for problem in error.problems:
        message = f'{problem.message} (for {path})'
        yield Problem(str(file), problem.line, problem.field, message)


def _make_error(problems: Iterable[Problem | str]) -> CallError:
    return CallError('\n'.join(map(str, problems)), EXIT_BAD_INPUT)
