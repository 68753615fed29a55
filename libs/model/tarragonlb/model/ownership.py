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
    """A VM that was seen for the first time, with the pool it joins.

    Here and below, ``reading`` is the number of the platform's list that the
    writer had read: a higher number was taken later.
    """

    vm_id: str
    pool: str
    zone: str
    rack: str
    boot: int = 0
    reading: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmRetired(Record):
    """A VM that the platform lists as gone, with the one in its place.

    The charge of the gone VM ends here.  ``replaced_by`` names a VM of the
    same pool that was adopted after that charge and stands in for no other.
    """

    vm_id: str
    expected_version: int
    replaced_by: str


@dataclass(frozen=True, slots=True, kw_only=True)
class VmCharged(Record):
    """A VM that counts as unavailable from here on.

    ``boot`` is the boot count that the writer had read.  ``term`` is the
    planner's term; a failure is charged without one.  ``target`` is the pool
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
    """A VM that was seen back, by a reading later than the charge."""

    vm_id: str
    expected_version: int
    boot: int
    maintained: bool = False
    reading: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class VmMoved(Record):
    """A VM that changes its pool, and ends its charge, at this offset.

    It was seen live in its new pool at ``boot``, later than its charge.
    """

    vm_id: str
    expected_version: int
    pool: str
    term: int
    boot: int = 0
    reading: int = 0
