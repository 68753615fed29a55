"""Retry times for refused callers.

Consecutive refused callers get retry times that are as far apart as the pool
serves requests, so that they don't retry together and are refused again.
"""

MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


class RetryAfterPacing:
    """The retry time given to the last refused caller of each class."""

    __slots__ = ('_retry_at',)

    def __init__(self) -> None:
        """Start without refusals."""
        self._retry_at = {True: 0.0, False: 0.0}

    def suggest(
        self, now: float, *, urgent: bool, interval: float, earliest: float
    ) -> float:
        """Return the seconds after which a refused caller should retry.

        ``interval`` is the mean time in seconds between two requests that the
        pool serves.  A retry sooner than ``earliest`` seconds is of no
        use.
        """
        first = now + max(MIN_RETRY_AFTER_SECONDS, earliest)
        latest = now + MAX_RETRY_AFTER_SECONDS
        paced = max(self._retry_at[urgent] + interval, first)
        self._retry_at[urgent] = min(paced, latest)
        return self._retry_at[urgent] - now
