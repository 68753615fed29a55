"""What the platform stand-in saw of acts that break a promise.

A VM counts as away from the moment of a planned act, and after a failure once
its absence could be read in the list for ``NOTICE_SECONDS``.
"""

import time
from dataclasses import dataclass

NOTICE_SECONDS = 3


@dataclass(frozen=True, slots=True)
class DrainNote:
    """A drain that took effect, and when on the monotonic clock."""

    vm_id: str
    address: str
    boot: int
    at: float


@dataclass(frozen=True, slots=True)
class Report:
    """All that was seen: ``most_away`` is per pool, at planned acts."""

    violations: tuple[str, ...]
    most_away: dict[str, int]
    drains: tuple[DrainNote, ...]
    reboots: dict[str, int]
    tasks: tuple[str, ...]


class Referee:
    """Collects acts that break a promise."""

    __slots__ = ('_away', '_drains', '_most_away', '_tasks', '_violations')

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._away: dict[str, float] = {}
        self._drains: list[DrainNote] = []
        self._most_away: dict[str, int] = {}
        self._tasks: list[str] = []
        self._violations: list[str] = []

    def make_report(self, boots: dict[str, int]) -> Report:
        """Return all that was seen; ``boots`` holds each VM's boot count."""
        return Report(
            violations=tuple(self._violations),
            most_away=dict(self._most_away),
            drains=tuple(self._drains),
            reboots={vm_id: boot - 1 for vm_id, boot in boots.items()},
            tasks=tuple(self._tasks),
        )

    def note_drain(
        self, pool: str, members: frozenset[str], drain: DrainNote
    ) -> None:
        """Note that one of the members of a pool is drained."""
        self._away[drain.vm_id] = float('-inf')
        self._drains.append(drain)
        seen_by = time.monotonic() - NOTICE_SECONDS
        away = sum(
            1 for vm_id in members if self._away.get(vm_id, seen_by) < seen_by
        )
        self._most_away[pool] = max(away, self._most_away.get(pool, 0))

    def note_failure(self, vm_id: str) -> None:
        """Note that a VM has failed."""
        self._away.setdefault(vm_id, time.monotonic())

    def note_live(self, vm_id: str) -> None:
        """Note that a VM is back."""
        self._away.pop(vm_id, None)

    def note_reboot(self, vm_id: str, requests: int, busy: bool) -> None:
        """Note a reboot, with what it cut."""
        if requests:
            self._violations.append(f'{vm_id}: reboot cut {requests} requests')
        if busy:
            self._violations.append(f'{vm_id}: reboot cut a task')

    def note_task(self, task_id: str, running: frozenset[str]) -> None:
        """Note a task that begins, beside those that run."""
        self._tasks.append(task_id)
        job_id = task_id.partition('.')[0]
        twins = [one for one in running if one.partition('.')[0] == job_id]
        if twins:
            self._violations.append(f'{job_id}: two live attempts')
