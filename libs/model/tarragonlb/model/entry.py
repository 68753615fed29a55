"""Entries of the shared state: what the fold knows of each thing.

Entries are immutable.  The fold replaces them whole, so whoever holds one
keeps a true picture of one offset.
"""

import enum
from dataclasses import dataclass

from tarragonlb.model.job import JobSubmitted
from tarragonlb.model.ownership import ChargeReason
from tarragonlb.model.wave import WaveStatus


class JobPhase(enum.StrEnum):
    """Say where in its life a job is."""

    QUEUED = 'queued'
    STARTED = 'started'
    SUCCEEDED = 'succeeded'
    FAILED = 'failed'
    CANCELLED = 'cancelled'
    SET_ASIDE = 'set-aside'
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True, kw_only=True)
class SettingEntry:
    """A document of settings in force, with where it came from."""

    path: str
    text: str
    source: str
    author: str
    version: int
    offset: int
    written_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Charge:
    """Why a VM counts as unavailable, and since which boot."""

    reason: ChargeReason
    boot: int
    wave_id: str
    offset: int
    reading: int = 0
    target: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class VmEntry:
    """A VM with its one pool; ``version`` rises with each change.

    ``boot`` and ``reading`` are the highest boot count and list number that
    a record has shown, ``offset`` is that of the adoption, and ``replaces``
    names the gone VM that this one stands in for.  ``home`` is its first pool.
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
    """The latest list that adoptions, failures and returns rested on."""

    reading: int
    offset: int


@dataclass(frozen=True, slots=True, kw_only=True)
class JobEntry:
    """A job with its latest attempt.

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
    """A VM that a wave has passed over, and why."""

    vm_id: str
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveEntry:
    """A maintenance wave and the VMs that it has brought back so far.

    It ends when each of its VMs was brought back or passed over.
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
    """The planner's lease on a scope; ``offset`` is its last renewal."""

    holder: str
    number: int
    offset: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimEntry:
    """The entry VM that may send an at-most-once request."""

    entry: str
    record_id: str
    offset: int
