"""Limits how often each team and operator may call the administration API.

Each has a bucket that holds what two seconds allow and fills up steadily.

>>> limiter = RateLimiter()
>>> limiter.take('nimal', rate=1, now=0), limiter.take('nimal', rate=1, now=0)
(None, None)
>>> limiter.take('nimal', rate=1, now=0)
1.0
"""

BURST_SECONDS = 2


class RateLimiter:
    """Owns one bucket for each name; a new one is full."""

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        """Start without any bucket."""
        self._buckets: dict[str, tuple[float, float]] = {}

    def take(self, name: str, *, rate: float, now: float) -> float | None:
        """Take one request; return the seconds to wait if there is no room.

        ``rate`` is in requests a second, ``now`` in monotonic seconds.
        """
        capacity = max(rate * BURST_SECONDS, 1)
        tokens, updated_at = self._buckets.get(name, (capacity, now))
        tokens = min(tokens + (now - updated_at) * rate, capacity)
        if tokens < 1:
            self._buckets[name] = (tokens, now)
            return (1 - tokens) / rate
        self._buckets[name] = (tokens - 1, now)
        return None
