"""The progress of an attempt, as its worker reports it.

>>> progress = AttemptProgress()
>>> for percent, at in ((0, 1.0), (0, 2.0), (1, 3.0), (1, 4.5)):
...     progress.update(percent, now=at, requested_at=at)
>>> progress.still_seconds
1.5
>>> progress.measure_pace()
200.0
"""

FULL_PERCENT = 100


class AttemptProgress:
    """The progress of one attempt; times are seconds on the monotonic clock.

    ``percent`` is the progress, or the readiness of a permanent task.
    ``changed_at`` is when a report last showed other progress than the one
    before, or else when the attempt began.  ``first_listed_at`` is when a
    report to this owner first listed the attempt, ``listed_at`` when the last
    such report was requested.
    """

    __slots__ = (
        '_first_percent',
        '_highest_at',
        '_highest_percent',
        '_measured_from',
        'changed_at',
        'first_listed_at',
        'listed_at',
        'percent',
    )

    def __init__(self, now: float = 0.0) -> None:
        """Start with an attempt that was placed, or found, at ``now``."""
        self.percent = 0.0
        self.changed_at = now
        self.listed_at = now
        self.first_listed_at: float | None = None
        self._highest_percent = 0.0
        self._highest_at = now
        self._first_percent = 0.0
        self._measured_from: float | None = None

    def update(self, percent: float, now: float, requested_at: float) -> None:
        """Apply a report that lists the attempt."""
        is_first = self.first_listed_at is None
        self.listed_at = requested_at
        if is_first:
            self.first_listed_at = now
            self.changed_at = now
        is_changed = percent != self.percent
        if is_changed:
            self.percent = percent
            self.changed_at = now
        # Readiness may fall, long after it was complete.
        if percent > self._highest_percent:
            self._highest_percent = percent
            self._highest_at = now
        # A percentage that is listed first may have been reached long before.
        is_exact = not percent if is_first else is_changed
        if is_exact and self._measured_from is None:
            self._measured_from = now
            self._first_percent = percent

    def note_checkpoint(self, now: float) -> None:
        """Take note of a new checkpoint, which is progress too."""
        self.changed_at = now

    def excuse(self, until: float) -> None:
        """Let the time until ``until`` not count as time without progress."""
        self.changed_at = until

    @property
    def still_seconds(self) -> float:
        """Return for how long reports have shown the same progress.

        Time in which no report was requested does not count.
        """
        return max(self.listed_at - self.changed_at, 0)

    @property
    def has_changed(self) -> bool:
        """Return whether this owner has seen the attempt go on."""
        if self.first_listed_at is None:
            return False
        return self.changed_at > self.first_listed_at

    def measure_pace(self) -> float | None:
        """Return the seconds in which 100 percent are done, None if unknown.

        They are measured between two changes, or from the beginning.
        """
        if self._measured_from is None:
            return None
        gain = self._highest_percent - self._first_percent
        if gain <= 0:
            return None
        return (self._highest_at - self._measured_from) * FULL_PERCENT / gain
