"""Settings of the scheduler."""

from dataclasses import dataclass

CLOCK_DRIFT_FACTOR = 1.021
"""Our seconds during one second of a worker's clock that is 2% slow."""

# Sums of seconds may exceed their exact value by the rounding of floats.
ROUNDING_SECONDS = 1e-6


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulingSettings:
    """Limits set by the platform, and the scheduler's own.

    Values without a default come from the platform's settings file.
    """

    max_lease_seconds: float
    maintenance_seconds: float
    # Lease of the attempts on a worker.  Longer than a member's TTL, a takeover
    # and a status check together, so that attempts outlive their owner; shorter
    # leases free the tasks of lost workers sooner.
    order_lease_seconds: float = 3.5
    # Bounds of the number of tasks that are placed and not started yet.  The
    # lower one keeps an owner busy whose orders take long.
    min_pending_starts: int = 16
    max_pending_starts: int = 2000
    # Start orders that are answered later than this were too many at once.
    start_target_seconds: float = 0.25
    # After this time a stop order without visible effect is repeated; well
    # above the interval of reports.
    stop_retry_seconds: float = 1.0
    # Backoff of a task after a worker refused its start.  The next report comes
    # sooner and shows why.
    refusal_backoff_seconds: float = 0.3
    # A call without an answer is executed within this time after it was given
    # up, or never.
    late_call_seconds: float = 12.0
    # Added to computed lease ends, for rounding and delays in the network.
    lease_margin_seconds: float = 0.3
    # The lease bound of a worker is stored after this much silence.  Lost
    # replies are not worth a write, after which leases can't be extended until
    # the next one.
    min_silence_seconds: float = 1.0
    # The same for a worker that has not answered since the takeover, which has
    # no lease from this owner.
    min_takeover_silence_seconds: float = 0.3
    # Minimum time between writes of lease bounds to one partition.
    bound_interval_seconds: float = 1.0
    # A stored bound is replaced once it has shrunk by this much.
    min_bound_gain_seconds: float = 0.2
    # An attempt without progress for this time is stalled, if it is expected to
    # take no more than eight times as long; reports come at least every second.
    stall_timeout_seconds: float = 2.5
    # Finished jobs can be queried for this time, which the platform requires;
    # then they are removed.
    status_retention_seconds: float = 120.0
    # Above this share of the target, tail latency slows scavengers down.
    pacing_high_share: float = 0.8
    # Below this share of the target, tail latency lets scavengers speed up.
    pacing_low_share: float = 0.5
    # Percentage points by which a scavenger speeds up per report.
    pacing_step_percent: int = 15
    # How long the stop of an attempt, and its resumption from a checkpoint, may
    # take, by the platform's settings file; None if that does not say so.
    stop_seconds: float | None = None
    resume_seconds: float | None = None
    # Placement looks ahead, and drained VMs wait for the next peak, only where
    # an interruption takes no longer, so that a wrong estimate costs little.
    max_interruption_seconds: float = 0.3
    # Elements of placement that looks ahead.  All are off, as none served
    # better than placement without them in docs/design/look-ahead.md.
    reserves_for_gangs: bool = False
    reserves_for_wide_steps: bool = False
    fits_by_end: bool = False

    @property
    def has_short_interruptions(self) -> bool:
        """Return whether the stop and the resumption of a task are short."""
        if self.stop_seconds is None or self.resume_seconds is None:
            return False
        interruption = self.stop_seconds + self.resume_seconds
        return interruption <= self.max_interruption_seconds + ROUNDING_SECONDS

    @property
    def may_look_ahead(self) -> bool:
        """Return whether an element is on and interruptions are short."""
        is_any_on = (
            self.reserves_for_gangs
            or self.reserves_for_wide_steps
            or self.fits_by_end
        )
        return is_any_on and self.has_short_interruptions

    def compute_longest_lease(self) -> float:
        """Return the seconds after which any lease granted now is over."""
        return self.max_lease_seconds * CLOCK_DRIFT_FACTOR
