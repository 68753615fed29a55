"""How long an answer of the store is waited for.

A lost answer should cost little, so the time-out is short.  A store that is
slow answers each call late; a short time-out would then send everything twice
and make it slower still.  So the time-out doubles with each silence and comes
back with the first answer, as the retransmission time-out of TCP does.

>>> timeout = AdaptiveTimeout()
>>> timeout.record_timeout()
>>> timeout.seconds
1.6
"""

# The store answers in some ms; this is that, slowed by a factor of 60, and the
# calls that wait before it.
MIN_TIMEOUT_SECONDS = 0.8
# Clients have deadlines of about 3 s, and have to hear from us before.
MAX_TIMEOUT_SECONDS = 2.0
# An answer that took this share of the time-out was close to be lost.
SAFETY_FACTOR = 4


class AdaptiveTimeout:
    """Adapts one time-out to the answers of one store."""

    __slots__ = ('seconds',)

    def __init__(self) -> None:
        """Begin with the shortest time-out."""
        self.seconds = MIN_TIMEOUT_SECONDS

    def record_answer(self, elapsed: float) -> None:
        """Note an answer that took so many seconds."""
        self.seconds = _clamp(elapsed * SAFETY_FACTOR)

    def record_timeout(self) -> None:
        """Note that a call got no answer in time."""
        self.seconds = _clamp(self.seconds * 2)


def _clamp(seconds: float) -> float:
    return min(max(seconds, MIN_TIMEOUT_SECONDS), MAX_TIMEOUT_SECONDS)
