"""Estimates of job run times, corrected by measurements.

Declared run times are far off, but by a similar factor for jobs of one team and
kind.  The ratio of measured to declared seconds is kept for each team and kind,
with more weight on newer attempts.  It decides how early a job has to start,
never whether one has ended.

>>> estimates = RunTimeEstimates()
>>> estimates.record('team', 'kind', declared=10, measured=40)
>>> estimates.estimate('team', 'kind', declared=20)
80.0
"""

NEWEST_WEIGHT = 0.2
MIN_DECLARED_SECONDS = 1.0
MAX_KINDS = 4096


class RunTimeEstimates:
    """Ratios by team and kind; the least recently updated are dropped."""

    __slots__ = ('_ratios',)

    def __init__(self) -> None:
        """Start with the declared run times."""
        self._ratios: dict[tuple[str, str], float] = {}

    def record(
        self, team: str, kind: str, *, declared: float, measured: float
    ) -> None:
        """Record an attempt that succeeded; times are in seconds."""
        ratio = measured / max(declared, MIN_DECLARED_SECONDS)
        previous = self._ratios.pop((team, kind), ratio)
        self._ratios[team, kind] = previous + NEWEST_WEIGHT * (ratio - previous)
        if len(self._ratios) > MAX_KINDS:
            self._ratios.pop(next(iter(self._ratios)))

    def estimate(self, team: str, kind: str, *, declared: float) -> float:
        """Return the expected run time of an attempt in seconds."""
        ratio = self._ratios.get((team, kind), 1.0)
        return max(declared, MIN_DECLARED_SECONDS) * ratio
