"""Cost estimates of maintenance waves before their start, and their progress.

The figures are estimates for people; the planner does not use them.  Each
answer names the settings that it depends on, so that an operator can change the
outcome by changing one of them.
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

    ``vm_hours_away`` is the total capacity that is unavailable, and
    ``rests_on`` names the settings that determine ``at_once`` and the times.
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
    """The progress of a wave and whether it will end in the promised time.

    ``late_reason`` is empty while the wave is expected to end in time.
    """

    maintained: int
    passed_over: int
    left: int
    away: int
    expected_hours_left: float
    promised_hours_left: float
    late_reason: str


def list_vms_by_rack(view: FleetView, pool: str) -> list[str]:
    """Return the VMs of a pool sorted by availability zone and rack.

    A fault caused by the maintenance itself then shows up in one failure domain
    first.
    """
    entries = [view.vms[vm_id] for vm_id in view.vms.list_pool_vms(pool)]
    entries.sort(key=lambda vm: (vm.zone, vm.rack, vm.vm_id))
    return [vm.vm_id for vm in entries]


def find_limits(
    view: FleetView, pool: str, vm_ids: list[str], at_once: int
) -> dict[str, int]:
    """Return each limit on unavailable VMs, keyed by its setting."""
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
    """Return the cost of a wave over a whole pool."""
    vm_ids = list_vms_by_rack(view, pool)
    limits = find_limits(view, pool, vm_ids, at_once)
    allowed = min(limits.values())
    tightest = tuple(path for path, limit in limits.items() if limit == allowed)
    seconds = view.find_pool_settings(pool).return_seconds
    hours = _estimate_hours(len(vm_ids), allowed, seconds)
    return WaveCost(
        pool=pool,
        vms=len(vm_ids),
        at_once=allowed,
        rollout_hours=hours,
        vm_hours_away=round_hours(len(vm_ids) * seconds),
        vm_moves=0,
        words=_summarize(pool, len(vm_ids), allowed, hours),
        rests_on=(*tightest, f'/pools/{pool} return_seconds'),
    )


def forecast_wave(
    view: FleetView, wave: WaveEntry, wall_time: float
) -> WaveForecast:
    """Return the progress of a wave.

    ``wall_time`` is the wall-clock time in seconds.
    """
    pending = list_pending(wave)
    elapsed = max(wall_time - wave.started_at, 0)
    promised = (wave.promised_seconds - elapsed) / SECONDS_PER_HOUR
    limits = find_limits(view, wave.pool, pending, wave.at_once)
    allowed = min(limits.values())
    seconds = _estimate_vm_seconds(view, wave, elapsed, allowed)
    hours = _estimate_hours(len(pending), allowed, seconds)
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
    allowed = min(limits.values())
    tightest = [path for path, limit in limits.items() if limit == allowed]
    return (
        f'{left} VMs are left, {allowed} may be away at once '
        f'({", ".join(tightest)}), and one takes {seconds:.0f} s'
    )


def _estimate_vm_seconds(
    view: FleetView, wave: WaveEntry, elapsed: float, allowed: int
) -> float:
    """Return the seconds that a VM is unavailable.

    They are measured if enough VMs of the wave have been maintained.
    """
    declared = view.find_pool_settings(wave.pool).return_seconds
    settled = len(wave.done) + len(wave.passed)
    if settled < allowed or not settled:
        return declared
    return elapsed * allowed / settled


def round_hours(seconds: float) -> float:
    """Return seconds as hours, rounded for display."""
    return round(seconds / SECONDS_PER_HOUR, HOUR_DIGITS)


def _estimate_hours(vms: int, allowed: int, seconds: float) -> float:
    if not vms:
        return 0
    if allowed < 1:
        return math.inf
    return round_hours(math.ceil(vms / allowed) * seconds)


def _summarize(pool: str, vms: int, allowed: int, hours: float) -> str:
    if allowed < 1:
        return (
            f'A wave over pool {pool} can not start: a budget or limit '
            f'allows no VM to be away.'
        )
    return (
        f'All {vms} VMs of pool {pool} are maintained in about {hours:.1f} '
        f'hours, at most {allowed} at a time. Until then the pool does without '
        f'{allowed} of its {vms} VMs. No VM changes its pool.'
    )
