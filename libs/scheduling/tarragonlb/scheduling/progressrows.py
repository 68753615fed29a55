"""The rows of tasks in progress records, as they are stored."""

import math

import msgspec

from tarragonlb.model.decoding import Count, is_name
from tarragonlb.scheduling.crashhistory import ConfirmedCrash
from tarragonlb.scheduling.job import MS_PER_SECOND
from tarragonlb.scheduling.openstarts import (
    NO_OPEN_STARTS,
    OpenStart,
    OpenStarts,
)
from tarragonlb.scheduling.records import RecordError
from tarragonlb.scheduling.task import TaskPhase, TaskState

PERMILLE = 1000
SECONDS_PER_MEGASECOND = 1_000_000


class CrashRow(msgspec.Struct, array_like=True, frozen=True):
    """A confirmed crash of a task; ``share_permille`` is of the pool."""

    attempt: Count
    milliseconds: Count
    is_alone: bool
    share_permille: Count
    losses_per_megasecond: Count


class OpenStartRow(msgspec.Struct, array_like=True, frozen=True):
    """An open start; ``remaining_ms`` is counted from the reading."""

    attempt: Count
    worker_id: str
    remaining_ms: Count


class TaskRow(msgspec.Struct, array_like=True, frozen=True):
    """A task in a progress record.

    ``crash_points`` is no longer used; an earlier version rated crashes.
    ``is_confirmed`` means that the worker has confirmed the start of the
    present attempt; an earlier version did not say so.
    """

    occurrence: Count
    step: Count
    position: Count
    phase: TaskPhase
    attempt: Count
    failed_attempts: list[Count]
    worker_id: str
    checkpoint: str
    avoided: list[str] = []
    crashed_attempts: list[Count] = []
    crash_points: Count = 0
    incarnation: Count = 0
    was_copied: bool = False
    stalls: Count = 0
    confirmed_crashes: list[CrashRow] = []
    excused_attempts: list[Count] = []
    is_confirmed: bool = False
    open_starts: list[OpenStartRow] = []


def build_crash_row(crash: ConfirmedCrash) -> CrashRow:
    """Return the row of a confirmed crash."""
    return CrashRow(
        crash.attempt,
        round(crash.seconds * MS_PER_SECOND),
        crash.is_alone,
        round(crash.share * PERMILLE),
        round(crash.losses_per_second * SECONDS_PER_MEGASECOND),
    )


def restore_crash(row: CrashRow) -> ConfirmedCrash:
    """Return the confirmed crash of a row."""
    return ConfirmedCrash(
        row.attempt,
        row.milliseconds / MS_PER_SECOND,
        row.is_alone,
        row.share_permille / PERMILLE,
        row.losses_per_megasecond / SECONDS_PER_MEGASECOND,
    )


def build_open_starts(task: TaskState, now: float) -> list[OpenStartRow]:
    """Return a row for each worker with open starts of a task.

    The time left is counted from ``now``.  Which attempts they are of matters
    only to the owner that gets the answers.
    """
    last: dict[str, OpenStart] = {}
    for start in task.open_starts.starts:
        known = last.get(start.worker_id)
        is_last = known is None or known.until < start.until
        if is_last and start.until > now:
            last[start.worker_id] = start
    return [
        OpenStartRow(
            start.attempt,
            start.worker_id,
            math.ceil((start.until - now) * MS_PER_SECOND),
        )
        for start in last.values()
    ]


def restore_open_starts(row: TaskRow, now: float) -> OpenStarts:
    """Return the open starts of a row that is read at ``now``.

    Raise ``RecordError`` if one names an invalid worker.
    """
    restored = NO_OPEN_STARTS
    for start in row.open_starts:
        if not is_name(start.worker_id):
            raise RecordError(f'progress names {start.worker_id!r}')
        restored = restored.add(
            OpenStart(
                start.attempt,
                start.worker_id,
                now + start.remaining_ms / MS_PER_SECOND,
            )
        )
    return restored
