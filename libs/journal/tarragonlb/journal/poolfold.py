"""Rules for VMs that join a pool, and for those that are gone for good.

A VM that is gone counts as unavailable until another VM replaces it, so budgets
always refer to the full capacity of the pool.
"""

from dataclasses import replace

from tarragonlb.journal.rule import Reason
from tarragonlb.journal.state import State
from tarragonlb.model.entry import PoolMark, VmEntry
from tarragonlb.model.ownership import VmAdopted, VmRetired


def adopt_vm(state: State, record: VmAdopted, offset: int) -> Reason | None:
    """Add a new VM to its first pool."""
    if record.vm_id in state.vms:
        return f'{record.vm_id} has already been adopted'
    rejection = _check_adoption(state, record)
    if rejection:
        return rejection
    update_mark(state, record.pool, record.reading, offset)
    state.vms[record.vm_id] = VmEntry(
        vm_id=record.vm_id,
        pool=record.pool,
        zone=record.zone,
        rack=record.rack,
        boot=record.boot,
        reading=record.reading,
        offset=offset,
        home=record.pool,
    )
    return None


def retire_vm(state: State, record: VmRetired, offset: int) -> Reason | None:
    """Remove a VM that is gone, after another one has replaced it."""
    vm = state.vms.get(record.vm_id)
    if vm is None or vm.version != record.expected_version:
        return explain_version(record.vm_id, vm, record.expected_version)
    if vm.charge is None:
        return f'{record.vm_id} is not charged'
    replacement = state.vms.get(record.replaced_by)
    if replacement is None or replacement.pool not in {
        vm.pool,
        vm.charge.target,
    }:
        return f'{record.replaced_by} is not in pool {vm.pool}'
    if replacement.replaces or replacement.offset < vm.charge.offset:
        return f'{record.replaced_by} cannot replace {record.vm_id}'
    state.vms.remove(vm.vm_id)
    state.vms[replacement.vm_id] = replace(replacement, replaces=vm.vm_id)
    return None


def update_mark(state: State, pool: str, reading: int, offset: int) -> None:
    """Store the latest platform list that a pool's records are based on."""
    mark = state.marks.get(pool)
    if mark is None or reading >= mark.reading:
        state.marks[pool] = PoolMark(reading=reading, offset=offset)


def explain_version(
    vm_id: str, vm: VmEntry | None, expected_version: int
) -> Reason:
    """Return why a record for another version of a VM is rejected."""
    if vm is None:
        return f'{vm_id} does not exist'
    return (
        f'{vm_id} is at version {vm.version}, '
        f'expected version {expected_version}'
    )


def _check_adoption(state: State, record: VmAdopted) -> Reason | None:
    """Return why an adoption is based on an outdated view of its pool.

    A VM may replace one that is gone if it was adopted after that one was
    charged.  So an adoption must be based on the latest list that the pool's
    records are based on, or on a later list and on all of those records.
    Otherwise its writer may believe that a VM is still charged which was
    released and is gone since.
    """
    mark = state.marks.get(record.pool)
    if mark is None or record.reading == mark.reading:
        return None
    if record.reading < mark.reading:
        return f'pool {record.pool} has records based on list {mark.reading}'
    if record.head.basis < mark.offset:
        return f'pool {record.pool} has changed at offset {mark.offset}'
    return None
