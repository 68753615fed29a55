"""Run times of jobs, corrected from what was seen.

Declared run times are far off, but alike for jobs of one team and kind.  The
ratio of seen to declared seconds is kept for each, newer attempts counting
more.  It decides how early a job has to start, never whether one has ended.

>>> book = RunTimeBook()
>>> book.note('team', 'kind', declared=10, seen=40)
>>> book.estimate('team', 'kind', declared=20)
80.0
"""

NEWEST_WEIGHT = 0.2
MIN_DECLARED_SECONDS = 1.0
MAX_KINDS = 4096


class RunTimeBook:
    """Ratios by team and kind; the longest unused ones are dropped."""

    __slots__ = ('_ratios',)

    def __init__(self) -> None:
        """Start by believing what is declared."""
        self._ratios: dict[tuple[str, str], float] = {}

    def note(
        self, team: str, kind: str, *, declared: float, seen: float
    ) -> None:
        """Learn from an attempt that succeeded; times are in seconds."""
        ratio = seen / max(declared, MIN_DECLARED_SECONDS)
        known = self._ratios.pop((team, kind), ratio)
        self._ratios[team, kind] = known + NEWEST_WEIGHT * (ratio - known)
        if len(self._ratios) > MAX_KINDS:
            self._ratios.pop(next(iter(self._ratios)))

    def estimate(self, team: str, kind: str, *, declared: float) -> float:
        """Return for how many seconds an attempt is expected to run."""
        ratio = self._ratios.get((team, kind), 1.0)
        return max(declared, MIN_DECLARED_SECONDS) * ratio
