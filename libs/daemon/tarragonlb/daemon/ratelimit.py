"""Token bucket rate limiter for calls of the administration API.

Each team and operator has a bucket.  It holds the requests that two seconds
allow and refills at a constant rate.

>>> limiter = RateLimiter()
>>> limiter.take('nimal', rate=1, now=0), limiter.take('nimal', rate=1, now=0)
(None, None)
>>> limiter.take('nimal', rate=1, now=0)
1.0
"""

BURST_SECONDS = 2


class RateLimiter:
    """Token buckets by name; a new bucket is full."""

    __slots__ = ('_buckets',)

    def __init__(self) -> None:
        """Create a rate limiter without buckets."""
        self._buckets: dict[str, tuple[float, float]] = {}

    def take(self, name: str, *, rate: float, now: float) -> float | None:
        """Take one token, or return the seconds until one is available.

        ``rate`` is in requests per second, ``now`` in monotonic seconds.
        """
        capacity = max(rate * BURST_SECONDS, 1)
        tokens, updated_at = self._buckets.get(name, (capacity, now))
        tokens = min(tokens + (now - updated_at) * rate, capacity)
        if tokens < 1:
            self._buckets[name] = (tokens, now)
            return (1 - tokens) / rate
        self._buckets[name] = (tokens - 1, now)
        return None
