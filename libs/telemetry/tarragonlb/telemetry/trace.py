"""Follows one job through the log lines of several processes.

Tasks are named after their job, so every line about a job holds its id.  Of
lines about many tasks only those of the job are kept.

>>> lines = ['{"sentence": "desk: Job submitted.", "job": "ab"}']
>>> [event.sentence for event in trace_job('ab', [('one', lines)])]
['desk: Job submitted.']
"""

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

TIME_FIELD = 'timestamp'
SENTENCE_FIELD = 'sentence'
TYPE_FIELD = 'message_type'
# A bench may write its own time and the VM's name before each line.
BENCH_PREFIX = re.compile(r'^\s*(-?\d+\.\d+) (\S+) (?=\{)')


@dataclass(frozen=True, slots=True, kw_only=True)
class TraceEvent:
    """A line about the job.

    ``seconds`` is time of day, or simulated time where the line begins with
    it.  ``source`` is the process that wrote the line.
    """

    seconds: float
    source: str
    sentence: str
    details: dict[str, Any] = field(default_factory=dict)


def trace_job(
    job_id: str, sources: Iterable[tuple[str, Iterable[str]]]
) -> list[TraceEvent]:
    """Return what the lines of all sources tell of a job, in time order."""
    found: list[TraceEvent] = []
    for name, lines in sources:
        for line in lines:
            if job_id in line:
                found.extend(_read_line(job_id, name, line))
    found.sort(key=_get_time)
    return found


def _read_line(job_id: str, name: str, line: str) -> list[TraceEvent]:
    prefix = BENCH_PREFIX.match(line)
    text = line[prefix.end() :] if prefix else line
    try:
        message = json.loads(text)
    except json.JSONDecodeError:
        return []
    if not isinstance(message, dict):
        return []
    seconds = float(message.pop(TIME_FIELD, 0))
    sentence = str(message.pop(SENTENCE_FIELD, ''))
    message.pop(TYPE_FIELD, None)
    event = TraceEvent(
        seconds=float(prefix[1]) if prefix else seconds,
        source=prefix[2] if prefix else name,
        sentence=sentence,
        details={key: _keep_own(job_id, told) for key, told in message.items()},
    )
    return [event]


def _keep_own(job_id: str, told: Any) -> Any:
    if not isinstance(told, list):
        return told
    return [row for row in told if job_id in json.dumps(row)]


def _get_time(event: TraceEvent) -> float:
    return event.seconds
