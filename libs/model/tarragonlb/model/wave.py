"""Records about maintenance waves: planned, paused, resumed, ended."""

import enum
from dataclasses import dataclass

from tarragonlb.model.record import Record


class WaveStatus(enum.StrEnum):
    """Say whether a maintenance wave may go on."""

    RUNNING = 'running'
    PAUSED = 'paused'
    ABORTED = 'aborted'
    FINISHED = 'finished'


@dataclass(frozen=True, slots=True, kw_only=True)
class WavePlanned(Record):
    """A maintenance wave over the VMs of a pool, in order.

    ``promised_seconds`` counts from the record; no decision rests on it.
    """

    wave_id: str
    pool: str
    vm_ids: tuple[str, ...]
    at_once: int
    promised_seconds: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmPassedOver(Record):
    """A VM that a wave no longer waits for, with the reason.

    Its charge, if it has one, stands until the VM is seen back.
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
