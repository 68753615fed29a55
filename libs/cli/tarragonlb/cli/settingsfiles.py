"""Files of settings on the operator's side: read, placed and checked.

A folder holds a whole tree: ``fleet.yaml``, ``pools/NAME.yaml`` and
``teams/NAME.yaml`` stand for the documents of the same paths.  Start-up files
of daemons may stand beside them as ``entries/NAME.yaml``.
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
    """Return the text of a file that may stand under a path.

    Raises ``CallError`` with the line of each problem.
    """
    text = read_file(file)
    try:
        read_document(text, path)
    except SettingsError as error:
        raise _refuse(_place(error, path, file)) from error
    return text


def check_folder(folder: Path) -> int:
    """Check a whole tree and return the number of its documents."""
    documents = list_documents(folder)
    if not documents:
        raise _refuse(
            [f'{folder}: expected fleet.yaml, pools/*.yaml or teams/*.yaml']
        )
    starts = _list_files(folder / ENTRIES)
    problems = [*check_documents(documents), *_check_starts(starts)]
    if problems:
        raise _refuse(problems)
    return len(documents) + len(starts)


def list_documents(folder: Path) -> list[SourceDocument]:
    """Return the documents of a folder, pools before the teams on them."""
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
    """Return the path that a file stands for by its name and folder.

    Raises ``CallError`` for a file that stands nowhere in a tree.
    """
    if file.stem == FLEET:
        return f'/{FLEET}'
    folder = file.absolute().parent.name
    if folder in FOLDERS:
        return f'/{folder}/{file.stem}'
    raise _refuse([f'{file}: say with --path where the document would stand'])


def read_file(file: Path) -> str:
    """Return the text of a file; raise ``CallError`` if there is none."""
    try:
        return file.read_text(encoding='utf-8')
    except OSError as error:
        raise _refuse([f'{file}: {error.strerror}']) from error
    except UnicodeDecodeError as error:
        raise _refuse([f'{file}: not UTF-8: {error}']) from error


def _list_files(folder: Path) -> list[Path]:
    return sorted(folder.glob(f'*{SUFFIX}'))


def _check_starts(files: Iterable[Path]) -> Iterator[Problem]:
    owners: dict[str, Path] = {}
    for file in files:
        try:
            start = read_settings(read_file(file), str(file), DaemonSettings)
        except SettingsError as error:
            yield from error.problems
            continue
        for used in (start.name, start.listen, start.peer_listen):
            owner = owners.setdefault(used, file)
            if owner != file:
                yield Problem(str(file), 1, '', f'{owner} has {used}, too')


def _place(
    error: SettingsError, path: str, file: Path
) -> Iterable[Problem | str]:
    for problem in error.problems:
        message = f'{problem.message} (for {path})'
        yield Problem(str(file), problem.line, problem.field, message)


def _refuse(problems: Iterable[Problem | str]) -> CallError:
    return CallError('\n'.join(map(str, problems)), EXIT_BAD_INPUT)
