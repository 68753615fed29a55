"""Records about jobs: submitted, started, ended, set aside, cancelled.

A start is recorded and read back before the worker is called, so an accepted
job is never lost and never has two attempts that may both be running.

"""

import enum
from dataclasses import dataclass

from tarragonlb.model.record import Record


class JobOutcome(enum.StrEnum):
    """How an attempt of a job ended."""

    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    STOPPED = 'stopped'
    NOT_BEGUN = 'not-begun'
    LOST = 'lost'


@dataclass(frozen=True, slots=True, kw_only=True)
class JobSubmitted(Record):
    """A job that a team submitted.

    ``deadline_seconds`` counts from the submission.  ``idempotent`` says that
    a second attempt may start even if the first may have run.
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
    """An attempt of a job that is about to be sent to a worker.

    ``boot`` is the boot count of the VM that the writer had read.  The
    platform refuses the task once the VM has been restarted, so the attempt
    either begins under this boot count or never.
    """

    job_id: str
    attempt: int
    vm_id: str
    lease_seconds: float
    term: int
    boot: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class JobEnded(Record):
    """An attempt of a job that has ended.

    An attempt is known to be lost from its VM: ``boot`` is a higher boot count
    than that of the start, or ``gone`` says that the platform listed the VM as
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
    """A job that can't run, or whose attempt is in doubt, and the reason."""

    job_id: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class JobsCancelled(Record):
    """Jobs of one team that are cancelled, many in one record."""

    team: str
    job_ids: tuple[str, ...]
