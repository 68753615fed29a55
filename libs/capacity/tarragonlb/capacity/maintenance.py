"""Maintenance waves: which VMs are charged next, and when a wave ends.

A VM is charged before it is drained.  VMs that are unavailable for any reason,
such as a failure or another wave, count against the wave and against every
budget.
"""

from collections import Counter

from tarragonlb.capacity.action import Action, Commit
from tarragonlb.capacity.draining import (
    OPEN_STATUSES,
    list_pending,
    make_passed_over,
)
from tarragonlb.capacity.view import FleetView, RoundContext, is_usable
from tarragonlb.model.entry import VmEntry, WaveEntry
from tarragonlb.model.ownership import ChargeReason, VmCharged
from tarragonlb.model.wave import WaveStatus, WaveSteered


class DomainLimits:
    """Limits on unavailable VMs of a pool by rack and zone."""

    __slots__ = ('_racks', '_settings', '_zones')

    def __init__(self, view: FleetView, pool: str) -> None:
        """Count the VMs of a pool that are unavailable now."""
        unavailable = [view.vms[vm_id] for vm_id in view.vms.list_charged(pool)]
        self._settings = view.find_pool_settings(pool)
        self._racks = Counter(vm.rack for vm in unavailable)
        self._zones = Counter(vm.zone for vm in unavailable)

    def allows(self, entry: VmEntry) -> bool:
        """Return whether another VM may become unavailable."""
        if self._racks[entry.rack] >= self._settings.at_once_per_rack:
            return False
        return self._zones[entry.zone] < self._settings.at_once_per_zone

    def add(self, entry: VmEntry) -> None:
        """Count a VM that becomes unavailable."""
        self._racks[entry.rack] += 1
        self._zones[entry.zone] += 1


def advance_waves(context: RoundContext) -> list[Action]:
    """Return the next step of every open wave."""
    actions: list[Action] = []
    for wave in context.view.waves.values():
        if wave.status in OPEN_STATUSES:
            actions.extend(_advance_wave(context, wave))
    return actions


def count_wave_headroom(view: FleetView, wave: WaveEntry) -> int:
    """Return how many more VMs a wave may charge now."""
    if wave.status is not WaveStatus.RUNNING:
        return 0
    budget = view.teams.find_budget(wave.pool)
    limit = wave.at_once if budget is None else min(wave.at_once, budget)
    return max(limit - view.vms.count_charged(wave.pool), 0)


def _advance_wave(context: RoundContext, wave: WaveEntry) -> list[Action]:
    pending = list_pending(wave)
    if not pending:
        return [Commit(_make_finished(context, wave))]
    departed = [
        vm_id for vm_id in pending if _has_left(context.view, wave, vm_id)
    ]
    actions: list[Action] = [
        Commit(
            make_passed_over(context, wave.wave_id, vm_id, 'it left the pool')
        )
        for vm_id in departed
    ]
    headroom = count_wave_headroom(context.view, wave)
    if headroom:
        chosen = _choose_vms(context.view, wave, pending, headroom)
        actions.extend(
            Commit(_make_charged(context, wave, vm_id)) for vm_id in chosen
        )
    return actions


def _has_left(view: FleetView, wave: WaveEntry, vm_id: str) -> bool:
    entry = view.vms.get(vm_id)
    return entry is None or entry.pool != wave.pool


def _choose_vms(
    view: FleetView, wave: WaveEntry, pending: list[str], headroom: int
) -> list[str]:
    """Return the VMs to charge, within the limits by rack and zone."""
    limits = DomainLimits(view, wave.pool)
    chosen: list[str] = []
    for vm_id in pending:
        if len(chosen) == headroom:
            break
        if _has_left(view, wave, vm_id) or not is_usable(view, vm_id):
            continue
        if limits.allows(view.vms[vm_id]):
            limits.add(view.vms[vm_id])
            chosen.append(vm_id)
    return chosen


def _make_charged(
    context: RoundContext, wave: WaveEntry, vm_id: str
) -> VmCharged:
    return VmCharged(
        head=context.make_head(),
        vm_id=vm_id,
        expected_version=context.view.vms[vm_id].version,
        reason=ChargeReason.WAVE,
        boot=context.view.vm_readings[vm_id].boot,
        wave_id=wave.wave_id,
        term=context.view.term,
        reading=context.view.reading,
    )


def _make_finished(context: RoundContext, wave: WaveEntry) -> WaveSteered:
    return WaveSteered(
        head=context.make_head(),
        wave_id=wave.wave_id,
        expected_version=wave.version,
        status=WaveStatus.FINISHED,
    )
