"""Tables of the shared state with indexes for the planner's queries.

Each table is a mapping that updates its indexes on every change, so the cost of
a query does not depend on the size of the fleet.  ``take_changed`` returns the
names that were set since its last call, so that a planner examines only these.

>>> table = ChangeTable[int]()
>>> table['a'] = 1
>>> table.take_changed()
['a']
>>> table.take_changed()
[]
"""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from typing import Generic, TypeVar

from tarragonlb.model.entry import JobEntry, JobPhase, VmEntry
from tarragonlb.settings.schema import TeamSettings

Row = TypeVar('Row')


class Changes:
    """The names that have changed since they were last taken."""

    __slots__ = ('_names',)

    def __init__(self, names: Iterable[str] = ()) -> None:
        """Start with these names as changed."""
        self._names = dict.fromkeys(names)

    def add(self, name: str) -> None:
        """Mark a name as changed."""
        self._names[name] = None

    def take(self) -> list[str]:
        """Return the names that have changed since the last call."""
        names = list(self._names)
        self._names.clear()
        return names


class ChangeTable(Mapping[str, Row], Generic[Row]):
    """A mapping that records which names have changed.

    ``update`` also sets rows one by one, so that no change bypasses the
    indexes.
    """

    __slots__ = ('_changed', '_rows', '_subscribers')

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[str, Row] = {}
        self._changed = Changes()
        self._subscribers = [self._changed]

    def __getitem__(self, name: str) -> Row:
        """Return the row of a name."""
        return self._rows[name]

    def __setitem__(self, name: str, row: Row) -> None:
        """Set a row and update the indexes."""
        old = self._rows.get(name)
        self._rows[name] = row
        self._mark_changed(name)
        self._reindex(name, old, row)

    def update(self, rows: Mapping[str, Row]) -> None:
        """Set several rows."""
        for name, row in rows.items():
            self[name] = row

    def replace(self, rows: Mapping[str, Row]) -> None:
        """Replace all rows by these, in their order."""
        for name in list(self._rows):
            self.remove(name)
        self.update(rows)

    def remove(self, name: str) -> None:
        """Remove a row and update the indexes."""
        old = self._rows.pop(name)
        self._mark_changed(name)
        self._reindex(name, old, None)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names in insertion order."""
        return iter(self._rows)

    def __len__(self) -> int:
        """Return the number of rows."""
        return len(self._rows)

    def take_changed(self) -> list[str]:
        """Return the names that have changed since the last call."""
        return self._changed.take()

    def subscribe(self) -> Changes:
        """Return the changes for another reader, initially all names."""
        changes = Changes(self._rows)
        self._subscribers.append(changes)
        return changes

    def _mark_changed(self, name: str) -> None:
        for changes in self._subscribers:
            changes.add(name)

    def _reindex(self, name: str, old: Row | None, new: Row | None) -> None:
        """Update the indexes; a table without indexes has nothing to do."""


class VmTable(ChangeTable[VmEntry]):
    """VMs, indexed by pool and by charge."""

    __slots__ = ('_borrowed', '_charged', '_pools', '_racks')

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self._pools: dict[str, dict[str, None]] = {}
        self._charged: dict[str, dict[str, None]] = {}
        self._racks: dict[str, Counter[str]] = {}
        self._borrowed: dict[str, dict[str, None]] = {}

    def list_pools(self) -> list[str]:
        """Return the names of all pools that have VMs, sorted."""
        return sorted(self._pools)

    def list_pool_vms(self, pool: str) -> list[str]:
        """Return the VMs of a pool."""
        return list(self._pools.get(pool, ()))

    def list_charged(self, pool: str) -> list[str]:
        """Return the unavailable VMs of a pool."""
        return list(self._charged.get(pool, ()))

    def list_charged_pools(self) -> list[str]:
        """Return the pools that have unavailable VMs."""
        return list(self._charged)

    def count_pool_vms(self, pool: str) -> int:
        """Return the number of VMs of a pool."""
        return len(self._pools.get(pool, ()))

    def list_borrowed(self, pool: str) -> list[str]:
        """Return the VMs of a pool whose home is another pool."""
        return list(self._borrowed.get(pool, ()))

    def count_largest_rack(self, pool: str) -> int:
        """Return the size of the largest rack of a pool, in VMs."""
        return max(self._racks.get(pool, Counter()).values(), default=0)

    def count_charged(self, pool: str) -> int:
        """Return the number of unavailable VMs of a pool."""
        return len(self._charged.get(pool, ()))

    def _reindex(
        self, name: str, old: VmEntry | None, new: VmEntry | None
    ) -> None:
        if old:
            _discard(self._pools, old.pool, name)
            _discard(self._borrowed, old.pool, name)
            self._racks[old.pool][old.rack] -= 1
            _discard(self._charged, old.pool, name)
        if new:
            self._pools.setdefault(new.pool, {})[name] = None
            self._racks.setdefault(new.pool, Counter())[new.rack] += 1
        if new and new.home not in {'', new.pool}:
            self._borrowed.setdefault(new.pool, {})[name] = None
        if new and new.charge:
            self._charged.setdefault(new.pool, {})[name] = None


class JobTable(ChangeTable[JobEntry]):
    """Jobs; queued ones are indexed by pool and started ones by VM."""

    __slots__ = ('_cores', '_live', '_queued', '_started')

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self._cores: dict[str, int] = {}
        self._live = 0
        self._queued: dict[str, dict[str, None]] = {}
        self._started: dict[str, dict[str, None]] = {}

    def list_queued(self, pool: str) -> list[JobEntry]:
        """Return the queued jobs of a pool."""
        return [self._rows[name] for name in self._queued.get(pool, ())]

    def has_queued(self, pool: str) -> bool:
        """Return whether a pool has queued jobs."""
        return pool in self._queued

    def list_started(self, vm_id: str) -> list[JobEntry]:
        """Return the jobs with an attempt that may run on a VM."""
        return [self._rows[name] for name in self._started.get(vm_id, ())]

    def count_cores(self, team: str) -> int:
        """Return the cores of a team's attempts that may run."""
        return self._cores.get(team, 0)

    def count_started(self) -> int:
        """Return the number of attempts that may run."""
        return self._live

    def is_busy(self, vm_id: str) -> bool:
        """Return whether an attempt may run on a VM."""
        return vm_id in self._started

    def _reindex(
        self, name: str, old: JobEntry | None, new: JobEntry | None
    ) -> None:
        if old:
            _discard(self._queued, old.spec.pool, name)
            _discard(self._started, old.vm_id, name)
            self._count(old, -1)
        if new:
            self._count(new, 1)
        if new and new.phase is JobPhase.QUEUED:
            self._queued.setdefault(new.spec.pool, {})[name] = None
        if new and new.phase is JobPhase.STARTED:
            self._started.setdefault(new.vm_id, {})[name] = None

    def _count(self, job: JobEntry, sign: int) -> None:
        if job.phase is JobPhase.STARTED:
            self._live += sign
            cores = self._cores.get(job.spec.team, 0)
            self._cores[job.spec.team] = cores + sign * job.spec.cores


class TeamTable(ChangeTable[TeamSettings]):
    """Settings of teams, indexed by pool for the smallest budget."""

    __slots__ = ('_limits',)

    def __init__(self) -> None:
        """Start empty."""
        super().__init__()
        self._limits: dict[str, dict[str, int]] = {}

    def find_budget(self, pool: str) -> int | None:
        """Return the smallest budget that any team has on a pool.

        It is the number of VMs that may be unavailable at once, or None if no
        team has a budget on the pool.
        """
        return min(self._limits.get(pool, {}).values(), default=None)

    def _reindex(
        self, name: str, old: TeamSettings | None, new: TeamSettings | None
    ) -> None:
        for dropped in old.budgets if old else ():
            self._limits.get(dropped.pool, {}).pop(name, None)
        for budget in new.budgets if new else ():
            limits = self._limits.setdefault(budget.pool, {})
            previous = limits.get(name, budget.max_unavailable)
            limits[name] = min(previous, budget.max_unavailable)


def _discard(index: dict[str, dict[str, None]], key: str, name: str) -> None:
    group = index.get(key)
    if group is None:
        return
    group.pop(name, None)
    if not group:
        index.pop(key)
