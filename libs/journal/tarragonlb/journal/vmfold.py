"""Rules for VMs.

Each VM is in one pool, and planned charges stay within every team's budget.
"""

from dataclasses import replace
from types import MappingProxyType

from tarragonlb.journal.poolfold import (
    adopt_vm,
    explain_version,
    retire_vm,
    update_mark,
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
    """Return the lowest budget that any team has for a pool.

    It is the number of VMs that may be unavailable at once, or None if no team
    has a budget for the pool.
    """
    return state.teams.find_budget(pool)


def charge_vm(state: State, record: VmCharged, offset: int) -> Reason | None:
    """Count a VM as unavailable; only a failure may exceed the budget."""
    vm = state.vms.get(record.vm_id)
    if vm is None or vm.version != record.expected_version:
        return explain_version(record.vm_id, vm, record.expected_version)
    if vm.charge:
        return f'{record.vm_id} is already charged'
    if record.boot < vm.boot:
        return f'{record.vm_id} has reached boot count {vm.boot} since'
    planned = record.reason is not ChargeReason.FAILURE
    rejection = _check_planned(state, vm.pool, record) if planned else None
    if rejection:
        return rejection
    if not planned:
        update_mark(state, vm.pool, record.reading, offset)
    charge = Charge(
        reason=record.reason,
        boot=record.boot,
        wave_id=record.wave_id,
        offset=offset,
        reading=record.reading,
        target=record.target,
    )
    state.vms[vm.vm_id] = replace(
        vm,
        version=vm.version + 1,
        charge=charge,
        boot=record.boot,
        reading=max(vm.reading, record.reading),
    )
    ensure(
        not planned or _is_within_budget(state, vm.pool),
        'a planned charge stays within every budget of its pool',
        record.vm_id,
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


def release_vm(state: State, record: VmReleased, offset: int) -> Reason | None:
    """End a charge on evidence that the VM is back."""
    vm = state.vms.get(record.vm_id)
    if vm is None or vm.version != record.expected_version:
        return explain_version(record.vm_id, vm, record.expected_version)
    if vm.charge is None:
        return f'{record.vm_id} is not charged'
    rejection = _check_release(vm.charge, record)
    if rejection:
        return rejection
    update_mark(state, vm.pool, record.reading, offset)
    if record.maintained:
        _mark_done(state, vm.charge.wave_id, vm.vm_id)
    state.vms[vm.vm_id] = replace(
        vm,
        version=vm.version + 1,
        charge=None,
        boot=record.boot,
        reading=max(vm.reading, record.reading),
    )
    return None


def move_vm(state: State, record: VmMoved, offset: int) -> Reason | None:
    """Change the pool of a VM that was listed in its new pool."""
    vm = state.vms.get(record.vm_id)
    if vm is None or vm.version != record.expected_version:
        return explain_version(record.vm_id, vm, record.expected_version)
    if vm.charge is None or vm.charge.reason is not ChargeReason.MOVE:
        return f'{record.vm_id} is not charged for a move'
    if vm.charge.target != record.pool or record.boot <= vm.charge.boot:
        return f'{record.vm_id} has not been restarted in pool {record.pool}'
    rejection = check_term(state, 'planner', record.term)
    if rejection:
        return rejection
    update_mark(state, record.pool, record.reading, offset)
    state.vms[vm.vm_id] = replace(
        vm,
        version=vm.version + 1,
        pool=record.pool,
        charge=None,
        boot=record.boot,
        reading=max(vm.reading, record.reading),
    )
    return None


def _check_release(charge: Charge, record: VmReleased) -> Reason | None:
    if charge.reason is not ChargeReason.FAILURE:
        if record.boot > charge.boot:
            return None
        return f'{record.vm_id} has not been rebooted since its charge'
    if record.boot < charge.boot or record.reading <= charge.reading:
        return f'{record.vm_id} has not been listed again since its charge'
    return None


def _check_planned(state: State, pool: str, record: VmCharged) -> Reason | None:
    rejection = check_term(state, 'planner', record.term)
    if rejection:
        return rejection
    wave = state.waves.get(record.wave_id)
    if record.reason is ChargeReason.WAVE:
        rejection = _check_wave(wave, record)
    if record.reason is ChargeReason.MOVE and record.target in {'', pool}:
        rejection = f'{record.vm_id} has no other pool to move to'
    if rejection:
        return rejection
    charged = count_charged(state, pool)
    if wave and charged >= wave.at_once:
        return (
            f'wave {wave.wave_id} waits, '
            f'{charged} VMs of its pool are unavailable'
        )
    budget = find_budget(state, pool)
    if budget is not None and charged >= budget:
        return (
            f'the budget of pool {pool} is exhausted, '
            f'{charged} of {budget} used'
        )
    return None


def _check_wave(wave: WaveEntry | None, record: VmCharged) -> Reason | None:
    if wave is None:
        return f'wave {record.wave_id} does not exist'
    if wave.status is not WaveStatus.RUNNING:
        return f'wave {record.wave_id} is {wave.status}'
    if record.vm_id not in wave.vm_ids or record.vm_id in wave.done:
        return f'{record.vm_id} is not due in wave {record.wave_id}'
    return None


def _mark_done(state: State, wave_id: str, vm_id: str) -> None:
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
