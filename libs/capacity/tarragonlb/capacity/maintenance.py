"""Maintenance waves: which VM is taken away next, and when a wave ends.

A VM is charged before it is drained.  VMs that are away for any reason, a
failure or another wave, count against the wave and against every budget.
"""

from collections import Counter

from tarragonlb.capacity.action import Action, Commit
from tarragonlb.capacity.draining import OPEN_STATUSES, list_pending, pass_over
from tarragonlb.capacity.view import FleetView, Round, is_usable
from tarragonlb.model.entry import VmEntry, WaveEntry
from tarragonlb.model.ownership import ChargeReason, VmCharged
from tarragonlb.model.wave import WaveStatus, WaveSteered


class DomainLimits:
    """How many VMs of a pool are away, by rack and zone."""

    __slots__ = ('_racks', '_settings', '_zones')

    def __init__(self, view: FleetView, pool: str) -> None:
        """Count the VMs of a pool that are away now."""
        away = [view.vms[vm_id] for vm_id in view.vms.list_charged(pool)]
        self._settings = view.find_pool_settings(pool)
        self._racks = Counter(vm.rack for vm in away)
        self._zones = Counter(vm.zone for vm in away)

    def allows(self, entry: VmEntry) -> bool:
        """Return whether a VM may be taken as well."""
        if self._racks[entry.rack] >= self._settings.at_once_per_rack:
            return False
        return self._zones[entry.zone] < self._settings.at_once_per_zone

    def take(self, entry: VmEntry) -> None:
        """Count a VM that is taken."""
        self._racks[entry.rack] += 1
        self._zones[entry.zone] += 1


def advance_waves(turn: Round) -> list[Action]:
    """Return the next step of every open wave."""
    actions: list[Action] = []
    for wave in turn.view.waves.values():
        if wave.status in OPEN_STATUSES:
            actions.extend(_advance_wave(turn, wave))
    return actions


def count_room(view: FleetView, wave: WaveEntry) -> int:
    """Return how many VMs more a wave may take away now."""
    if wave.status is not WaveStatus.RUNNING:
        return 0
    budget = view.teams.find_budget(wave.pool)
    limit = wave.at_once if budget is None else min(wave.at_once, budget)
    return max(limit - view.vms.count_charged(wave.pool), 0)


def _advance_wave(turn: Round, wave: WaveEntry) -> list[Action]:
    pending = list_pending(wave)
    if not pending:
        return [Commit(_finish(turn, wave))]
    lost = [vm_id for vm_id in pending if _has_left(turn.view, wave, vm_id)]
    actions: list[Action] = [
        Commit(pass_over(turn, wave.wave_id, vm_id, 'it left the pool'))
        for vm_id in lost
    ]
    room = count_room(turn.view, wave)
    if room:
        chosen = _choose(turn.view, wave, pending, room)
        actions.extend(Commit(_charge(turn, wave, vm_id)) for vm_id in chosen)
    return actions


def _has_left(view: FleetView, wave: WaveEntry, vm_id: str) -> bool:
    entry = view.vms.get(vm_id)
    return entry is None or entry.pool != wave.pool


def _choose(
    view: FleetView, wave: WaveEntry, pending: list[str], room: int
) -> list[str]:
    """Return VMs to take, within the limits by rack and zone."""
    limits = DomainLimits(view, wave.pool)
    chosen: list[str] = []
    for vm_id in pending:
        if len(chosen) == room:
            break
        if _has_left(view, wave, vm_id) or not is_usable(view, vm_id):
            continue
        if limits.allows(view.vms[vm_id]):
            limits.take(view.vms[vm_id])
            chosen.append(vm_id)
    return chosen


def _charge(turn: Round, wave: WaveEntry, vm_id: str) -> VmCharged:
    return VmCharged(
        head=turn.sign(),
        vm_id=vm_id,
        expected_version=turn.view.vms[vm_id].version,
        reason=ChargeReason.WAVE,
        boot=turn.view.vm_readings[vm_id].boot,
        wave_id=wave.wave_id,
        term=turn.view.term,
        reading=turn.view.reading,
    )


def _finish(turn: Round, wave: WaveEntry) -> WaveSteered:
    return WaveSteered(
        head=turn.sign(),
        wave_id=wave.wave_id,
        expected_version=wave.version,
        status=WaveStatus.FINISHED,
    )
