"""What a maintenance wave will cost, said before it is started, and progress.

The figures are estimates for people: no decision of the planner rests on
them.  Each answer names the settings that it follows from, so that a manager
can ask for another choice by changing one of them.
"""

import math
from collections import Counter
from dataclasses import dataclass

from tarragonlb.capacity.draining import list_pending
from tarragonlb.capacity.view import FleetView
from tarragonlb.model.entry import WaveEntry
from tarragonlb.model.wave import WaveStatus

SECONDS_PER_HOUR = 3600
HOUR_DIGITS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveCost:
    """The three measures of a wave, in words and figures.

    ``vm_hours_away`` is the capacity that is away in total, and ``rests_on``
    names the settings behind ``at_once`` and the times.
    """

    pool: str
    vms: int
    at_once: int
    rollout_hours: float
    vm_hours_away: float
    vm_moves: int
    words: str
    rests_on: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class WaveForecast:
    """How far a wave is, and whether it keeps its promised time.

    ``late_reason`` is empty as long as the promise is expected to hold.
    """

    maintained: int
    passed_over: int
    left: int
    away: int
    expected_hours_left: float
    promised_hours_left: float
    late_reason: str


def list_vms_by_rack(view: FleetView, pool: str) -> list[str]:
    """Return the VMs of a pool, one availability zone and rack after another.

    A fault that the maintenance itself brings shows in one failure domain
    first.
    """
    entries = [view.vms[vm_id] for vm_id in view.vms.list_pool_vms(pool)]
    entries.sort(key=lambda vm: (vm.zone, vm.rack, vm.vm_id))
    return [vm.vm_id for vm in entries]


def find_limits(
    view: FleetView, pool: str, vm_ids: list[str], at_once: int
) -> dict[str, int]:
    """Return each limit on how many VMs may be away, by where it stands."""
    settings = view.find_pool_settings(pool)
    limits = {
        f'/teams/{name}': budget.max_unavailable
        for name, team in view.teams.items()
        for budget in team.budgets
        if budget.pool == pool
    }
    entries = [view.vms[vm_id] for vm_id in vm_ids if vm_id in view.vms]
    racks = Counter(vm.rack for vm in entries)
    zones = Counter(vm.zone for vm in entries)
    per_rack = settings.at_once_per_rack
    per_zone = settings.at_once_per_zone
    limits[f'/pools/{pool} at_once'] = at_once
    limits[f'/pools/{pool} at_once_per_rack'] = sum(
        min(size, per_rack) for size in racks.values()
    )
    limits[f'/pools/{pool} at_once_per_zone'] = sum(
        min(size, per_zone) for size in zones.values()
    )
    return limits


def estimate_wave_cost(view: FleetView, pool: str, at_once: int) -> WaveCost:
    """Return what a wave over a whole pool would cost."""
    vm_ids = list_vms_by_rack(view, pool)
    limits = find_limits(view, pool, vm_ids, at_once)
    room = min(limits.values())
    tightest = tuple(path for path, limit in limits.items() if limit == room)
    seconds = view.find_pool_settings(pool).return_seconds
    hours = _count_hours(len(vm_ids), room, seconds)
    return WaveCost(
        pool=pool,
        vms=len(vm_ids),
        at_once=room,
        rollout_hours=hours,
        vm_hours_away=round_hours(len(vm_ids) * seconds),
        vm_moves=0,
        words=_describe(pool, len(vm_ids), room, hours),
        rests_on=(*tightest, f'/pools/{pool} return_seconds'),
    )


def forecast_wave(
    view: FleetView, wave: WaveEntry, wall: float
) -> WaveForecast:
    """Return how far a wave is; ``wall`` is the wall-clock time in seconds."""
    pending = list_pending(wave)
    elapsed = max(wall - wave.started_at, 0)
    promised = (wave.promised_seconds - elapsed) / SECONDS_PER_HOUR
    limits = find_limits(view, wave.pool, pending, wave.at_once)
    room = min(limits.values())
    seconds = _estimate_seconds(view, wave, elapsed, room)
    hours = _count_hours(len(pending), room, seconds)
    reason = ''
    if pending and wave.status is WaveStatus.PAUSED:
        reason = 'the wave is paused'
    elif pending and hours > promised:
        reason = _explain_late(limits, len(pending), seconds)
    return WaveForecast(
        maintained=len(wave.done),
        passed_over=len(wave.passed),
        left=len(pending),
        away=view.vms.count_charged(wave.pool),
        expected_hours_left=hours,
        promised_hours_left=round(promised, HOUR_DIGITS),
        late_reason=reason,
    )


def _explain_late(limits: dict[str, int], left: int, seconds: float) -> str:
    room = min(limits.values())
    tightest = [path for path, limit in limits.items() if limit == room]
    return (
        f'{left} VMs are left, {room} may be away at once '
        f'({", ".join(tightest)}), and one takes {seconds:.0f} s'
    )


def _estimate_seconds(
    view: FleetView, wave: WaveEntry, elapsed: float, room: int
) -> float:
    """Return the seconds that a VM is away, from what was seen if possible."""
    declared = view.find_pool_settings(wave.pool).return_seconds
    settled = len(wave.done) + len(wave.passed)
    if settled < room or not settled:
        return declared
    return elapsed * room / settled


def round_hours(seconds: float) -> float:
    """Return hours as a person reads them."""
    return round(seconds / SECONDS_PER_HOUR, HOUR_DIGITS)


def _count_hours(vms: int, room: int, seconds: float) -> float:
    if not vms:
        return 0
    if room < 1:
        return math.inf
    return round_hours(math.ceil(vms / room) * seconds)


def _describe(pool: str, vms: int, room: int, hours: float) -> str:
    if room < 1:
        return (
            f'A wave over pool {pool} can not start: a budget or limit '
            f'allows no VM to be away.'
        )
    return (
        f'All {vms} VMs of pool {pool} are maintained in about {hours:.1f} '
        f'hours, at most {room} at a time. Until then the pool does without '
        f'{room} of its {vms} VMs. No VM changes its pool.'
    )
