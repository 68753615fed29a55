"""Records of VMs that appear, fail, recover or go away outside of a wave.

Each decision depends only on the entry and the reading of one VM, so only VMs
with a changed entry or reading are examined.
"""

from collections.abc import Iterable

from tarragonlb.capacity.action import Action, Commit
from tarragonlb.capacity.view import FleetView, RoundContext
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
    """Return whether nothing remains to be decided until the VM changes."""
    entry = view.vms.get(vm_id)
    reading = view.vm_readings.get(vm_id)
    if reading is None:
        return True
    is_live = reading.phase is VmPhase.LIVE
    if entry is None:
        return not is_live
    return is_live and entry.charge is None


def find_pools_with_uncharged(
    view: FleetView, vm_ids: Iterable[str]
) -> frozenset[str]:
    """Return the pools that have a failed VM which is not charged yet.

    No VM is adopted in these pools: the replacement of a gone VM must be
    adopted after the gone one is charged, or the charge would never end.
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


def reconcile_vm(
    context: RoundContext, vm_id: str, held_pools: frozenset[str]
) -> list[Action]:
    """Return the record that brings the entry of a VM up to date.

    No VM is adopted in the pools of ``held_pools``.
    """
    entry = context.view.vms.get(vm_id)
    reading = context.view.vm_readings.get(vm_id)
    if reading is None:
        return []
    is_live = reading.phase is VmPhase.LIVE
    if entry is None:
        must_wait = not is_live or reading.pool in held_pools
        return [] if must_wait else [Commit(_make_adopted(context, reading))]
    if entry.charge and reading.phase is VmPhase.GONE:
        return _find_replacement(context, reading, entry)
    if context.view.reading <= entry.reading:
        return []
    if entry.charge is None:
        return (
            [] if is_live else [Commit(_make_charged(context, reading, entry))]
        )
    is_failure = entry.charge.reason is ChargeReason.FAILURE
    if is_failure and is_live and reading.boot >= entry.charge.boot:
        return [Commit(_make_released(context, reading, entry))]
    return []


def _make_adopted(context: RoundContext, reading: VmReading) -> VmAdopted:
    return VmAdopted(
        head=context.make_head(),
        vm_id=reading.vm_id,
        pool=reading.pool,
        zone=reading.zone,
        rack=reading.rack,
        boot=reading.boot,
        reading=context.view.reading,
    )


def _make_charged(
    context: RoundContext, reading: VmReading, entry: VmEntry
) -> VmCharged:
    return VmCharged(
        head=context.make_head(),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        reason=ChargeReason.FAILURE,
        boot=reading.boot,
        reading=context.view.reading,
    )


def _make_released(
    context: RoundContext, reading: VmReading, entry: VmEntry
) -> VmReleased:
    return VmReleased(
        head=context.make_head(),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        boot=reading.boot,
        reading=context.view.reading,
    )


def _find_replacement(
    context: RoundContext, reading: VmReading, entry: VmEntry
) -> list[Action]:
    """Return the record that replaces a gone VM by another one.

    The platform adds the replacement to the pool in which it lists the gone VM,
    which is the new pool if that VM was moved just before.
    """
    vms = context.view.vms
    charged_at = entry.charge.offset if entry.charge else 0
    for vm_id in vms.list_pool_vms(reading.pool):
        candidate = vms[vm_id]
        if candidate.offset > charged_at and not candidate.replaces:
            retired = VmRetired(
                head=context.make_head(),
                vm_id=entry.vm_id,
                expected_version=entry.version,
                replaced_by=vm_id,
            )
            return [Commit(retired)]
    return []
