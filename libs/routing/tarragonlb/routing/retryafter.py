"""When refused callers should come back.

Callers that are refused one after the other are told times as far apart as
the pool serves requests, so that they don't come back together and are refused
again.
"""

MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0


class ReturnPacing:
    """The time that the last refused caller of each class was told."""

    __slots__ = ('_return_at',)

    def __init__(self) -> None:
        """Start without any refusal."""
        self._return_at = {True: 0.0, False: 0.0}

    def suggest(
        self, now: float, *, urgent: bool, pace: float, earliest: float
    ) -> float:
        """Return after how many seconds a refused caller should come back.

        ``pace`` are the seconds between two requests that the pool serves, and
        ``earliest`` the seconds before which coming back is of no use.
        """
        first = now + max(MIN_RETRY_AFTER_SECONDS, earliest)
        latest = now + MAX_RETRY_AFTER_SECONDS
        paced = max(self._return_at[urgent] + pace, first)
        self._return_at[urgent] = min(paced, latest)
        return self._return_at[urgent] - now
