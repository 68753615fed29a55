"""Records actions that break a promise, as the platform stand-in sees them.

A VM counts as unavailable from the start of a planned action.  After a failure
it counts once the failure has been visible in the list for
``FAILURE_GRACE_SECONDS``.
"""

import time
from dataclasses import dataclass

FAILURE_GRACE_SECONDS = 3


@dataclass(frozen=True, slots=True)
class ActionRecord:
    """An action that took effect on a VM; ``at`` is monotonic time."""

    vm_id: str
    at: float


@dataclass(frozen=True, slots=True)
class PlatformReport:
    """Violations and actions since the start of the stand-in.

    ``most_away`` is the highest number of unavailable VMs per pool, counted
    at the start of each drain.
    """

    violations: tuple[str, ...]
    most_away: dict[str, int]
    drains: tuple[ActionRecord, ...]
    reboots: tuple[ActionRecord, ...]
    tasks: tuple[str, ...]


class ViolationRecorder:
    """Records actions and detects those that break a promise."""

    __slots__ = (
        '_drains',
        '_most_away',
        '_reboots',
        '_tasks',
        '_unavailable',
        '_violations',
    )

    def __init__(self) -> None:
        """Start without records."""
        self._unavailable: dict[str, float] = {}
        self._drains: list[ActionRecord] = []
        self._reboots: list[ActionRecord] = []
        self._most_away: dict[str, int] = {}
        self._tasks: list[str] = []
        self._violations: list[str] = []

    def make_report(self) -> PlatformReport:
        """Return everything recorded so far."""
        return PlatformReport(
            violations=tuple(self._violations),
            most_away=dict(self._most_away),
            drains=tuple(self._drains),
            reboots=tuple(self._reboots),
            tasks=tuple(self._tasks),
        )

    def record_drain(
        self, pool: str, pool_vms: frozenset[str], vm_id: str
    ) -> None:
        """Record a drain and count the unavailable VMs of its pool."""
        self._unavailable[vm_id] = float('-inf')
        self._drains.append(ActionRecord(vm_id, time.monotonic()))
        failed_before = time.monotonic() - FAILURE_GRACE_SECONDS
        unavailable = sum(
            1
            for vm_id in pool_vms
            if self._unavailable.get(vm_id, failed_before) < failed_before
        )
        self._most_away[pool] = max(unavailable, self._most_away.get(pool, 0))

    def record_failure(self, vm_id: str) -> None:
        """Record the failure of a VM, unless it is unavailable already."""
        self._unavailable.setdefault(vm_id, time.monotonic())

    def record_live(self, vm_id: str) -> None:
        """Record that a VM is live again."""
        self._unavailable.pop(vm_id, None)

    def record_reboot(self, vm_id: str, requests: int, has_task: bool) -> None:
        """Record a reboot and what it interrupted."""
        self._reboots.append(ActionRecord(vm_id, time.monotonic()))
        if requests:
            self._violations.append(
                f'{vm_id}: reboot interrupted {requests} requests'
            )
        if has_task:
            self._violations.append(f'{vm_id}: reboot interrupted a task')

    def record_task(self, task_id: str, running: frozenset[str]) -> None:
        """Record a task that starts while the tasks of ``running`` run."""
        self._tasks.append(task_id)
        job_id = task_id.partition('.')[0]
        duplicates = [
            other for other in running if other.partition('.')[0] == job_id
        ]
        if duplicates:
            self._violations.append(f'{job_id}: two attempts run at once')
