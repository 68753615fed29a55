"""Rules for the VMs that make up a pool: first seen, and gone for good.

A VM that is gone counts as unavailable until another one stands in for it,
so a budget always speaks of the capacity that the pool had.
"""

from dataclasses import replace

from tarragonlb.journal.rule import Reason
from tarragonlb.journal.state import State
from tarragonlb.model.entry import PoolMark, VmEntry
from tarragonlb.model.ownership import VmAdopted, VmRetired


def adopt_vm(state: State, entry: VmAdopted, offset: int) -> Reason | None:
    """Take a VM that was not known before into its first pool."""
    if entry.vm_id in state.vms:
        return f'{entry.vm_id} is known already'
    refusal = _refuse_adoption(state, entry)
    if refusal:
        return refusal
    note_reading(state, entry.pool, entry.reading, offset)
    state.vms[entry.vm_id] = VmEntry(
        vm_id=entry.vm_id,
        pool=entry.pool,
        zone=entry.zone,
        rack=entry.rack,
        boot=entry.boot,
        reading=entry.reading,
        offset=offset,
        home=entry.pool,
    )
    return None


def retire_vm(state: State, entry: VmRetired, offset: int) -> Reason | None:
    """Drop a VM that is gone, once another one stands in for it."""
    vm = state.vms.get(entry.vm_id)
    if vm is None or vm.version != entry.expected_version:
        return explain_version(entry.vm_id, vm, entry.expected_version)
    if vm.charge is None:
        return f'{entry.vm_id} has no charge'
    other = state.vms.get(entry.replaced_by)
    if other is None or other.pool not in {vm.pool, vm.charge.target}:
        return f'{entry.replaced_by} is not in pool {vm.pool}'
    if other.replaces or other.offset < vm.charge.offset:
        return f'{entry.replaced_by} does not stand in for {entry.vm_id}'
    state.vms.remove(vm.vm_id)
    state.vms[other.vm_id] = replace(other, replaces=vm.vm_id)
    return None


def note_reading(state: State, pool: str, reading: int, offset: int) -> None:
    """Keep the latest list that the records of a pool rest on."""
    mark = state.marks.get(pool)
    if mark is None or reading >= mark.reading:
        state.marks[pool] = PoolMark(reading=reading, offset=offset)


def explain_version(
    vm_id: str, vm: VmEntry | None, expected_version: int
) -> Reason:
    """Return why a record on another version of a VM is void."""
    if vm is None:
        return f'{vm_id} is not known'
    return (
        f'{vm_id} is at version {vm.version}, '
        f'expected version {expected_version}'
    )


def _refuse_adoption(state: State, entry: VmAdopted) -> Reason | None:
    """Return why a VM can't be told from one that stands in for another.

    A VM stands in for a gone one if it was adopted after the charge of that
    one.  So an adoption has to rest on the latest list that the pool's
    records rest on, or on a later one and on all of those records: else its
    writer may take a VM for charged that was released and is gone since.
    """
    mark = state.marks.get(entry.pool)
    if mark is None or entry.reading == mark.reading:
        return None
    if entry.reading < mark.reading:
        return f'pool {entry.pool} was read again, at list {mark.reading}'
    if entry.head.basis < mark.offset:
        return f'pool {entry.pool} has changed at offset {mark.offset}'
    return None
