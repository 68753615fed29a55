"""Records about maintenance waves: planned, paused, resumed, ended."""

import enum
from dataclasses import dataclass

from tarragonlb.model.record import Record


class WaveStatus(enum.StrEnum):
    """The status of a maintenance wave."""

    RUNNING = 'running'
    PAUSED = 'paused'
    ABORTED = 'aborted'
    FINISHED = 'finished'


@dataclass(frozen=True, slots=True, kw_only=True)
class WavePlanned(Record):
    """A maintenance wave over VMs of a pool, in the order of ``vm_ids``.

    ``promised_seconds`` is the promised duration, counted from
    ``head.written_at``; no decision depends on it.
    """

    wave_id: str
    pool: str
    vm_ids: tuple[str, ...]
    at_once: int
    promised_seconds: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmPassedOver(Record):
    """A VM that a wave no longer waits for, and the reason.

    If the VM is charged, the charge remains until the VM is back.
    """

    wave_id: str
    vm_id: str
    reason: str
    term: int


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveSteered(Record):
    """A change of the status of a wave."""

    wave_id: str
    expected_version: int
    status: WaveStatus
