"""Maintenance waves: VMs are taken away, rebooted and brought back.

Each VM goes through charge, drain, reboot and release.  Which step is next
follows from the fold and the latest reading alone, so any planner can go on
where another one stopped.
"""

from tarragonlb.capacity.action import Action, Commit, DrainVm, RebootVm
from tarragonlb.capacity.view import FleetView, is_usable, list_started
from tarragonlb.model.entry import VmEntry, WaveEntry
from tarragonlb.model.fleet import VmPhase
from tarragonlb.model.ownership import ChargeReason, VmCharged, VmReleased
from tarragonlb.model.scribe import Scribe
from tarragonlb.model.wave import WaveStatus, WaveSteered


def advance_waves(view: FleetView, scribe: Scribe, now: float) -> list[Action]:
    """Return the next step of every VM of every open wave."""
    actions: list[Action] = []
    for wave in view.waves.values():
        if wave.status in {WaveStatus.RUNNING, WaveStatus.PAUSED}:
            actions.extend(_advance_wave(view, wave, scribe, now))
    return actions


def _advance_wave(
    view: FleetView, wave: WaveEntry, scribe: Scribe, now: float
) -> list[Action]:
    if len(wave.done) == len(wave.vm_ids):
        return [Commit(_finish(view, wave, scribe, now))]
    pending = [
        view.vms[vm_id] for vm_id in wave.vm_ids if vm_id not in wave.done
    ]
    taken = [vm for vm in pending if _is_taken(vm, wave)]
    waiting = [
        vm for vm in pending if not vm.charge and is_usable(view, vm.vm_id)
    ]
    actions: list[Action] = []
    for vm in taken:
        actions.extend(_advance_vm(view, vm, scribe, now))
    room = max(_count_room(view, wave), 0)
    actions.extend(
        Commit(_charge(view, wave, vm, scribe, now)) for vm in waiting[:room]
    )
    return actions


def _is_taken(vm: VmEntry, wave: WaveEntry) -> bool:
    return vm.charge is not None and vm.charge.wave_id == wave.wave_id


def _count_room(view: FleetView, wave: WaveEntry) -> int:
    if wave.status is WaveStatus.PAUSED:
        return 0
    charged = sum(
        1 for vm in view.vms.values() if vm.pool == wave.pool and vm.charge
    )
    limits = [
        budget.max_unavailable
        for team in view.teams.values()
        for budget in team.budgets
        if budget.pool == wave.pool
    ]
    return min([wave.at_once, *limits]) - charged


def _advance_vm(
    view: FleetView, entry: VmEntry, scribe: Scribe, now: float
) -> list[Action]:
    reading = view.vm_readings.get(entry.vm_id)
    if reading is None or entry.charge is None:
        return []
    if reading.boot > entry.charge.boot:
        if reading.phase is VmPhase.LIVE:
            return [Commit(_release(view, entry, reading.boot, scribe, now))]
        return []
    if reading.phase is VmPhase.LIVE:
        return [DrainVm(entry.vm_id, reading.boot)]
    busy = any(job.vm_id == entry.vm_id for job in list_started(view))
    if reading.phase is VmPhase.DRAINED and not busy:
        return [RebootVm(entry.vm_id, reading.boot)]
    return []


def _charge(
    view: FleetView,
    wave: WaveEntry,
    entry: VmEntry,
    scribe: Scribe,
    now: float,
) -> VmCharged:
    return VmCharged(
        head=scribe.sign(view.offset, now),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        reason=ChargeReason.WAVE,
        boot=view.vm_readings[entry.vm_id].boot,
        wave_id=wave.wave_id,
        term=view.term,
    )


def _release(
    view: FleetView, entry: VmEntry, boot: int, scribe: Scribe, now: float
) -> VmReleased:
    return VmReleased(
        head=scribe.sign(view.offset, now),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        boot=boot,
        maintained=True,
    )


def _finish(
    view: FleetView, wave: WaveEntry, scribe: Scribe, now: float
) -> WaveSteered:
    return WaveSteered(
        head=scribe.sign(view.offset, now),
        wave_id=wave.wave_id,
        expected_version=wave.version,
        status=WaveStatus.FINISHED,
    )
