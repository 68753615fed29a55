"""Measures how much work of a pool ends in a second.

The work of a task is its estimate times its cores, so that the rate can be
compared with the capacity of the workers.
"""

from collections import deque
from collections.abc import Iterable, Mapping

# The rate of work is averaged over the time of one or two short tasks.
RATE_WINDOW_SECONDS = 2.0


class WorkMeter:
    """Measures how much work of a pool ends in a second."""

    __slots__ = ('_ended', '_left', '_started_at')

    def __init__(self, now: float) -> None:
        """Start to measure at ``now`` seconds."""
        self._started_at = now
        self._left: Mapping[str, float] = {}
        self._ended: deque[tuple[float, float]] = deque()

    def update(
        self, left: Mapping[str, float], completed: Iterable[str], now: float
    ) -> float:
        """Return the rate, given the work left of open jobs and those done."""
        done = sum(self._left.get(job_id, 0) for job_id in completed)
        done += sum(
            max(self._left.get(job_id, 0) - work, 0)
            for job_id, work in left.items()
        )
        self._left = left
        self._ended.append((now, done))
        while self._ended[0][0] <= now - RATE_WINDOW_SECONDS:
            self._ended.popleft()
        span = min(now - self._started_at, RATE_WINDOW_SECONDS)
        return sum(work for _, work in self._ended) / span if span else 0
