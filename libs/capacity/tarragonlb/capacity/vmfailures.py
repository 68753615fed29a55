"""VMs that fail everything they start, found by comparison with the fleet.

A VM is suspected when its latest attempts all failed although the fleet
mostly succeeds with jobs of the same kinds.  A suspected VM gets one probe at
a time, with a pause after each failure, so it attracts no work by being idle.
One success ends the suspicion.

What is known here is a hint for placement.  It is lost with the planner and
learned again.
"""

from dataclasses import dataclass

SUSPECT_FAILURES = 3
FLEET_FAILURE_SHARE = 0.5
MEMORY_ATTEMPTS = 64
PROBE_PAUSE_SECONDS = 60.0


@dataclass(slots=True)
class Tally:
    """Attempts of one kind of job over the whole fleet, older ones fading."""

    failed: float = 0
    total: float = 0

    def note(self, *, failed: bool) -> None:
        """Count an attempt."""
        if self.total >= MEMORY_ATTEMPTS:
            self.failed /= 2
            self.total /= 2
        self.failed += failed
        self.total += 1


@dataclass(slots=True)
class Streak:
    """Failures of a VM in a row: how many, how expected, and until when."""

    failures: int = 0
    expected: float = 0
    quiet_until: float = 0


class WorkerBook:
    """Streaks of VMs and tallies of kinds."""

    __slots__ = ('_kinds', '_streaks')

    def __init__(self) -> None:
        """Start without any attempt."""
        self._kinds: dict[str, Tally] = {}
        self._streaks: dict[str, Streak] = {}

    def note(self, vm_id: str, kind: str, now: float, *, failed: bool) -> None:
        """Count an attempt of a kind of job that ended on a VM."""
        tally = self._kinds.setdefault(kind, Tally())
        if failed:
            streak = self._streaks.setdefault(vm_id, Streak())
            streak.failures += 1
            streak.expected += self._share_elsewhere(tally, streak)
            streak.quiet_until = now + PROBE_PAUSE_SECONDS
        else:
            self._streaks.pop(vm_id, None)
        tally.note(failed=failed)

    def is_suspected(self, vm_id: str) -> bool:
        """Return whether a VM failed too often in a row."""
        streak = self._streaks.get(vm_id)
        if streak is None or streak.failures < SUSPECT_FAILURES:
            return False
        return streak.expected / streak.failures < FLEET_FAILURE_SHARE

    def allows(self, vm_id: str, now: float, *, busy: bool) -> bool:
        """Return whether a VM may be given an attempt now."""
        if not self.is_suspected(vm_id):
            return True
        return not busy and now >= self._streaks[vm_id].quiet_until

    def has_suspects(self) -> bool:
        """Return whether any VM is suspected."""
        return any(map(self.is_suspected, self._streaks))

    def _share_elsewhere(self, tally: Tally, streak: Streak) -> float:
        """Return the share of attempts of a kind that fail on other VMs.

        Without any to compare with, the failure speaks against the job.
        """
        own = streak.failures - 1
        total = max(tally.total - own, 0)
        return max(tally.failed - own, 0) / total if total else 1
