"""What the platform stand-in saw of acts that break a promise.

A VM counts as unavailable from the moment of a planned act, and after a failure once
its absence could be read in the list for ``FAILURE_GRACE_SECONDS``.
"""

import time
from dataclasses import dataclass

FAILURE_GRACE_SECONDS = 3


@dataclass(frozen=True, slots=True)
class ActionRecord:
    """An act on a VM that took effect, and when on the monotonic clock."""

    vm_id: str
    at: float


@dataclass(frozen=True, slots=True)
class PlatformReport:
    """All that was seen: ``most_away`` is per pool, at planned acts."""

    violations: tuple[str, ...]
    most_away: dict[str, int]
    drains: tuple[ActionRecord, ...]
    reboots: tuple[ActionRecord, ...]
    tasks: tuple[str, ...]


class ViolationRecorder:
    """Collects acts that break a promise."""

    __slots__ = (
        '_unavailable',
        '_drains',
        '_most_away',
        '_reboots',
        '_tasks',
        '_violations',
    )

    def __init__(self) -> None:
        """Start with nothing seen."""
        self._unavailable: dict[str, float] = {}
        self._drains: list[ActionRecord] = []
        self._reboots: list[ActionRecord] = []
        self._most_away: dict[str, int] = {}
        self._tasks: list[str] = []
        self._violations: list[str] = []

    def make_report(self) -> PlatformReport:
        """Return all that was seen."""
        return PlatformReport(
            violations=tuple(self._violations),
            most_away=dict(self._most_away),
            drains=tuple(self._drains),
            reboots=tuple(self._reboots),
            tasks=tuple(self._tasks),
        )

    def record_drain(
        self, pool: str, members: frozenset[str], vm_id: str
    ) -> None:
        """Note that one of the members of a pool is drained."""
        self._unavailable[vm_id] = float('-inf')
        self._drains.append(ActionRecord(vm_id, time.monotonic()))
        failed_before = time.monotonic() - FAILURE_GRACE_SECONDS
        unavailable = sum(
            1
            for vm_id in members
            if self._unavailable.get(vm_id, failed_before) < failed_before
        )
        self._most_away[pool] = max(unavailable, self._most_away.get(pool, 0))

    def record_failure(self, vm_id: str) -> None:
        """Note that a VM has failed."""
        self._unavailable.setdefault(vm_id, time.monotonic())

    def record_live(self, vm_id: str) -> None:
        """Note that a VM is back."""
        self._unavailable.pop(vm_id, None)

    def record_reboot(self, vm_id: str, requests: int, busy: bool) -> None:
        """Note a reboot, with what it cut."""
        self._reboots.append(ActionRecord(vm_id, time.monotonic()))
        if requests:
            self._violations.append(f'{vm_id}: reboot cut {requests} requests')
        if busy:
            self._violations.append(f'{vm_id}: reboot cut a task')

    def record_task(self, task_id: str, running: frozenset[str]) -> None:
        """Note a task that begins, beside those that run."""
        self._tasks.append(task_id)
        job_id = task_id.partition('.')[0]
        duplicates = [one for one in running if one.partition('.')[0] == job_id]
        if duplicates:
            self._violations.append(f'{job_id}: two live attempts')
