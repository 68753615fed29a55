"""VMs that a wave or a move has taken: drained, restarted, brought back.

Which step is next follows from the fold and the latest reading alone, so any
planner can go on where another one stopped.  A VM that was taken comes back
whatever becomes of its wave: a drain can't be undone, so an aborted wave
still reboots it.
"""

from tarragonlb.capacity.action import (
    Action,
    Commit,
    DrainVm,
    MoveVm,
    RebootVm,
)
from tarragonlb.capacity.view import Round
from tarragonlb.model.entry import Charge, VmEntry, WaveEntry
from tarragonlb.model.fleet import VmPhase, VmReading
from tarragonlb.model.ownership import ChargeReason, VmMoved, VmReleased
from tarragonlb.model.record import Record
from tarragonlb.model.wave import VmPassedOver, WaveStatus

OPEN_STATUSES = frozenset((WaveStatus.RUNNING, WaveStatus.PAUSED))


class DrainClock:
    """Counts on this process's clock for how long a VM was seen draining.

    Another planner starts to count anew, so a limit is never cut short.
    """

    __slots__ = ('_since',)

    def __init__(self) -> None:
        """Start without any VM."""
        self._since: dict[tuple[str, int], float] = {}

    def measure(self, vm_id: str, boot: int, now: float) -> float:
        """Return the seconds since a VM was first seen draining."""
        return now - self._since.setdefault((vm_id, boot), now)

    def forget(self, vm_id: str, boot: int) -> None:
        """Drop a VM that is back."""
        self._since.pop((vm_id, boot), None)


def return_vms(turn: Round, clock: DrainClock) -> list[Action]:
    """Return the next step of every VM that a wave or move has taken."""
    vms = turn.view.vms
    away = [
        vms[vm_id]
        for pool in vms.list_charged_pools()
        for vm_id in vms.list_charged(pool)
    ]
    actions: list[Action] = []
    for entry in away:
        charge = entry.charge
        reading = turn.view.vm_readings.get(entry.vm_id)
        if charge and reading and charge.reason is not ChargeReason.FAILURE:
            actions.extend(_advance_vm(turn, entry, charge, reading, clock))
    return actions


def list_pending(wave: WaveEntry) -> list[str]:
    """Return the VMs that a wave still has to bring back, in order."""
    settled = {*wave.done, *(passed.vm_id for passed in wave.passed)}
    return [vm_id for vm_id in wave.vm_ids if vm_id not in settled]


def pass_over(
    turn: Round, wave_id: str, vm_id: str, reason: str
) -> VmPassedOver:
    """Return the record that a wave no longer waits for a VM."""
    return VmPassedOver(
        head=turn.sign(),
        wave_id=wave_id,
        vm_id=vm_id,
        reason=reason,
        term=turn.view.term,
    )


def _advance_vm(
    turn: Round,
    entry: VmEntry,
    charge: Charge,
    reading: VmReading,
    clock: DrainClock,
) -> list[Action]:
    if reading.boot > charge.boot:
        clock.forget(entry.vm_id, charge.boot)
        if reading.phase is VmPhase.LIVE:
            return [Commit(_bring_back(turn, entry, charge, reading))]
        return []
    if reading.boot < charge.boot:
        return []
    if reading.phase is VmPhase.LIVE:
        return _drain(turn, entry, charge)
    if reading.phase is VmPhase.DRAINING:
        return _watch_drain(turn, entry, charge, clock)
    busy = turn.view.jobs.is_busy(entry.vm_id)
    if reading.phase is VmPhase.DRAINED and not busy:
        if charge.reason is ChargeReason.MOVE:
            return [MoveVm(entry.vm_id, charge.boot, charge.target)]
        return [RebootVm(entry.vm_id, charge.boot)]
    return []


def _drain(turn: Round, entry: VmEntry, charge: Charge) -> list[Action]:
    """Drain a VM, unless failures have used its place in the budget since."""
    budget = turn.view.teams.find_budget(entry.pool)
    if budget is not None and _count_away(turn, entry.pool) > budget:
        return []
    return [DrainVm(entry.vm_id, charge.boot)]


def _count_away(turn: Round, pool: str) -> int:
    """Return the VMs that are charged, or not live and yet to be charged."""
    vms = turn.view.vms
    readings = turn.view.vm_readings
    failed = [
        vm_id
        for vm_id in vms.list_pool_vms(pool)
        if vms[vm_id].charge is None
        and vm_id in readings
        and readings[vm_id].phase is not VmPhase.LIVE
    ]
    return vms.count_charged(pool) + len(failed)


def _watch_drain(
    turn: Round, entry: VmEntry, charge: Charge, clock: DrainClock
) -> list[Action]:
    seconds = clock.measure(entry.vm_id, charge.boot, turn.now)
    limit = turn.view.find_pool_settings(entry.pool).drain_limit_seconds
    wave = turn.view.waves.get(charge.wave_id)
    if seconds < limit or wave is None or wave.status not in OPEN_STATUSES:
        return []
    if entry.vm_id not in list_pending(wave):
        return []
    reason = (
        f'requests or jobs outlasted drain_limit_seconds={limit:g} of '
        f'/pools/{entry.pool}'
    )
    return [Commit(pass_over(turn, wave.wave_id, entry.vm_id, reason))]


def _bring_back(
    turn: Round, entry: VmEntry, charge: Charge, reading: VmReading
) -> Record:
    """Return the record that ends a charge.

    A VM that was restarted before its move stays in its pool.
    """
    if charge.target and reading.pool == charge.target:
        return VmMoved(
            head=turn.sign(),
            vm_id=entry.vm_id,
            expected_version=entry.version,
            pool=charge.target,
            term=turn.view.term,
            boot=reading.boot,
            reading=turn.view.reading,
        )
    return VmReleased(
        head=turn.sign(),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        boot=reading.boot,
        maintained=charge.reason is ChargeReason.WAVE,
        reading=turn.view.reading,
    )
