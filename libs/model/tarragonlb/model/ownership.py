"""Records about VMs: which pool owns each, and which count as unavailable.

A VM that counts as unavailable is charged.  The charge is recorded before an
action that costs availability, and ends only on evidence that the VM is back.

"""

import enum
from dataclasses import dataclass

from tarragonlb.model.record import Record


class ChargeReason(enum.StrEnum):
    """Why a VM counts as unavailable."""

    WAVE = 'wave'
    MOVE = 'move'
    FAILURE = 'failure'


@dataclass(frozen=True, slots=True, kw_only=True)
class VmAdopted(Record):
    """A VM that was seen for the first time, and the pool that it joins.

    Here and below, ``reading`` is the number of the platform's list that the
    writer had read: a list with a higher number was taken later.
    """

    vm_id: str
    pool: str
    zone: str
    rack: str
    boot: int = 0
    reading: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmRetired(Record):
    """A VM that the platform lists as gone, and the VM that replaces it.

    The record ends the charge of the VM that is gone.  ``replaced_by`` names a
    VM of the same pool that was adopted after that charge and replaces no
    other VM.
    """

    vm_id: str
    expected_version: int
    replaced_by: str


@dataclass(frozen=True, slots=True, kw_only=True)
class VmCharged(Record):
    """A VM that counts as unavailable from this offset on.

    ``boot`` is the boot count that the writer had read.  ``term`` is the
    planner's term; the charge for a failure has none.  ``target`` is the pool
    that a move leads to.
    """

    vm_id: str
    expected_version: int
    reason: ChargeReason
    boot: int
    wave_id: str = ''
    term: int = 0
    reading: int = 0
    target: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class VmReleased(Record):
    """A VM that is back, according to a reading later than its charge."""

    vm_id: str
    expected_version: int
    boot: int
    maintained: bool = False
    reading: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmMoved(Record):
    """A VM whose pool changes, and whose charge ends, at this offset.

    The platform listed it as live in the new pool with boot count ``boot``,
    which is higher than that of its charge.
    """

    vm_id: str
    expected_version: int
    pool: str
    term: int
    boot: int = 0
    reading: int = 0
