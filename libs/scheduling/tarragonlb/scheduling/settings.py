"""The settings of scheduling, handed over whole to whatever decides."""

from dataclasses import dataclass

CLOCK_DRIFT_FACTOR = 1.021
"""Seconds of ours in a second of a worker's clock that is 2% slow."""


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingSettings:
    """Limits that the platform states, and those of our own.

    Those without a default come from the platform's settings file.
    """

    max_lease_seconds: float
    maintenance_seconds: float
    # Longer than a member's TTL, a takeover and a look together, so that what
    # runs survives its owner; shorter leases free tasks of lost workers sooner.
    order_lease_seconds: float = 3.5
    # Repeats a stop order whose effect was not seen; well above one report.
    stop_retry_seconds: float = 1.0
    # Pause after a worker refused a start; reports come sooner than that and
    # show why.
    refusal_backoff_seconds: float = 0.3
    # On top of computed lease ends, for rounding and delays in links.
    lease_margin_seconds: float = 0.3
    # An attempt without progress for so long stands still; reports come at
    # least every second.
    stall_timeout_seconds: float = 2.5
    # Finished jobs are shown for the time the platform asks, then forgotten.
    status_retention_seconds: float = 120.0
    # Tails above this share of their target slow scavengers down.
    pacing_high_share: float = 0.8
    # Tails below this share of their target let scavengers speed up.
    pacing_low_share: float = 0.5
    # Percentage points by which a scavenger speeds up at a time.
    pacing_step_percent: int = 15

    def compute_longest_lease(self) -> float:
        """Return after how many seconds any lease granted now is over."""
        return self.max_lease_seconds * CLOCK_DRIFT_FACTOR
