"""Health of an endpoint, as measured by the requests of one process.

Latency is measured from successful answers only, and every failure raises the
cost of the endpoint, so an endpoint that fails fast doesn't look lightly
loaded.  An endpoint is ejected after consecutive failures or when its share of
failures is high.  After the ejection it gets one request at a time until one
succeeds, and then a growing part of its slots (slow start).
"""

import enum
from math import ceil

FAILURES_TO_EJECT = 3
SUCCESS_SHARE_TO_EJECT = 0.5
MIN_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 10.0
MIN_RAMP_SHARE = 0.1
MIN_SUCCESS_SHARE = 0.1
MIN_LATENCY_SECONDS = 0.001
LATENCY_VALID_SECONDS = 5.0
UNKNOWN_LATENCY_FACTOR = 0.5
MIN_BUSY_SECONDS = 0.02
MAX_BUSY_SECONDS = 1.0
SMOOTHING = 0.1


class Outcome(enum.Enum):
    """How an attempt at an endpoint ended."""

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
    """Active requests, latency, failures and slow start of an endpoint."""

    __slots__ = (
        '_ejections',
        '_failures',
        '_latency',
        '_measured_at',
        '_refusals',
        '_success_share',
        'active',
        'busy_until',
        'ejected_until',
        'probing',
        'ramp_started_at',
    )

    def __init__(self, ramp_started_at: float) -> None:
        """Start idle, with the slow start begun at ``ramp_started_at``."""
        self.active = 0
        self.ramp_started_at = ramp_started_at
        self.ejected_until = float('-inf')
        self.busy_until = float('-inf')
        self.probing = False
        self._latency = 0.0
        self._measured_at = float('-inf')
        self._success_share = 1.0
        self._failures = 0
        self._refusals = 0
        self._ejections = 0

    def count_allowed(self, slots: int, now: float) -> int:
        """Return how many requests this process may have at the endpoint."""
        if self.ejected_until > now:
            return 0
        if self.probing:
            return 1
        return ceil(slots * self._compute_ramp(now))

    def estimate_cost(
        self, slots: int, default_latency: float, now: float
    ) -> float:
        """Return the expected cost of one more request; lower is better.

        Without a recent answer the latency is assumed to be below
        ``default_latency`` (in seconds), so that an endpoint that was slow is
        tried again.
        """
        is_recent = now - self._measured_at < LATENCY_VALID_SECONDS
        latency = default_latency * UNKNOWN_LATENCY_FACTOR
        if is_recent:
            latency = self._latency
        load = (self.active + 1) / slots
        reliability = self._compute_ramp(now) * self._success_share**2
        return load * max(latency, MIN_LATENCY_SECONDS) / reliability

    def record_success(self, seconds: float, now: float) -> None:
        """Record a successful answer."""
        is_recent = now - self._measured_at < LATENCY_VALID_SECONDS
        weight = SMOOTHING if is_recent else 1
        self._latency += weight * (seconds - self._latency)
        self._measured_at = now
        self._success_share += SMOOTHING * (1 - self._success_share)
        self._failures = 0
        self._refusals = 0
        self.busy_until = float('-inf')
        if self.probing:
            self.probing = False
            self.ramp_started_at = now
            self._success_share = 1.0
            self._ejections = 0

    def record_failure(self) -> bool:
        """Record a failure; return whether the endpoint should be ejected."""
        success_share = self._success_share * (1 - SMOOTHING)
        self._success_share = max(MIN_SUCCESS_SHARE, success_share)
        self._failures += 1
        return (
            self.probing
            or self._failures >= FAILURES_TO_EJECT
            or self._success_share < SUCCESS_SHARE_TO_EJECT
        )

    def record_refusal(self, now: float) -> None:
        """Record a refusal for lack of a slot; mark the endpoint as busy."""
        seconds = min(MIN_BUSY_SECONDS * 2**self._refusals, MAX_BUSY_SECONDS)
        self._refusals = min(self._refusals + 1, 10)
        self.busy_until = now + seconds

    def eject(self, now: float) -> None:
        """Eject the endpoint; the time doubles up to a maximum."""
        seconds = MIN_EJECTION_SECONDS * 2**self._ejections
        self._ejections = min(self._ejections + 1, 10)
        self.ejected_until = now + min(seconds, MAX_EJECTION_SECONDS)
        self.probing = True
        self._failures = 0

    def _compute_ramp(self, now: float) -> float:
        ramp = (now - self.ramp_started_at) / SLOW_START_SECONDS
        return min(1.0, max(MIN_RAMP_SHARE, ramp))
