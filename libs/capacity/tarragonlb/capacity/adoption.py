"""VMs that appear, fail, come back or go for good, outside of any wave.

A decision on a VM follows from its entry and its reading, so only VMs of
which one has changed are looked at.
"""

from collections.abc import Iterable

from tarragonlb.capacity.action import Action, Commit
from tarragonlb.capacity.view import FleetView, Round
from tarragonlb.model.entry import VmEntry
from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.model.ownership import (
    ChargeReason,
    VmAdopted,
    VmCharged,
    VmReleased,
    VmRetired,
)


def is_settled(view: FleetView, vm_id: str) -> bool:
    """Return whether nothing is left to decide until the VM changes."""
    entry = view.vms.get(vm_id)
    reading = view.vm_readings.get(vm_id)
    if reading is None:
        return True
    live = reading.phase is VmPhase.LIVE
    if entry is None:
        return not live
    return live and entry.charge is None


def find_uncharged(view: FleetView, vm_ids: Iterable[str]) -> frozenset[str]:
    """Return the pools that have a failure which is not charged yet.

    Nothing is adopted there: a VM that stands in for a gone one has to come
    after the charge of that one, or the charge would never end.
    """
    pools: set[str] = set()
    for vm_id in vm_ids:
        entry = view.vms.get(vm_id)
        reading = view.vm_readings.get(vm_id)
        if entry is None or reading is None or entry.charge:
            continue
        if reading.phase is not VmPhase.LIVE:
            pools.add(entry.pool)
    return frozenset(pools)


def follow_vm(turn: Round, vm_id: str, held: frozenset[str]) -> list[Action]:
    """Return the record that the platform's list gives reason for.

    ``held`` names the pools that adopt nothing for now.
    """
    entry = turn.view.vms.get(vm_id)
    reading = turn.view.vm_readings.get(vm_id)
    if reading is None:
        return []
    live = reading.phase is VmPhase.LIVE
    if entry is None:
        waits = not live or reading.pool in held
        return [] if waits else [Commit(_adopt(turn, reading))]
    if entry.charge and reading.phase is VmPhase.GONE:
        return _retire(turn, reading, entry)
    if turn.view.reading <= entry.reading:
        return []
    if entry.charge is None:
        return [] if live else [Commit(_charge(turn, reading, entry))]
    failed = entry.charge.reason is ChargeReason.FAILURE
    if failed and live and reading.boot >= entry.charge.boot:
        return [Commit(_release(turn, reading, entry))]
    return []


def _adopt(turn: Round, reading: VmReading) -> VmAdopted:
    return VmAdopted(
        head=turn.sign(),
        vm_id=reading.vm_id,
        pool=reading.pool,
        zone=reading.zone,
        rack=reading.rack,
        boot=reading.boot,
        reading=turn.view.reading,
    )


def _charge(turn: Round, reading: VmReading, entry: VmEntry) -> VmCharged:
    return VmCharged(
        head=turn.sign(),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        reason=ChargeReason.FAILURE,
        boot=reading.boot,
        reading=turn.view.reading,
    )


def _release(turn: Round, reading: VmReading, entry: VmEntry) -> VmReleased:
    return VmReleased(
        head=turn.sign(),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        boot=reading.boot,
        reading=turn.view.reading,
    )


def _retire(turn: Round, reading: VmReading, entry: VmEntry) -> list[Action]:
    """Return the record that puts another VM in the place of a gone one.

    The platform puts it into the pool in which it lists the gone one, which
    is the new pool if that one was moved just before.
    """
    vms = turn.view.vms
    since = entry.charge.offset if entry.charge else 0
    for vm_id in vms.list_pool_vms(reading.pool):
        other = vms[vm_id]
        if other.offset > since and not other.replaces:
            retired = VmRetired(
                head=turn.sign(),
                vm_id=entry.vm_id,
                expected_version=entry.version,
                replaced_by=vm_id,
            )
            return [Commit(retired)]
    return []
