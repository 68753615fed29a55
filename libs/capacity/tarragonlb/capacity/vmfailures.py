"""Detection of VMs that fail every job, by comparison with the fleet.

A VM is suspected if its latest attempts all failed although most attempts of
the same kinds of job succeed in the fleet.  A suspected VM gets one probe at a
time, with a pause after each failure, so that it does not attract jobs by being
idle.  One success ends the suspicion.

The result is only a hint for placement.  It is lost with the planner and
measured again.
"""

from dataclasses import dataclass

SUSPECT_FAILURES = 3
FLEET_FAILURE_SHARE = 0.5
MEMORY_ATTEMPTS = 64
PROBE_PAUSE_SECONDS = 60.0


@dataclass(slots=True)
class KindTally:
    """Attempts of one kind of job in the fleet, with decay of older ones."""

    failed: float = 0
    total: float = 0

    def record(self, *, failed: bool) -> None:
        """Record an attempt."""
        if self.total >= MEMORY_ATTEMPTS:
            self.failed /= 2
            self.total /= 2
        self.failed += failed
        self.total += 1


@dataclass(slots=True)
class FailureStreak:
    """Consecutive failures of a VM, how many were expected, and its pause."""

    failures: int = 0
    expected: float = 0
    paused_until: float = 0


class VmFailures:
    """Failure streaks by VM and tallies by kind of job."""

    __slots__ = ('_kinds', '_streaks')

    def __init__(self) -> None:
        """Start without attempts."""
        self._kinds: dict[str, KindTally] = {}
        self._streaks: dict[str, FailureStreak] = {}

    def record(
        self, vm_id: str, kind: str, now: float, *, failed: bool
    ) -> None:
        """Record an attempt of a kind of job that ended on a VM."""
        tally = self._kinds.setdefault(kind, KindTally())
        if failed:
            streak = self._streaks.setdefault(vm_id, FailureStreak())
            streak.failures += 1
            streak.expected += self._compute_share_elsewhere(tally, streak)
            streak.paused_until = now + PROBE_PAUSE_SECONDS
        else:
            self._streaks.pop(vm_id, None)
        tally.record(failed=failed)

    def is_suspected(self, vm_id: str) -> bool:
        """Return whether a VM had too many consecutive failures."""
        streak = self._streaks.get(vm_id)
        if streak is None or streak.failures < SUSPECT_FAILURES:
            return False
        return streak.expected / streak.failures < FLEET_FAILURE_SHARE

    def can_start(self, vm_id: str, now: float, *, busy: bool) -> bool:
        """Return whether a VM may be given an attempt now."""
        if not self.is_suspected(vm_id):
            return True
        return not busy and now >= self._streaks[vm_id].paused_until

    def has_suspects(self) -> bool:
        """Return whether any VM is suspected."""
        return any(map(self.is_suspected, self._streaks))

    def _compute_share_elsewhere(
        self, tally: KindTally, streak: FailureStreak
    ) -> float:
        """Return the share of attempts of a kind that fail on other VMs.

        It is 1 without other attempts, so that the failure is attributed to the
        job.
        """
        own_failures = streak.failures - 1
        total = max(tally.total - own_failures, 0)
        return max(tally.failed - own_failures, 0) / total if total else 1
