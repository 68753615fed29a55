"""A timeout for calls to the store that adapts to its response times.

The timeout is short, so that a lost response costs little time.  But a slow
store answers every call late; a short timeout would then cause every call to
be sent twice and slow the store down further.  So the timeout doubles each
time it expires and is reset by the next response, as TCP's retransmission
timeout is.

>>> timeout = AdaptiveTimeout()
>>> timeout.record_timeout()
>>> timeout.seconds
1.6
"""

# The store responds within a few ms, but may be slower by a factor of 60; the
# rest is for calls queued ahead of this one.
MIN_TIMEOUT_SECONDS = 0.8
# Clients have deadlines of about 3 s and must get a response before that.
MAX_TIMEOUT_SECONDS = 2.0
# The timeout is this many times the last response time: a response that took a
# larger share of the timeout would have come close to being lost.
SAFETY_FACTOR = 4


class AdaptiveTimeout:
    """A timeout that follows the response times of one store."""

    __slots__ = ('seconds',)

    def __init__(self) -> None:
        """Start with the minimum timeout."""
        self.seconds = MIN_TIMEOUT_SECONDS

    def record_response(self, elapsed: float) -> None:
        """Record a response that took ``elapsed`` seconds."""
        self.seconds = _clamp(elapsed * SAFETY_FACTOR)

    def record_timeout(self) -> None:
        """Record that a call timed out."""
        self.seconds = _clamp(self.seconds * 2)


def _clamp(seconds: float) -> float:
    return min(max(seconds, MIN_TIMEOUT_SECONDS), MAX_TIMEOUT_SECONDS)
