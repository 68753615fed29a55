"""Checks of the tree that no linter has: file lengths and share of tests."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
MAX_FILE_LINES = 400
MAX_TEST_SHARE = 1 / 3


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
    """Return the lines of all files together."""
    return sum(len(path.read_text().splitlines()) for path in paths)


def main() -> int:
    """Print every fault and return the exit code."""
    paths = list_files()
    long_paths = [
        path for path in paths if count_lines([path]) > MAX_FILE_LINES
    ]
    for path in long_paths:
        relative = path.relative_to(ROOT)
        print(f'{relative}: more than {MAX_FILE_LINES} lines')
    tests = [path for path in paths if 'features' in path.parts]
    share = count_lines(tests) / max(count_lines(paths), 1)
    print(f'tests are {share:.0%} of the lines')
    too_many = share > MAX_TEST_SHARE
    return 1 if long_paths or too_many else 0


if __name__ == '__main__':
    sys.exit(main())
