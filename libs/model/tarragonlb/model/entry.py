"""Entries of the shared state: one for each VM, job, wave, setting and so on.

Entries are immutable.  The fold replaces an entry as a whole, so a reference
to one keeps showing the state at one offset.
"""

import enum
from dataclasses import dataclass

from tarragonlb.model.job import JobSubmitted
from tarragonlb.model.ownership import ChargeReason
from tarragonlb.model.wave import WaveStatus


class JobPhase(enum.StrEnum):
    """The phase of a job's life cycle."""

    QUEUED = 'queued'
    STARTED = 'started'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    SET_ASIDE = 'set-aside'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingEntry:
    """A settings document in force, and its origin."""

    path: str
    text: str
    source: str
    author: str
    version: int
    offset: int
    written_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Charge:
    """Why a VM counts as unavailable, and since when.

    ``boot`` and ``reading`` are the boot count and the list number that the
    writer of the charge had read, ``offset`` is that of the charge, and
    ``target`` is the pool that a move leads to.
    """

    reason: ChargeReason
    boot: int
    wave_id: str
    offset: int
    reading: int = 0
    target: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class VmEntry:
    """A VM and the one pool that it is in.

    ``version`` is incremented when the VM is charged, released or moved.
    ``boot`` and ``reading`` are the highest boot count and list number of any
    record about the VM, ``offset`` is that of the adoption, and ``replaces``
    names the VM that is gone and that this one replaces.  ``home`` is the first
    pool of the VM.
    """

    vm_id: str
    pool: str
    zone: str
    rack: str
    version: int = 1
    charge: Charge | None = None
    boot: int = 0
    reading: int = 0
    offset: int = 0
    replaces: str = ''
    home: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class PoolMark:
    """The latest platform list that a pool's records are based on.

    These records are adoptions, failures, releases and moves.  ``offset`` is
    that of the last one that is based on this list.
    """

    reading: int
    offset: int


@dataclass(frozen=True, slots=True, kw_only=True)
class JobEntry:
    """A job and its latest attempt.

    ``failures`` counts the attempts that failed or were lost.
    """

    spec: JobSubmitted
    phase: JobPhase
    offset: int
    attempt: int = 0
    vm_id: str = ''
    output: str = ''
    cancelled: bool = False
    boot: int = 0
    failures: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class PassedVm:
    """A VM that a wave skipped, and the reason."""

    vm_id: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveEntry:
    """A maintenance wave and its progress.

    ``done`` lists the VMs that are back after their maintenance, ``passed``
    those that the wave skipped.  The wave ends when all of its VMs are in one
    of the two.
    """

    wave_id: str
    pool: str
    vm_ids: tuple[str, ...]
    at_once: int
    status: WaveStatus
    version: int = 1
    done: tuple[str, ...] = ()
    passed: tuple[PassedVm, ...] = ()
    started_at: float = 0
    promised_seconds: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class TermEntry:
    """The planner's lease on a scope, last renewed at ``offset``."""

    holder: str
    number: int
    offset: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEntry:
    """The entry VM that may send a request that runs at most once."""

    entry: str
    record_id: str
    offset: int
