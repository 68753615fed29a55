"""Rules for VMs: one pool each, and charges within every team's budget."""

from dataclasses import replace
from types import MappingProxyType

from tarragonlb.journal.poolfold import (
    adopt_vm,
    explain_version,
    note_reading,
    retire_vm,
)
from tarragonlb.journal.rule import Reason, Rule, check_term
from tarragonlb.journal.state import State
from tarragonlb.model.entry import Charge, WaveEntry
from tarragonlb.model.invariant import ensure
from tarragonlb.model.ownership import (
    ChargeReason,
    VmAdopted,
    VmCharged,
    VmMoved,
    VmReleased,
    VmRetired,
)
from tarragonlb.model.wave import WaveStatus


def count_charged(state: State, pool: str) -> int:
    """Return how many VMs of a pool count as unavailable."""
    return state.vms.count_charged(pool)


def find_budget(state: State, pool: str) -> int | None:
    """Return the tightest budget that any team has on a pool.

    The count is of VMs that may be unavailable at once; None means that no
    team has a budget there.
    """
    return state.teams.find_budget(pool)


def charge_vm(state: State, entry: VmCharged, offset: int) -> Reason | None:
    """Count a VM as unavailable; only a failure may go over the budget."""
    vm = state.vms.get(entry.vm_id)
    if vm is None or vm.version != entry.expected_version:
        return explain_version(entry.vm_id, vm, entry.expected_version)
    if vm.charge:
        return f'{entry.vm_id} is charged already'
    if entry.boot < vm.boot:
        return f'{entry.vm_id} has been seen at boot {vm.boot} since'
    planned = entry.reason is not ChargeReason.FAILURE
    refusal = _refuse_planned(state, vm.pool, entry) if planned else None
    if refusal:
        return refusal
    if not planned:
        note_reading(state, vm.pool, entry.reading, offset)
    charge = Charge(
        reason=entry.reason,
        boot=entry.boot,
        wave_id=entry.wave_id,
        offset=offset,
        reading=entry.reading,
        target=entry.target,
    )
    state.vms[vm.vm_id] = replace(
        vm,
        version=vm.version + 1,
        charge=charge,
        boot=entry.boot,
        reading=max(vm.reading, entry.reading),
    )
    ensure(
        not planned or _is_within_budget(state, vm.pool),
        'a planned charge keeps every budget of its pool',
        entry.vm_id,
        vm.pool,
    )
    return None


def _is_within_budget(state: State, pool: str) -> bool:
    charged = [
        vm for vm in state.vms.list_charged(pool) if state.vms[vm].charge
    ]
    limits = [
        budget.max_unavailable
        for team in state.teams.values()
        for budget in team.budgets
        if budget.pool == pool
    ]
    return len(charged) <= min(limits, default=len(charged))


def release_vm(state: State, entry: VmReleased, offset: int) -> Reason | None:
    """End a charge on evidence that the VM is back."""
    vm = state.vms.get(entry.vm_id)
    if vm is None or vm.version != entry.expected_version:
        return explain_version(entry.vm_id, vm, entry.expected_version)
    if vm.charge is None:
        return f'{entry.vm_id} has no charge'
    refusal = _refuse_release(vm.charge, entry)
    if refusal:
        return refusal
    note_reading(state, vm.pool, entry.reading, offset)
    if entry.maintained:
        _note_maintained(state, vm.charge.wave_id, vm.vm_id)
    state.vms[vm.vm_id] = replace(
        vm,
        version=vm.version + 1,
        charge=None,
        boot=entry.boot,
        reading=max(vm.reading, entry.reading),
    )
    return None


def move_vm(state: State, entry: VmMoved, offset: int) -> Reason | None:
    """Change the pool of a VM that was seen in the new one."""
    vm = state.vms.get(entry.vm_id)
    if vm is None or vm.version != entry.expected_version:
        return explain_version(entry.vm_id, vm, entry.expected_version)
    if vm.charge is None or vm.charge.reason is not ChargeReason.MOVE:
        return f'{entry.vm_id} is not charged for a move'
    if vm.charge.target != entry.pool or entry.boot <= vm.charge.boot:
        return f'{entry.vm_id} was not seen to have moved to {entry.pool}'
    refusal = check_term(state, 'planner', entry.term)
    if refusal:
        return refusal
    note_reading(state, entry.pool, entry.reading, offset)
    state.vms[vm.vm_id] = replace(
        vm,
        version=vm.version + 1,
        pool=entry.pool,
        charge=None,
        boot=entry.boot,
        reading=max(vm.reading, entry.reading),
    )
    return None


def _refuse_release(charge: Charge, entry: VmReleased) -> Reason | None:
    if charge.reason is not ChargeReason.FAILURE:
        if entry.boot > charge.boot:
            return None
        return f'{entry.vm_id} was not rebooted since its charge'
    if entry.boot < charge.boot or entry.reading <= charge.reading:
        return f'{entry.vm_id} was not read again since its charge'
    return None


def _refuse_planned(state: State, pool: str, entry: VmCharged) -> Reason | None:
    refusal = check_term(state, 'planner', entry.term)
    if refusal:
        return refusal
    wave = state.waves.get(entry.wave_id)
    if entry.reason is ChargeReason.WAVE:
        refusal = _refuse_wave(wave, entry)
    if entry.reason is ChargeReason.MOVE and entry.target in {'', pool}:
        refusal = f'{entry.vm_id} has no other pool to move to'
    if refusal:
        return refusal
    charged = count_charged(state, pool)
    if wave and charged >= wave.at_once:
        return f'wave {wave.wave_id} has {charged} VMs away already'
    budget = find_budget(state, pool)
    if budget is not None and charged >= budget:
        return f'the budget of pool {pool} has {charged} of {budget} used'
    return None


def _refuse_wave(wave: WaveEntry | None, entry: VmCharged) -> Reason | None:
    if wave is None:
        return f'wave {entry.wave_id} is not known'
    if wave.status is not WaveStatus.RUNNING:
        return f'wave {entry.wave_id} is {wave.status}'
    if entry.vm_id not in wave.vm_ids or entry.vm_id in wave.done:
        return f'{entry.vm_id} is not due in wave {entry.wave_id}'
    return None


def _note_maintained(state: State, wave_id: str, vm_id: str) -> None:
    wave = state.waves.get(wave_id)
    if wave and vm_id not in wave.done:
        state.waves[wave_id] = replace(wave, done=(*wave.done, vm_id))


RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {
        VmAdopted: adopt_vm,
        VmCharged: charge_vm,
        VmReleased: release_vm,
        VmMoved: move_vm,
        VmRetired: retire_vm,
    }
)
