"""Why a ready step waits.

A scheduling round notes for each step that it can't place what stood in the
way.  For workers that have room and are held back, the first of them says why.
"""

import enum

from tarragonlb.scheduling.job import Step
from tarragonlb.scheduling.placement import must_wait_for_empty_worker
from tarragonlb.scheduling.task import TaskState
from tarragonlb.scheduling.worker import WorkerState

StepKey = tuple[str, int, int]


class WaitReason(enum.Enum):
    """Why tasks of a ready step do not start; values are written to the log."""

    NO_WORKER = 'no usable worker'
    NO_ROOM = 'no room'
    CAP = 'cap of the tenant'
    TICKET = 'no ticket of the policy service'
    RESERVED = 'workers are reserved'
    SUSPECT = 'suspected of crashing workers'
    REFUSING = 'workers back off after refused starts'
    PROBATION = 'workers are on probation'
    WORKER_LIMIT = 'label or limit per worker'
    BACKOFF = 'the task backs off'
    FORMER_ATTEMPT = 'a former attempt may still run'
    WINDOW = 'start window full'
    UNANSWERED = 'start order not answered'
    STORING = 'decision still being stored'
    DIRECTORY = 'directory of workers not read yet'
    UNKNOWN_QUEUE = 'queue not known yet'
    NOT_TRIED = 'no round has tried it yet'


def explain_holding_back(
    worker: WorkerState, step: Step, task: TaskState, now: float
) -> WaitReason:
    """Return why a usable worker with room is no candidate for a task."""
    if worker.is_kept_by_suspect(now):
        return WaitReason.SUSPECT
    if worker.is_backing_off(now):
        return WaitReason.REFUSING
    if must_wait_for_empty_worker(step, task, now) and worker.attached:
        return WaitReason.SUSPECT
    is_retry = task.failures > 0 and not step.is_permanent
    if not worker.can_accept_on_probation(now, is_retry=is_retry):
        return WaitReason.PROBATION
    return WaitReason.WORKER_LIMIT
