"""What one process knows of an endpoint from its own requests.

Latency is learned from successful answers alone, and every failure raises the
cost of the endpoint, so that one that fails fast never looks like one with
little load.  An endpoint is ejected after failures in a row or a high share of
failures.  When the ejection ends it gets one request at a time until one
succeeds, and then a rising part of its slots.
"""

import enum
from math import ceil

FAILURES_TO_EJECT = 3
SUCCESS_SHARE_TO_EJECT = 0.5
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 10.0
MIN_RAMP = 0.1
MIN_SUCCESS_SHARE = 0.1
MIN_LATENCY_SECONDS = 0.001
LATENCY_MEMORY_SECONDS = 5.0
UNKNOWN_LATENCY_SHARE = 0.5
MIN_BUSY_SECONDS = 0.02
MAX_BUSY_SECONDS = 1.0
SMOOTHING = 0.1


class Outcome(enum.Enum):
    """Say how an attempt at an endpoint ended."""

    ANSWERED = 'answered'
    FAILED = 'answered with an error'
    BUSY = 'refused before it ran'
    NOT_SENT = 'never sent'
    BROKEN = 'ended without an answer'
    SILENT = 'ended as its old connection was silent'
    CUT = 'ended within the answer'
    TIMED_OUT = 'ended by the deadline'
    ABANDONED = 'ended by the caller'


FAILURES = frozenset(
    (
        Outcome.FAILED,
        Outcome.NOT_SENT,
        Outcome.BROKEN,
        Outcome.CUT,
        Outcome.TIMED_OUT,
    )
)


class EndpointHealth:
    """Requests in progress, latency, failures and trust of an endpoint."""

    __slots__ = (
        '_ejections',
        '_failures',
        '_latency',
        '_learned_at',
        '_refusals',
        '_success_share',
        'active',
        'busy_until',
        'ejected_until',
        'probing',
        'trusted_since',
    )

    def __init__(self, trusted_since: float) -> None:
        """Start idle."""
        self.active = 0
        self.trusted_since = trusted_since
        self.ejected_until = float('-inf')
        self.busy_until = float('-inf')
        self.probing = False
        self._latency = 0.0
        self._learned_at = float('-inf')
        self._success_share = 1.0
        self._failures = 0
        self._refusals = 0
        self._ejections = 0

    def count_allowed(self, slots: int, now: float) -> int:
        """Return how many requests the endpoint may have from here."""
        if self.ejected_until > now:
            return 0
        if self.probing:
            return 1
        return ceil(slots * self._find_ramp(now))

    def rate_cost(self, slots: int, typical: float, now: float) -> float:
        """Return the expected cost of one more request; lower is better.

        An endpoint that has not answered lately is taken to be faster than is
        ``typical``, in seconds, so that one that was slow is tried again.
        """
        is_known = now - self._learned_at < LATENCY_MEMORY_SECONDS
        latency = typical * UNKNOWN_LATENCY_SHARE
        if is_known:
            latency = self._latency
        load = (self.active + 1) / slots
        trust = self._find_ramp(now) * self._success_share**2
        return load * max(latency, MIN_LATENCY_SECONDS) / trust

    def succeed(self, seconds: float, now: float) -> None:
        """Count an answer."""
        is_known = now - self._learned_at < LATENCY_MEMORY_SECONDS
        weight = SMOOTHING if is_known else 1
        self._latency += weight * (seconds - self._latency)
        self._learned_at = now
        self._success_share += SMOOTHING * (1 - self._success_share)
        self._failures = 0
        self._refusals = 0
        self.busy_until = float('-inf')
        if self.probing:
            self.probing = False
            self.trusted_since = now
            self._success_share = 1.0
            self._ejections = 0

    def fail(self) -> bool:
        """Count a failure; return whether the endpoint should be ejected."""
        share = self._success_share * (1 - SMOOTHING)
        self._success_share = max(MIN_SUCCESS_SHARE, share)
        self._failures += 1
        return (
            self.probing
            or self._failures >= FAILURES_TO_EJECT
            or self._success_share < SUCCESS_SHARE_TO_EJECT
        )

    def refuse(self, now: float) -> None:
        """Count a refusal for want of a slot: stay away for a moment."""
        seconds = min(MIN_BUSY_SECONDS * 2**self._refusals, MAX_BUSY_SECONDS)
        self._refusals = min(self._refusals + 1, 10)
        self.busy_until = now + seconds

    def eject(self, now: float) -> None:
        """Give the endpoint nothing for a while, longer each time."""
        seconds = MIN_EJECTION_SECONDS * 2**self._ejections
        self._ejections = min(self._ejections + 1, 10)
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.probing = True
        self._failures = 0

    def _find_ramp(self, now: float) -> float:
        ramp = (now - self.trusted_since) / SLOW_START_SECONDS
        return min(1.0, max(MIN_RAMP, ramp))
