"""Drain, reboot or move, and release of VMs charged to a wave or a move.

The next step depends only on the folded state and the latest reading, so any
planner can continue where another one stopped.  A VM that was charged is
returned to service whatever happens to its wave: a drain can't be undone, so an
aborted wave still reboots the VM.
"""

from tarragonlb.capacity.action import (
    Action,
    Commit,
    DrainVm,
    MoveVm,
    RebootVm,
)
from tarragonlb.capacity.view import RoundContext
from tarragonlb.model.entry import Charge, VmEntry, WaveEntry
from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.model.ownership import ChargeReason, VmMoved, VmReleased
from tarragonlb.model.record import Record
from tarragonlb.model.wave import VmPassedOver, WaveStatus

OPEN_STATUSES = frozenset((WaveStatus.RUNNING, WaveStatus.PAUSED))


class DrainClock:
    """Measures on the clock of this process how long a VM has been draining.

    Another planner starts to count anew, so a limit is never cut short.
    """

    __slots__ = ('_since',)

    def __init__(self) -> None:
        """Start without VMs."""
        self._since: dict[tuple[str, int], float] = {}

    def measure(self, vm_id: str, boot: int, now: float) -> float:
        """Return the seconds since a VM was first seen draining."""
        return now - self._since.setdefault((vm_id, boot), now)

    def forget(self, vm_id: str, boot: int) -> None:
        """Remove a VM that has been rebooted."""
        self._since.pop((vm_id, boot), None)


def advance_charged_vms(
    context: RoundContext, clock: DrainClock
) -> list[Action]:
    """Return the next step of every VM charged to a wave or a move."""
    vms = context.view.vms
    charged = [
        vms[vm_id]
        for pool in vms.list_charged_pools()
        for vm_id in vms.list_charged(pool)
    ]
    actions: list[Action] = []
    for entry in charged:
        charge = entry.charge
        reading = context.view.vm_readings.get(entry.vm_id)
        if charge and reading and charge.reason is not ChargeReason.FAILURE:
            actions.extend(_advance_vm(context, entry, charge, reading, clock))
    return actions


def list_pending(wave: WaveEntry) -> list[str]:
    """Return the VMs that a wave still has to maintain, in order."""
    settled = {*wave.done, *(passed.vm_id for passed in wave.passed)}
    return [vm_id for vm_id in wave.vm_ids if vm_id not in settled]


def make_passed_over(
    context: RoundContext, wave_id: str, vm_id: str, reason: str
) -> VmPassedOver:
    """Return the record that a wave no longer waits for a VM."""
    return VmPassedOver(
        head=context.make_head(),
        wave_id=wave_id,
        vm_id=vm_id,
        reason=reason,
        term=context.view.term,
    )


def _advance_vm(
    context: RoundContext,
    entry: VmEntry,
    charge: Charge,
    reading: VmReading,
    clock: DrainClock,
) -> list[Action]:
    if reading.boot > charge.boot:
        clock.forget(entry.vm_id, charge.boot)
        if reading.phase is VmPhase.LIVE:
            return [Commit(_make_charge_end(context, entry, charge, reading))]
        return []
    if reading.boot < charge.boot:
        return []
    if reading.phase is VmPhase.LIVE:
        return _drain(context, entry, charge)
    if reading.phase is VmPhase.DRAINING:
        return _check_drain_limit(context, entry, charge, clock)
    is_busy = context.view.jobs.is_busy(entry.vm_id)
    if reading.phase is VmPhase.DRAINED and not is_busy:
        if charge.reason is ChargeReason.MOVE:
            return [MoveVm(entry.vm_id, charge.boot, charge.target)]
        return [RebootVm(entry.vm_id, charge.boot)]
    return []


def _drain(
    context: RoundContext, entry: VmEntry, charge: Charge
) -> list[Action]:
    """Drain a VM, unless the budget is used up by VMs that are unavailable.

    Failures may have used it up since the charge, or it may have been lowered.
    VMs that were charged first are then drained first.
    """
    budget = context.view.teams.find_budget(entry.pool)
    if budget is not None:
        drainable = _list_drainable(context, entry.pool)
        unavailable = _count_unavailable(context, entry.pool, drainable)
        if entry.vm_id not in drainable[: max(budget - unavailable, 0)]:
            return []
    return [DrainVm(entry.vm_id, charge.boot)]


def _list_drainable(context: RoundContext, pool: str) -> list[str]:
    """Return the charged VMs that still serve, the first charged one first."""
    vms = context.view.vms
    charges = [
        (charge.offset, vm_id)
        for vm_id in vms.list_charged(pool)
        if (charge := vms[vm_id].charge) is not None
        and charge.reason is not ChargeReason.FAILURE
        and _is_drainable(context, vm_id, charge)
    ]
    return [vm_id for _, vm_id in sorted(charges)]


def _is_drainable(context: RoundContext, vm_id: str, charge: Charge) -> bool:
    reading = context.view.vm_readings.get(vm_id)
    if reading is None or reading.boot != charge.boot:
        return False
    return reading.phase is VmPhase.LIVE


def _count_unavailable(
    context: RoundContext, pool: str, drainable: list[str]
) -> int:
    """Return the number of VMs that are charged, or failed but uncharged.

    Those that are ``drainable`` don't count, as they still serve.
    """
    vms = context.view.vms
    readings = context.view.vm_readings
    failed = [
        vm_id
        for vm_id in vms.list_pool_vms(pool)
        if vms[vm_id].charge is None
        and vm_id in readings
        and readings[vm_id].phase is not VmPhase.LIVE
    ]
    return vms.count_charged(pool) - len(drainable) + len(failed)


def _check_drain_limit(
    context: RoundContext, entry: VmEntry, charge: Charge, clock: DrainClock
) -> list[Action]:
    drain_seconds = clock.measure(entry.vm_id, charge.boot, context.now)
    limit = context.view.find_pool_settings(entry.pool).drain_limit_seconds
    wave = context.view.waves.get(charge.wave_id)
    if (
        drain_seconds < limit
        or wave is None
        or wave.status not in OPEN_STATUSES
    ):
        return []
    if entry.vm_id not in list_pending(wave):
        return []
    reason = (
        f'requests or jobs outlasted drain_limit_seconds={limit:g} of '
        f'/pools/{entry.pool}'
    )
    return [
        Commit(make_passed_over(context, wave.wave_id, entry.vm_id, reason))
    ]


def _make_charge_end(
    context: RoundContext, entry: VmEntry, charge: Charge, reading: VmReading
) -> Record:
    """Return the record that ends a charge.

    A VM that was rebooted before its move stays in its pool.
    """
    if charge.target and reading.pool == charge.target:
        return VmMoved(
            head=context.make_head(),
            vm_id=entry.vm_id,
            expected_version=entry.version,
            pool=charge.target,
            term=context.view.term,
            boot=reading.boot,
            reading=context.view.reading,
        )
    return VmReleased(
        head=context.make_head(),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        boot=reading.boot,
        maintained=charge.reason is ChargeReason.WAVE,
        reading=context.view.reading,
    )
