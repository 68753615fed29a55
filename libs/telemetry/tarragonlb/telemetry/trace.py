"""Collects the log lines of one job from several processes.

Task ids begin with the job id, so every line about a job contains its id.  In
lines about many tasks, only the tasks of the job are kept.

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
# A benchmark may put its own time and the name of the VM before each line.
BENCHMARK_PREFIX = re.compile(r'^\s*(-?\d+\.\d+) (\S+) (?=\{)')


@dataclass(frozen=True, slots=True, kw_only=True)
class TraceEvent:
    """A log line about the job.

    ``seconds`` is the wall-clock time, or the simulated time if the line
    begins with one.  ``source`` is the process that wrote the line.
    """

    seconds: float
    source: str
    sentence: str
    details: dict[str, Any] = field(default_factory=dict)


def trace_job(
    job_id: str, sources: Iterable[tuple[str, Iterable[str]]]
) -> list[TraceEvent]:
    """Return the log lines about a job from all sources, sorted by time."""
    events: list[TraceEvent] = []
    for name, lines in sources:
        for line in lines:
            if job_id in line:
                events.extend(_read_line(job_id, name, line))
    events.sort(key=_get_time)
    return events


def _read_line(job_id: str, name: str, line: str) -> list[TraceEvent]:
    prefix = BENCHMARK_PREFIX.match(line)
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
        details={
            key: _filter_rows(job_id, content)
            for key, content in message.items()
        },
    )
    return [event]


def _filter_rows(job_id: str, content: Any) -> Any:
    if not isinstance(content, list):
        return content
    return [row for row in content if job_id in json.dumps(row)]


def _get_time(event: TraceEvent) -> float:
    return event.seconds
