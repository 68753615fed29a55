"""Progress records, in which a partition's owner stores the state of a job.

A record replaces the previous one.  It holds the outcome of the job and, while
the job is open, a row for each task that was ever placed.
"""

import cbor2
import msgspec

from tarragonlb.model.decoding import Count, is_name
from tarragonlb.scheduling.attemptprogress import AttemptProgress
from tarragonlb.scheduling.crashhistory import (
    NO_CRASHES,
    CrashHistory,
)
from tarragonlb.scheduling.job import TaskKey
from tarragonlb.scheduling.jobstate import JobOutcome, JobState
from tarragonlb.scheduling.progressrows import (
    TaskRow,
    build_crash_row,
    build_open_starts,
    restore_crash,
    restore_open_starts,
)
from tarragonlb.scheduling.records import (
    MAX_VALUE_BYTES,
    PROGRESS,
    KeyedRecord,
    RecordError,
    decode_content,
)
from tarragonlb.scheduling.task import StartStage, TaskPhase, TaskState

# More than a progress record has room for.
MAX_OCCURRENCES = 100_000


class Progress(msgspec.Struct, array_like=True, frozen=True):
    """The content of a progress record.

    ``term`` is the term of its writer, ``began`` whether any task has started.
    ``max_attempts`` is how often a task may fail, 0 if the writer didn't know.
    """

    term: Count
    outcome: JobOutcome
    began: bool
    occurrence_count: Count = 0
    tasks: list[TaskRow] = []
    max_attempts: Count = 0


def build_progress_record(
    state: JobState, term: int, now: float
) -> KeyedRecord:
    """Return the progress record of a job, as of ``now``."""
    rows: list[TaskRow] = []
    if state.outcome is JobOutcome.OPEN:
        rows = [
            _build_row(key, task, now)
            for key, task in state.list_tasks()
            if task.attempt
        ]
    progress = Progress(
        term,
        state.outcome,
        state.began,
        len(state.occurrences),
        rows,
        state.max_attempts,
    )
    content = cbor2.dumps(msgspec.to_builtins(progress))
    if len(content) > MAX_VALUE_BYTES:
        content = cbor2.dumps(msgspec.to_builtins(_shorten(progress)))
    return KeyedRecord(state.job.job_id + PROGRESS, content)


def decode_progress(value: bytes) -> Progress:
    """Decode a progress record, or raise ``RecordError``."""
    return decode_content(value, Progress, 'progress')


def restore_tasks(state: JobState, progress: Progress, now: float) -> None:
    """Restore the state of a job from a progress record.

    Attempts that may run count as settled at ``now``: the first report that is
    requested later shows whether they exist.
    """
    state.began = progress.began
    state.max_attempts = progress.max_attempts or state.max_attempts
    state.close(progress.outcome, now)
    if progress.outcome is not JobOutcome.OPEN:
        return
    count = progress.occurrence_count
    if count > min(state.job.spec.occurrence_count, MAX_OCCURRENCES):
        raise RecordError(f'progress: {count} occurrences are too many')
    while len(state.occurrences) < count:
        state.add_occurrence()
    for row in progress.tasks:
        _restore_task(state, row, now)


def _shorten(progress: Progress) -> Progress:
    """Leave out what only saves work: checkpoints, and workers to avoid."""
    rows = [
        msgspec.structs.replace(row, checkpoint='', avoided=[])
        for row in progress.tasks
    ]
    return msgspec.structs.replace(progress, tasks=rows)


def _build_row(key: TaskKey, task: TaskState, now: float) -> TaskRow:
    is_done = task.phase is TaskPhase.DONE
    crashes = NO_CRASHES if is_done else task.crashes
    return TaskRow(
        key.occurrence,
        key.step,
        key.position,
        task.phase,
        task.attempt,
        sorted(task.failed_attempts),
        task.worker_id,
        task.checkpoint,
        [] if is_done else sorted(task.avoided),
        sorted(crashes.attempts),
        0,
        task.incarnation if task.is_attached else 0,
        task.was_copied,
        0 if is_done else task.stalls,
        [build_crash_row(crash) for crash in crashes.confirmed],
        sorted(crashes.excused),
        task.start_stage is StartStage.CONFIRMED,
        [] if is_done else build_open_starts(task, now),
    )


def _restore_task(state: JobState, row: TaskRow, now: float) -> None:
    key = TaskKey(state.job.job_id, row.occurrence, row.step, row.position)
    task = state.find(key)
    if task is None:
        raise RecordError(f'progress lists task {key}, which does not exist')
    if row.worker_id and not is_name(row.worker_id):
        raise RecordError(f'progress names the worker {row.worker_id!r}')
    task.phase = row.phase
    task.attempt = row.attempt
    task.failed_attempts.update(row.failed_attempts)
    task.avoided.update(row.avoided)
    task.worker_id = row.worker_id
    task.checkpoint = row.checkpoint
    task.crashes = CrashHistory(
        frozenset(row.crashed_attempts),
        tuple(restore_crash(crash) for crash in row.confirmed_crashes),
        frozenset(row.excused_attempts),
    )
    pause = task.crashes.compute_pause(losses_per_second=0)
    task.not_before = now + pause if pause else 0.0
    task.isolate_until = now + pause + task.crashes.isolation_wait_seconds
    task.incarnation = row.incarnation
    task.start_stage = StartStage.STORED
    if row.is_confirmed or row.phase is TaskPhase.RUNNING:
        task.start_stage = StartStage.CONFIRMED
    task.replace_open_starts(restore_open_starts(row, now))
    task.was_copied = row.was_copied
    task.stalls = row.stalls
    if task.is_attached:
        task.settled_at = now
        task.progress = AttemptProgress(now)
        if task.start_stage is StartStage.STORED:
            # The first report is requested under a higher token.
            task.note_start_unanswered(0, now)
    if task.phase is TaskPhase.DONE:
        state.get_step(key).done += 1
