"""Writes the pages that follow from the code, or checks the committed ones.

``make docs`` writes them.  With ``--check`` nothing is written, and every page
that differs from the code is named.
"""

import json
import sys
from pathlib import Path

from loglist import Part, list_parts
from settingsreference import write_settings

from tarragonlb.daemon.openapi import build_document
from tarragonlb.daemon.process import Process
from tarragonlb.settings import startup
from tarragonlb.telemetry.fleetmetrics import FLEET_METRICS
from tarragonlb.telemetry.metrics import METRICS

DOCS = Path(__file__).parent.parent / 'docs'
START = startup.DaemonSettings(
    name='docs',
    zone='docs',
    listen='127.0.0.1:1',
    peer_listen='127.0.0.1:2',
    platform='127.0.0.1:3',
)
METRICS_HEAD = """# Metrics

Written by `make docs` from `tarragonlb.telemetry.metrics`.  An operator reads
them as the JSON of OTLP with `GET /metrics` from each entry VM; nothing is sent
anywhere.  Units are in the notation of UCUM.

| Name | Kind | Unit | Attributes | Meaning |
|---|---|---|---|---|
"""
LOGS_HEAD = """# Logs

Written by `make docs` from the code.  A daemon writes one JSON object a line
to standard error.  `sentence` begins with the prefix of the part, and
`message_type` is `tarragonlb:` with the prefix; so
`grep '"sentence": "planner:'` finds what the planner did.  What to do about
a sentence is in [troubleshooting](operators/troubleshooting.md).

"""


def write_metrics() -> str:
    """Return the page that lists all metrics."""
    rows = [
        f'| `{metric.name}` | {metric.kind} | `{metric.unit}` | '
        f'{", ".join(metric.attributes)} | {metric.description} |\n'
        for metric in (*METRICS, *FLEET_METRICS)
    ]
    return METRICS_HEAD + ''.join(rows)


def write_logs() -> str:
    """Return the page that lists what each part logs."""
    sections = '\n'.join(map(_describe_part, list_parts()))
    return f'{LOGS_HEAD}{sections}'


def _describe_part(part: Part) -> str:
    rows = [
        f'| {sentence.text} | {", ".join(sentence.fields)} |\n'
        for sentence in part.sentences
    ]
    head = f'## `{part.prefix}:`\n\n{part.purpose}\n\n'
    return f'{head}| Sentence | Fields |\n|---|---|\n{"".join(rows)}'


def write_api() -> str:
    """Return the OpenAPI document."""
    document = build_document(Process(START).application.routes)
    return f'{json.dumps(document, indent=1, sort_keys=True)}\n'


PAGES = (
    (DOCS / 'METRICS.md', write_metrics),
    (DOCS / 'LOGS.md', write_logs),
    (DOCS / 'openapi.json', write_api),
    (DOCS / 'operators' / 'settings-reference.md', write_settings),
)


def _read(path: Path) -> str:
    return path.read_text() if path.exists() else ''


def main() -> int:
    """Write or check all pages and return the exit code."""
    is_check = '--check' in sys.argv
    stale = [(path, write()) for path, write in PAGES]
    stale = [(path, text) for path, text in stale if _read(path) != text]
    for path, text in stale:
        sys.stdout.write(f'{path.relative_to(DOCS.parent)} differs\n')
        if not is_check:
            path.parent.mkdir(exist_ok=True)
            path.write_text(text)
    if is_check and stale:
        sys.stdout.write('run "make docs" and commit what it writes\n')
    return 1 if is_check and stale else 0


if __name__ == '__main__':
    sys.exit(main())
