"""Records about jobs, as they lie in the store, and their CBOR form.

A job has up to three records, told apart by the last letter of their key: the
submission, a cancellation, and the progress that the partition's owner writes.
The newest of each counts.  A progress record replaces the one before it, so
reading the newest records is all that recovery needs.
"""

from dataclasses import dataclass
from typing import Any

import cbor2
import msgspec

from tarragonlb.scheduling.job import Job, JobSpec, TaskKey
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.task import TaskPhase, TaskState

SUBMISSION = 'j'
CANCELLATION = 'c'
PROGRESS = 'p'
KINDS = frozenset((SUBMISSION, CANCELLATION, PROGRESS))
CANCELLED_VALUE = cbor2.dumps([])


class RecordError(ValueError):
    """A record that doesn't hold what its key says."""


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a topic that keeps the newest value of each key.

    An empty value removes the key.
    """

    key: str
    value: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """What a progress record says; ``tasks`` are rows of plain values."""

    term: int
    outcome: JobOutcome
    began: bool
    occurrence_count: int = 0
    tasks: tuple[tuple[Any, ...], ...] = ()


def write_submission(job: Job) -> KeyedRecord:
    """Return the record by which a job is accepted."""
    spec = msgspec.to_builtins(job.spec)
    spec['steps'] = [_drop_defaults(step) for step in spec['steps']]
    content = cbor2.dumps([job.queue, job.pool, cbor2.dumps(spec)])
    return KeyedRecord(job.job_id + SUBMISSION, content)


def write_cancellation(job_id: str) -> KeyedRecord:
    """Return the record by which a job is cancelled."""
    return KeyedRecord(job_id + CANCELLATION, CANCELLED_VALUE)


def write_removal(job_id: str) -> list[KeyedRecord]:
    """Return the records that remove a job."""
    return [KeyedRecord(job_id + kind, b'') for kind in sorted(KINDS)]


def write_progress(state: JobState, term: int) -> KeyedRecord:
    """Return the record of a job's outcome, and of its tasks while open."""
    rows: list[list[Any]] = []
    if state.outcome is JobOutcome.OPEN:
        rows = [
            _write_task(key, task)
            for key, task in state.list_tasks()
            if task.attempt
        ]
    content = [
        term,
        int(state.outcome),
        state.began,
        len(state.occurrences),
        rows,
    ]
    return KeyedRecord(state.job.job_id + PROGRESS, cbor2.dumps(content))


def read_submission_head(value: bytes) -> tuple[str, str, bytes]:
    """Return queue, pool and the encoded specification."""
    content = _load(value)
    if not isinstance(content, list) or len(content) != 3:
        raise RecordError('a submission holds queue, pool and specification')
    queue, pool, spec = content
    if not (isinstance(queue, str) and isinstance(pool, str)):
        raise RecordError('queue and pool of a submission are text')
    if not isinstance(spec, bytes):
        raise RecordError('the specification of a submission is bytes')
    return queue, pool, spec


def read_spec(encoded: bytes) -> JobSpec:
    """Return a specification from its encoded form."""
    try:
        return msgspec.convert(_load(encoded), JobSpec)
    except msgspec.ValidationError as error:
        raise RecordError(f'specification: {error}') from error


def read_progress(value: bytes) -> Progress:
    """Return what a progress record says."""
    try:
        term, outcome, began, count, rows = _load(value)
        return Progress(
            term=int(term),
            outcome=JobOutcome(outcome),
            began=bool(began),
            occurrence_count=int(count),
            tasks=tuple(tuple(row) for row in rows),
        )
    except (TypeError, ValueError) as error:
        raise RecordError(f'progress: {error}') from error


def restore_tasks(state: JobState, progress: Progress, now: float) -> None:
    """Bring a job to what a progress record says of it.

    Attempts that may run are restored as settled at ``now``: the first report
    asked for later shows whether they exist.
    """
    state.began = progress.began
    state.close(progress.outcome, now)
    if progress.outcome is not JobOutcome.OPEN:
        return
    while len(state.occurrences) < progress.occurrence_count:
        state.open_occurrence()
    for row in progress.tasks:
        _restore_task(state, row, now)


def _write_task(key: TaskKey, task: TaskState) -> list[Any]:
    return [
        key.occurrence,
        key.step,
        key.position,
        int(task.phase),
        task.attempt,
        sorted(task.failed_attempts),
        task.worker_id,
        task.checkpoint,
    ]


def _restore_task(state: JobState, row: tuple[Any, ...], now: float) -> None:
    occurrence, step, index, phase, attempt, failed, worker_id, saved = row
    key = TaskKey(state.job.job_id, occurrence, step, index)
    task = state.find(key)
    if task is None:
        raise RecordError(f'progress names task {key}, which does not exist')
    task.phase = TaskPhase(phase)
    task.attempt = attempt
    task.failed_attempts.update(failed)
    task.worker_id = worker_id
    task.checkpoint = saved
    if task.is_attached:
        task.settled_at = now
        task.placed_at = now
        task.progress_at = now
    if task.phase is TaskPhase.DONE:
        state.step_of(key).done += 1
    state.step_of(key).started = True


def _load(value: bytes) -> Any:
    try:
        return cbor2.loads(value)
    except cbor2.CBORDecodeError as error:
        raise RecordError(f'not CBOR: {error}') from error


def _drop_defaults(step: dict[str, Any]) -> dict[str, Any]:
    return {
        name: content
        for name, content in step.items()
        if content or name == 'disruption_budget' and content is not None
    }
