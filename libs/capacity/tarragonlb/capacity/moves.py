"""Moves of VMs between spare pools and pools with a shortage.

A pool has a shortage if it has fewer live VMs than its peak, its wave and, if
configured, the loss of its largest rack require.  A VM is moved in from a spare
pool only after a shortage of ``move_after_seconds``, and returns to its home
pool only after a surplus of ``return_after_seconds``.  Nothing moves in
between, so bursts don't move VMs back and forth.
"""

from tarragonlb.capacity.action import Action, Commit
from tarragonlb.capacity.maintenance import count_wave_headroom
from tarragonlb.capacity.poolplan import count_rack_reserve, count_surplus
from tarragonlb.capacity.view import FleetView, RoundContext, is_usable
from tarragonlb.model.entry import VmEntry
from tarragonlb.model.ownership import ChargeReason, VmCharged
from tarragonlb.model.wave import WaveStatus


class MoveClock:
    """Measures how long pools have had a shortage or a surplus of VMs."""

    __slots__ = ('_short_since', '_surplus_since')

    def __init__(self) -> None:
        """Start without pools."""
        self._short_since: dict[str, float] = {}
        self._surplus_since: dict[str, float] = {}

    def update(self, pool: str, surplus: int, now: float) -> None:
        """Set the current surplus of a pool; it is negative for a shortage."""
        if surplus >= 0:
            self._short_since.pop(pool, None)
        else:
            self._short_since.setdefault(pool, now)
        if surplus > 0:
            self._surplus_since.setdefault(pool, now)
        else:
            self._surplus_since.pop(pool, None)

    def measure_shortage(self, pool: str, now: float) -> float:
        """Return for how many seconds a pool has had a shortage."""
        return now - self._short_since.get(pool, now)

    def measure_surplus(self, pool: str, now: float) -> float:
        """Return for how many seconds a pool has had a surplus."""
        return now - self._surplus_since.get(pool, now)


def decide_moves(context: RoundContext, clock: MoveClock) -> list[Action]:
    """Return the charges that begin moves."""
    view = context.view
    pools = view.vms.list_pools()
    sources = [pool for pool in pools if view.find_pool_settings(pool).spare]
    if not sources:
        return []
    actions: list[Action] = []
    for pool in pools:
        if pool not in sources:
            actions.extend(_decide_pool(context, clock, pool, sources))
    return actions


def _decide_pool(
    context: RoundContext, clock: MoveClock, pool: str, sources: list[str]
) -> list[Action]:
    view = context.view
    surplus = _count_reserve(view, pool) + _count_incoming(view, pool, sources)
    clock.update(pool, surplus, context.now)
    fleet = view.fleet
    chosen: VmEntry | None = None
    target = pool
    if surplus < 0:
        if (
            clock.measure_shortage(pool, context.now)
            >= fleet.move_after_seconds
        ):
            chosen = _find_spare(view, sources)
    elif clock.measure_surplus(pool, context.now) >= fleet.return_after_seconds:
        chosen = _find_borrowed(view, pool)
        target = chosen.home if chosen else pool
    return [Commit(_make_charged(context, chosen, target))] if chosen else []


def _count_reserve(view: FleetView, pool: str) -> int:
    """Return the surplus of live VMs of a pool over all its needs."""
    for_waves = sum(
        count_wave_headroom(view, wave)
        for wave in view.waves.values()
        if wave.pool == pool and wave.status is WaveStatus.RUNNING
    )
    reserve = count_rack_reserve(view, pool) + for_waves
    return count_surplus(view, pool) - reserve


def _count_incoming(view: FleetView, pool: str, sources: list[str]) -> int:
    """Return the number of VMs that are being moved into a pool."""
    charges = [
        view.vms[vm_id].charge
        for source in sources
        for vm_id in view.vms.list_charged(source)
    ]
    return sum(1 for charge in charges if charge and charge.target == pool)


def _find_spare(view: FleetView, sources: list[str]) -> VmEntry | None:
    for source in sources:
        budget = view.teams.find_budget(source)
        has_headroom = budget is None or view.vms.count_charged(source) < budget
        if has_headroom and _can_lend(view, source):
            return _find_usable(view, view.vms.list_pool_vms(source))
    return None


def _can_lend(view: FleetView, source: str) -> bool:
    """Return whether a spare pool can give up a VM.

    It keeps its last VM, and all VMs while its own jobs are queued.
    """
    live = view.vms.count_pool_vms(source) - view.vms.count_charged(source)
    if live <= 1 or view.jobs.has_queued(source):
        return False
    return count_surplus(view, source) > 0


def _find_borrowed(view: FleetView, pool: str) -> VmEntry | None:
    budget = view.teams.find_budget(pool)
    if budget is not None and view.vms.count_charged(pool) >= budget:
        return None
    return _find_usable(view, view.vms.list_borrowed(pool))


def _find_usable(view: FleetView, vm_ids: list[str]) -> VmEntry | None:
    """Return a VM that may be moved, preferably one without jobs."""
    usable = [vm_id for vm_id in vm_ids if is_usable(view, vm_id)]
    usable.sort(key=view.jobs.is_busy)
    return view.vms[usable[0]] if usable else None


def _make_charged(
    context: RoundContext, entry: VmEntry, target: str
) -> VmCharged:
    return VmCharged(
        head=context.make_head(),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        reason=ChargeReason.MOVE,
        boot=context.view.vm_readings[entry.vm_id].boot,
        term=context.view.term,
        reading=context.view.reading,
        target=target,
    )
