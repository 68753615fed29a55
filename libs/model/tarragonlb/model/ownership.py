"""Records about VMs: which pool owns each, and which count as unavailable.

An act that costs availability is charged by its record before the act, and
the charge ends only on evidence that the VM is back.

"""

import enum
from dataclasses import dataclass

from tarragonlb.model.record import Record


class ChargeReason(enum.StrEnum):
    """Say why a VM counts as unavailable."""

    WAVE = 'wave'
    MOVE = 'move'
    FAILURE = 'failure'


@dataclass(frozen=True, slots=True, kw_only=True)
class VmAdopted(Record):
    """A VM that was seen for the first time, with the pool it joins."""

    vm_id: str
    pool: str
    zone: str
    rack: str


@dataclass(frozen=True, slots=True, kw_only=True)
class VmCharged(Record):
    """A VM that counts as unavailable from here on.

    ``boot`` is the boot count that the writer had read.  ``term`` is the
    planner's term; a failure is charged without one.
    """

    vm_id: str
    expected_version: int
    reason: ChargeReason
    boot: int
    wave_id: str = ''
    term: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmReleased(Record):
    """A VM that was seen back, by a reading later than the charge."""

    vm_id: str
    expected_version: int
    boot: int
    maintained: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class VmMoved(Record):
    """A VM that changes its pool at this offset."""

    vm_id: str
    expected_version: int
    pool: str
    term: int
