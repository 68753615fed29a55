"""Moves of VMs between spare pools and the pools that lack some.

A pool lacks VMs if fewer are live than its peak, its wave and, if asked, its
largest rack need.  A VM is moved in from a spare pool only after the pool has
lacked one for ``move_after_seconds``, and goes home only after the pool could
do without it for ``return_after_seconds``.  Between the two lies a pause in
which nothing moves, so that bursts don't send VMs back and forth.
"""

from tarragonlb.capacity.action import Action, Commit
from tarragonlb.capacity.maintenance import count_room
from tarragonlb.capacity.poolplan import count_rack_reserve, count_surplus
from tarragonlb.capacity.view import FleetView, Round, is_usable
from tarragonlb.model.entry import VmEntry
from tarragonlb.model.ownership import ChargeReason, VmCharged
from tarragonlb.model.wave import WaveStatus


class MoveClock:
    """Counts for how long pools have lacked VMs, or had one too many."""

    __slots__ = ('_lacking', '_spare')

    def __init__(self) -> None:
        """Start without any pool."""
        self._lacking: dict[str, float] = {}
        self._spare: dict[str, float] = {}

    def note(self, pool: str, surplus: int, now: float) -> None:
        """Take over a pool's surplus of now; negative if it lacks VMs."""
        if surplus >= 0:
            self._lacking.pop(pool, None)
        else:
            self._lacking.setdefault(pool, now)
        if surplus > 0:
            self._spare.setdefault(pool, now)
        else:
            self._spare.pop(pool, None)

    def measure_lack(self, pool: str, now: float) -> float:
        """Return for how many seconds a pool has lacked VMs."""
        return now - self._lacking.get(pool, now)

    def measure_surplus(self, pool: str, now: float) -> float:
        """Return for how many seconds a pool had VMs too many."""
        return now - self._spare.get(pool, now)


def decide_moves(turn: Round, clock: MoveClock) -> list[Action]:
    """Return the charges with which moves begin."""
    view = turn.view
    pools = view.vms.list_pools()
    sources = [pool for pool in pools if view.find_pool_settings(pool).spare]
    if not sources:
        return []
    actions: list[Action] = []
    for pool in pools:
        if pool not in sources:
            actions.extend(_decide_pool(turn, clock, pool, sources))
    return actions


def _decide_pool(
    turn: Round, clock: MoveClock, pool: str, sources: list[str]
) -> list[Action]:
    view = turn.view
    surplus = _count_reserve(view, pool) + _count_coming(view, pool, sources)
    clock.note(pool, surplus, turn.now)
    fleet = view.fleet
    chosen: VmEntry | None = None
    target = pool
    if surplus < 0:
        if clock.measure_lack(pool, turn.now) >= fleet.move_after_seconds:
            chosen = _find_spare(view, sources)
    elif clock.measure_surplus(pool, turn.now) >= fleet.return_after_seconds:
        chosen = _find_borrowed(view, pool)
        target = chosen.home if chosen else pool
    return [Commit(_charge(turn, chosen, target))] if chosen else []


def _count_reserve(view: FleetView, pool: str) -> int:
    """Return the live VMs of a pool beyond all that it needs."""
    for_waves = sum(
        count_room(view, wave)
        for wave in view.waves.values()
        if wave.pool == pool and wave.status is WaveStatus.RUNNING
    )
    reserve = count_rack_reserve(view, pool) + for_waves
    return count_surplus(view, pool) - reserve


def _count_coming(view: FleetView, pool: str, sources: list[str]) -> int:
    """Return the VMs on their way into a pool."""
    charges = [
        view.vms[vm_id].charge
        for source in sources
        for vm_id in view.vms.list_charged(source)
    ]
    return sum(1 for charge in charges if charge and charge.target == pool)


def _find_spare(view: FleetView, sources: list[str]) -> VmEntry | None:
    for source in sources:
        budget = view.teams.find_budget(source)
        room = budget is None or view.vms.count_charged(source) < budget
        if room and _may_lend(view, source):
            return _find_usable(view, view.vms.list_pool_vms(source))
    return None


def _may_lend(view: FleetView, source: str) -> bool:
    """Return whether a spare pool can do without a VM.

    It keeps its last one, and all while jobs of its own wait.
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
    """Return a VM that may leave, one without jobs if there is any."""
    usable = [vm_id for vm_id in vm_ids if is_usable(view, vm_id)]
    usable.sort(key=view.jobs.is_busy)
    return view.vms[usable[0]] if usable else None


def _charge(turn: Round, entry: VmEntry, target: str) -> VmCharged:
    return VmCharged(
        head=turn.sign(),
        vm_id=entry.vm_id,
        expected_version=entry.version,
        reason=ChargeReason.MOVE,
        boot=turn.view.vm_readings[entry.vm_id].boot,
        term=turn.view.term,
        reading=turn.view.reading,
        target=target,
    )
