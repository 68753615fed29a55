"""Runs the behave features of every library and of the whole system.

Each folder of features runs in a separate process, several at a time.  The last
line of the output counts the scenarios.  Scenarios that ``KNOWN-RED.txt`` lists
may fail and are printed; all others must pass.
"""

import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
MAX_PARALLEL_RUNS = 4
TIMEOUT_SECONDS = 2400
TAIL_CHARACTERS = 6000
MESSAGE_CHARACTERS = 2500


@dataclass(frozen=True, slots=True)
class Run:
    """Result of one folder: names of its scenarios, and the output of behave.

    ``failed`` maps each scenario that did not pass to its message.
    """

    folder: Path
    passed: tuple[str, ...]
    failed: dict[str, str]
    output: str
    exit_code: int


def list_folders() -> list[Path]:
    """Return all folders with features, the one of the whole system first."""
    folders = [
        ROOT / 'features',
        ROOT / 'platform' / 'features',
        *sorted(ROOT.glob('libs/*/features')),
    ]
    return [folder for folder in folders if folder.is_dir()]


def run_folder(folder: Path) -> Run:
    """Run the features of one folder."""
    with tempfile.TemporaryDirectory() as scratch:
        report = Path(scratch) / 'report.json'
        command = [
            sys.executable,
            '-m',
            'behave',
            '--no-color',
            '--format=progress',
            '--format=json',
            '--outfile=/dev/stdout',
            f'--outfile={report}',
            str(folder),
        ]
        finished = subprocess.run(
            command,
            cwd=ROOT,
            check=False,
            timeout=TIMEOUT_SECONDS,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        text = report.read_text() if report.exists() else ''
        features = json.loads(text or '[]')
    passed, failed = _group_scenarios(features)
    output = finished.stdout.decode(errors='replace')
    return Run(folder, passed, failed, output, finished.returncode)


def read_known_red() -> frozenset[str]:
    """Return the names of the scenarios that may fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    )


def main() -> int:
    """Run the features of all folders and return the exit code."""
    known_red = read_known_red()
    with ThreadPoolExecutor(MAX_PARALLEL_RUNS) as workers:
        runs = list(workers.map(run_folder, list_folders()))
    broken = [run for run in runs if not _is_as_expected(run, known_red)]
    for run in broken:
        print(f'--- {run.folder.relative_to(ROOT)}')
        print(run.output[-TAIL_CHARACTERS:])
    for run in runs:
        for name, message in run.failed.items():
            label = 'known red' if name in known_red else 'FAILED'
            print(f'{label}: {name}\n{message}')
    print_counts(runs, known_red, len(broken))
    return 1 if broken or not any(run.passed for run in runs) else 0


def print_counts(
    runs: list[Run], known_red: frozenset[str], broken: int
) -> None:
    """Print the numbers of known red, passed and failed scenarios."""
    passed = sum(len(run.passed) for run in runs)
    failed = sum(len(set(run.failed) - known_red) for run in runs)
    known = sum(len(known_red.intersection(run.failed)) for run in runs)
    print(f'{known} known red')
    print(f'{passed} passed, {max(failed, broken)} failed')


def _is_as_expected(run: Run, known_red: frozenset[str]) -> bool:
    unexpected = set(run.failed) - known_red
    finished_normally = run.exit_code == 0 or bool(run.failed)
    return finished_normally and not unexpected


def _group_scenarios(
    features: list[dict[str, Any]],
) -> tuple[tuple[str, ...], dict[str, str]]:
    passed = []
    failed = {}
    for feature in features:
        for element in feature.get('elements', []):
            if element['type'] == 'background':
                continue
            # The names of scenarios from an outline end in a space.
            name = f'{feature["name"]}: {element["name"]}'.strip()
            if element.get('status') == 'passed':
                passed.append(name)
            else:
                failed[name] = _find_message(element['steps'])
    return tuple(passed), failed


def _find_message(steps: list[dict[str, Any]]) -> str:
    # The end of a traceback names the error, so the beginning is cut off.
    for step in steps:
        message = step.get('result', {}).get('error_message', '')
        if message:
            text = message if isinstance(message, str) else '\n'.join(message)
            return text[-MESSAGE_CHARACTERS:]
    return 'No message: a hook failed, or the process ended.'


if __name__ == '__main__':
    sys.exit(main())
