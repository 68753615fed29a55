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

_ENDED = frozenset((WaveStatus.ABORTED, WaveStatus.FINISHED))


def plan_wave(state: State, entry: WavePlanned, offset: int) -> Reason | None:
    """Begin a wave if no other one is open on the pool."""
    if entry.wave_id in state.waves:
        return f'wave {entry.wave_id} is known already'
    for wave in state.waves.values():
        if wave.pool == entry.pool and wave.status not in _ENDED:
            return f'wave {wave.wave_id} is open on pool {entry.pool}'
    strangers = [
        vm_id
        for vm_id in entry.vm_ids
        if vm_id not in state.vms or state.vms[vm_id].pool != entry.pool
    ]
    if strangers:
        return f'not in pool {entry.pool}: {", ".join(strangers)}'
    if entry.at_once < 1 or not entry.vm_ids:
        return f'wave {entry.wave_id} takes no VM away'
    state.waves[entry.wave_id] = WaveEntry(
        wave_id=entry.wave_id,
        pool=entry.pool,
        vm_ids=entry.vm_ids,
        at_once=entry.at_once,
        status=WaveStatus.RUNNING,
        started_at=entry.head.written_at,
        promised_seconds=entry.promised_seconds,
    )
    return None


def pass_vm_over(
    state: State, entry: VmPassedOver, offset: int
) -> Reason | None:
    """Let a wave end without one of its VMs."""
    wave = state.waves.get(entry.wave_id)
    if wave is None or wave.status in _ENDED:
        return f'wave {entry.wave_id} is not open'
    settled = {*wave.done, *(passed.vm_id for passed in wave.passed)}
    if entry.vm_id not in wave.vm_ids or entry.vm_id in settled:
        return f'{entry.vm_id} is not due in wave {entry.wave_id}'
    refusal = check_term(state, 'planner', entry.term)
    if refusal:
        return refusal
    passed = PassedVm(vm_id=entry.vm_id, reason=entry.reason)
    state.waves[wave.wave_id] = replace(wave, passed=(*wave.passed, passed))
    return None


def steer_wave(state: State, entry: WaveSteered, offset: int) -> Reason | None:
    """Pause, resume, abort or finish a wave that has not ended."""
    wave = state.waves.get(entry.wave_id)
    if wave is None or wave.status in _ENDED:
        return f'wave {entry.wave_id} is not open'
    if wave.version != entry.expected_version:
        return f'wave {entry.wave_id} is at version {wave.version}'
    state.waves[entry.wave_id] = replace(
        wave, status=entry.status, version=wave.version + 1
    )
    return None


RULES: MappingProxyType[type, Rule] = MappingProxyType(
    {
        WavePlanned: plan_wave,
        WaveSteered: steer_wave,
        VmPassedOver: pass_vm_over,
    }
)
