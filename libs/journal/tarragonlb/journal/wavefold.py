"""Rules for maintenance waves."""

from dataclasses import replace
from types import MappingProxyType

from tarragonlb.journal.rule import Reason, Rule, check_term
from tarragonlb.journal.state import State
from tarragonlb.model.entry import PassedVm, WaveEntry
from tarragonlb.model.wave import (
    VmPassedOver,
    WavePlanned,
    WaveStatus,
    WaveSteered,
)

_FINAL_STATUSES = frozenset((WaveStatus.ABORTED, WaveStatus.FINISHED))


def plan_wave(state: State, record: WavePlanned, offset: int) -> Reason | None:
    """Start a wave if no other wave is open on the pool."""
    if record.wave_id in state.waves:
        return f'wave {record.wave_id} already exists'
    for wave in state.waves.values():
        if wave.pool == record.pool and wave.status not in _FINAL_STATUSES:
            return f'wave {wave.wave_id} is open on pool {record.pool}'
    outside_pool = [
        vm_id
        for vm_id in record.vm_ids
        if vm_id not in state.vms or state.vms[vm_id].pool != record.pool
    ]
    if outside_pool:
        return f'not in pool {record.pool}: {", ".join(outside_pool)}'
    if record.at_once < 1 or not record.vm_ids:
        return f'wave {record.wave_id} has no VMs or maintains none at once'
    state.waves[record.wave_id] = WaveEntry(
        wave_id=record.wave_id,
        pool=record.pool,
        vm_ids=record.vm_ids,
        at_once=record.at_once,
        status=WaveStatus.RUNNING,
        started_at=record.head.written_at,
        promised_seconds=record.promised_seconds,
    )
    return None


def skip_vm(state: State, record: VmPassedOver, offset: int) -> Reason | None:
    """Skip a VM, so that the wave can end without it."""
    wave = state.waves.get(record.wave_id)
    if wave is None or wave.status in _FINAL_STATUSES:
        return f'wave {record.wave_id} is not open'
    finished_vms = {*wave.done, *(passed.vm_id for passed in wave.passed)}
    if record.vm_id not in wave.vm_ids or record.vm_id in finished_vms:
        return f'{record.vm_id} is not due in wave {record.wave_id}'
    rejection = check_term(state, 'planner', record.term)
    if rejection:
        return rejection
    passed = PassedVm(vm_id=record.vm_id, reason=record.reason)
    state.waves[wave.wave_id] = replace(wave, passed=(*wave.passed, passed))
    return None


def change_wave_status(
    state: State, record: WaveSteered, offset: int
) -> Reason | None:
    """Pause, resume, abort or finish a wave that has not ended."""
    wave = state.waves.get(record.wave_id)
    if wave is None or wave.status in _FINAL_STATUSES:
        return f'wave {record.wave_id} is not open'
    if wave.version != record.expected_version:
        return f'wave {record.wave_id} is at version {wave.version}'
    state.waves[record.wave_id] = replace(
        wave, status=record.status, version=wave.version + 1
    )
    return None


RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {
        WavePlanned: plan_wave,
        WaveSteered: change_wave_status,
        VmPassedOver: skip_vm,
    }
)
