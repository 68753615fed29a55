"""Checks of the source tree that no linter offers.

No file may exceed ``MAX_FILE_LINES``, and the wire names of the users' platform
may appear only in its adapter.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
MAX_FILE_LINES = 400
ADAPTER = ROOT / 'platform'
# Wire names of the users' platform, allowed only in its adapter.
WIRE_NAMES = (
    'ackSeq',
    'allowConcurrent',
    'cloudApi',
    'coldLeftMs',
    'controlMode',
    'cpuShare',
    'deadlineMs',
    'dependsOn',
    'endedRuns',
    'estDurationMs',
    'fencingToken',
    'keyed.servers',
    'log-append',
    'log-join',
    'log-leave',
    'log-newest',
    'log-owners',
    'log-read',
    'longRunning',
    'machine-move',
    'machine-upkeep',
    'maxPerServer',
    'maxUnavailable',
    'pathPrefix',
    'rejectsOverload',
    'run-start',
    'run-stop',
    'withinS',
)


def list_files() -> list[Path]:
    """Return the Python and feature files that git tracks or would track."""
    listed = subprocess.run(
        ['git', 'ls-files', '-co', '--exclude-standard', '*.py', '*.feature'],
        cwd=ROOT,
        check=True,
        stdout=subprocess.PIPE,
    )
    paths = [ROOT / name for name in listed.stdout.decode().splitlines()]
    return [path for path in paths if path.exists()]


def count_lines(paths: list[Path]) -> int:
    """Return the total number of lines of the files."""
    return sum(len(path.read_text().splitlines()) for path in paths)


def find_wire_names(paths: list[Path]) -> list[str]:
    """Return a message for each wire name in a file outside the adapter."""
    messages: list[str] = []
    for path in paths:
        if path == Path(__file__) or path.is_relative_to(ADAPTER):
            continue
        text = path.read_text()
        relative = path.relative_to(ROOT)
        messages.extend(
            f'{relative}: {name} is a wire name of the platform'
            for name in WIRE_NAMES
            if name in text
        )
    return messages


def main() -> int:
    """Print all violations and return the exit code."""
    paths = list_files()
    long_paths = [
        path for path in paths if count_lines([path]) > MAX_FILE_LINES
    ]
    for path in long_paths:
        relative = path.relative_to(ROOT)
        print(f'{relative}: more than {MAX_FILE_LINES} lines')
    wire_names = find_wire_names(paths)
    print(*wire_names, sep='\n', end='\n' if wire_names else '')
    tests = [path for path in paths if 'features' in path.parts]
    share = count_lines(tests) / max(count_lines(paths), 1)
    print(f'tests are {share:.0%} of the lines')
    return 1 if long_paths or wire_names else 0


if __name__ == '__main__':
    sys.exit(main())
