"""Computes error budgets and burn rates of service-level objectives.

The error budget is the share of requests that may miss an objective.  A burn
rate of 1 uses up the budget in exactly the window of the objective, a rate of
10 in a tenth of it.  A short and a long span are checked together: the long
one shows that the burn is significant, the short one that it is still going on.

>>> forecast_days(left=0.5, rate=7, window_days=28)
2.0
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tarragonlb.model.burn import MINUTES_PER_DAY, BurnBucket, BurnEntry

FAST_BURN_RATE = 14.4
SLOW_BURN_RATE = 6.0
AT_RISK_DAYS = 3
FIVE_MINUTES = 5
MINUTES_PER_HOUR = 60
SIX_HOURS_MINUTES = 6 * MINUTES_PER_HOUR
THREE_DAYS_MINUTES = 3 * MINUTES_PER_DAY


class PromiseStatus(enum.StrEnum):
    """Status of an objective."""

    UNUSED = 'no request'
    KEPT = 'kept'
    AT_RISK = 'at risk'
    BROKEN = 'broken'


@dataclass(frozen=True, slots=True)
class BurnRates:
    """Burn rates over the latest spans of time."""

    five_minutes: float
    one_hour: float
    six_hours: float
    three_days: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """Error budget of one objective, and how much of it is left.

    ``promised`` is the share of requests that must meet the objective, and
    ``seen`` the share that did.  ``left`` is the share of the error budget
    that is left, negative once it is exceeded.  ``days_left`` is the forecast
    at the rate of the last three days, None while the budget is not shrinking.
    """

    promised: float
    seen: float | None
    left: float
    rates: BurnRates
    days_left: float | None
    status: PromiseStatus


@dataclass(frozen=True, slots=True)
class FailureCount:
    """Number of requests that missed an objective, and of all requests."""

    failed: int
    total: int

    @property
    def share(self) -> float:
        """Return the share that failed, or 0 if there were no requests."""
        return self.failed / self.total if self.total else 0


@dataclass(frozen=True, slots=True)
class Objective:
    """Share of requests that must succeed, and the function that counts."""

    share: float
    window_days: int
    count: Callable[[Iterable[BurnBucket]], FailureCount]

    def compute_burn_rate(self, buckets: Iterable[BurnBucket]) -> float:
        """Return the burn rate over the given buckets."""
        return self.count(buckets).share / (1 - self.share)


def evaluate_objective(
    entry: BurnEntry, objective: Objective, now_minute: int
) -> Budget:
    """Return the budget of one objective; ``now_minute`` counts from 1970."""
    rates = BurnRates(
        *(
            objective.compute_burn_rate(
                select_recent(buckets, minutes, now_minute)
            )
            for buckets, minutes in (
                (entry.fine, FIVE_MINUTES),
                (entry.fine, MINUTES_PER_HOUR),
                (entry.hours, SIX_HOURS_MINUTES),
                (entry.days, THREE_DAYS_MINUTES),
            )
        )
    )
    window_minutes = objective.window_days * MINUTES_PER_DAY
    days = select_recent(entry.days, window_minutes, now_minute)
    failures = objective.count(days)
    left = 1 - objective.compute_burn_rate(days)
    days_left = forecast_days(left, rates.three_days, objective.window_days)
    return Budget(
        promised=objective.share,
        seen=1 - failures.share if failures.total else None,
        left=left,
        rates=rates,
        days_left=days_left,
        status=classify_budget(left, rates, days_left)
        if failures.total
        else PromiseStatus.UNUSED,
    )


def forecast_days(left: float, rate: float, window_days: int) -> float | None:
    """Return the days until the error budget is used up at a burn rate.

    Return 0 if nothing is left, and None if the budget is not being used up.
    """
    if left <= 0:
        return 0
    return left * window_days / rate if rate > 0 else None


def classify_budget(
    left: float, rates: BurnRates, days_left: float | None
) -> PromiseStatus:
    """Return the status of an objective."""
    if left < 0:
        return PromiseStatus.BROKEN
    burns_fast = min(rates.five_minutes, rates.one_hour) >= FAST_BURN_RATE
    burns_slowly = min(rates.one_hour, rates.six_hours) >= SLOW_BURN_RATE
    ends_soon = days_left is not None and days_left < AT_RISK_DAYS
    if burns_fast or burns_slowly or ends_soon:
        return PromiseStatus.AT_RISK
    return PromiseStatus.KEPT


def count_bad(buckets: Iterable[BurnBucket]) -> FailureCount:
    """Count refused and failed requests among all requests."""
    counted = list(buckets)
    bad = sum(bucket.bad for bucket in counted)
    answered = sum(bucket.good + bucket.slow for bucket in counted)
    return FailureCount(bad, bad + answered)


def count_slow(buckets: Iterable[BurnBucket]) -> FailureCount:
    """Count late answers among all answers."""
    counted = list(buckets)
    slow = sum(bucket.slow for bucket in counted)
    return FailureCount(slow, slow + sum(bucket.good for bucket in counted))


def select_recent(
    buckets: tuple[BurnBucket, ...], minutes: int, now_minute: int
) -> list[BurnBucket]:
    """Return the buckets that started within the last ``minutes``."""
    oldest = now_minute - minutes
    return [bucket for bucket in buckets if oldest < bucket.start <= now_minute]
