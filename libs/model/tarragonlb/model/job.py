"""Records about jobs: submitted, started, ended, set aside, cancelled.

A start is recorded and read back before the worker is called, so a job that
was accepted is never lost and never has two attempts that may both be live.

"""

import enum
from dataclasses import dataclass

from tarragonlb.model.record import Record


class JobOutcome(enum.StrEnum):
    """Say how an attempt of a job ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    NOT_BEGUN = 'not-begun'
    LOST = 'lost'


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSubmitted(Record):
    """A job that a team handed over.

    ``deadline_seconds`` counts from the submission.  ``idempotent`` says
    that a second attempt may start although the first may have run.
    """

    job_id: str
    team: str
    kind: str
    pool: str
    cores: int
    memory_gb: int
    payload: str
    urgent: bool
    idempotent: bool
    deadline_seconds: float
    declared_seconds: float
    key: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class JobStarted(Record):
    """An attempt of a job that is about to be handed to a worker.

    ``boot`` is the boot count of the VM that the writer had read.  The
    platform refuses the task once the VM was restarted, so an attempt can
    begin under this boot or never.
    """

    job_id: str
    attempt: int
    vm_id: str
    lease_seconds: float
    term: int
    boot: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class JobEnded(Record):
    """An attempt of a job that was seen to have ended.

    A lost attempt is shown by its VM: ``boot`` is a boot count later than
    that of the start, or ``gone`` says that the platform listed the VM as
    gone.
    """

    job_id: str
    attempt: int
    outcome: JobOutcome
    output: str
    boot: int = 0
    gone: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSetAside(Record):
    """A job that can't run, or whose attempt is in doubt, with the reason."""

    job_id: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class JobsCancelled(Record):
    """Jobs of one team that are no longer wanted: one record for many."""

    team: str
    job_ids: tuple[str, ...]
