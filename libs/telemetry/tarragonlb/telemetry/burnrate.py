"""Burn rates: how fast a promise's room for bad requests is used up.

A promise leaves room for some bad requests: the error budget.  A burn rate of
1 uses it up just in the window of the promise, one of 10 in a tenth of that.  A
short and a long span are looked at together: the long one shows that it
matters, the short one that it goes on.

>>> forecast_days(left=0.5, rate=7, window_days=28)
2.0
"""

import enum
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from tarragonlb.model.burn import MINUTES_PER_DAY, BurnBucket, BurnEntry

FAST_BURN = 14.4
SLOW_BURN = 6.0
AT_RISK_DAYS = 3
FIVE_MINUTES = 5
HOUR_MINUTES = 60
SIX_HOURS_MINUTES = 6 * HOUR_MINUTES
THREE_DAYS_MINUTES = 3 * MINUTES_PER_DAY


class PromiseStatus(enum.StrEnum):
    """Say in a word how a promise stands."""

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
    """One promise: a share of requests, and how it went.

    ``left`` is the share of the error budget that is left, negative once it
    is overdrawn.  ``days_left`` is the forecast at the rate of the last three
    days, None while the budget doesn't shrink.
    """

    promised: float
    seen: float | None
    left: float
    rates: BurnRates
    days_left: float | None
    status: PromiseStatus


@dataclass(frozen=True, slots=True)
class Tally:
    """Requests that failed a promise, out of all that count for it."""

    failed: int
    total: int

    @property
    def share(self) -> float:
        """Return the share that failed, 0 where there was no request."""
        return self.failed / self.total if self.total else 0


@dataclass(frozen=True, slots=True)
class Promise:
    """A share of requests that is promised, and how to count them."""

    share: float
    window_days: int
    count: Callable[[Iterable[BurnBucket]], Tally]

    def measure_rate(self, buckets: Iterable[BurnBucket]) -> float:
        """Return the burn rate over some buckets."""
        return self.count(buckets).share / (1 - self.share)


def weigh_promise(
    entry: BurnEntry, promise: Promise, now_minute: int
) -> Budget:
    """Return how one promise of a service stands at a minute since 1970."""
    rates = BurnRates(
        *(
            promise.measure_rate(take_latest(buckets, minutes, now_minute))
            for buckets, minutes in (
                (entry.fine, FIVE_MINUTES),
                (entry.fine, HOUR_MINUTES),
                (entry.hours, SIX_HOURS_MINUTES),
                (entry.days, THREE_DAYS_MINUTES),
            )
        )
    )
    window_minutes = promise.window_days * MINUTES_PER_DAY
    days = take_latest(entry.days, window_minutes, now_minute)
    tally = promise.count(days)
    left = 1 - promise.measure_rate(days)
    days_left = forecast_days(left, rates.three_days, promise.window_days)
    return Budget(
        promised=promise.share,
        seen=1 - tally.share if tally.total else None,
        left=left,
        rates=rates,
        days_left=days_left,
        status=judge_promise(left, rates, days_left),
    )


def forecast_days(left: float, rate: float, window_days: int) -> float | None:
    """Return the days until an error budget is used up at a burn rate."""
    if left <= 0:
        return 0
    return left * window_days / rate if rate > 0 else None


def judge_promise(
    left: float, rates: BurnRates, days_left: float | None
) -> PromiseStatus:
    """Return how a promise stands."""
    if left < 0:
        return PromiseStatus.BROKEN
    burns_fast = min(rates.five_minutes, rates.one_hour) >= FAST_BURN
    burns_slowly = min(rates.one_hour, rates.six_hours) >= SLOW_BURN
    ends_soon = days_left is not None and days_left < AT_RISK_DAYS
    if burns_fast or burns_slowly or ends_soon:
        return PromiseStatus.AT_RISK
    return PromiseStatus.KEPT


def count_bad(buckets: Iterable[BurnBucket]) -> Tally:
    """Count refused and failed requests out of all."""
    counted = list(buckets)
    bad = sum(bucket.bad for bucket in counted)
    answered = sum(bucket.good + bucket.slow for bucket in counted)
    return Tally(bad, bad + answered)


def count_slow(buckets: Iterable[BurnBucket]) -> Tally:
    """Count late answers out of all answers."""
    counted = list(buckets)
    slow = sum(bucket.slow for bucket in counted)
    return Tally(slow, slow + sum(bucket.good for bucket in counted))


def take_latest(
    buckets: tuple[BurnBucket, ...], minutes: int, now_minute: int
) -> list[BurnBucket]:
    """Return the buckets that begin within so many minutes before now."""
    first = now_minute - minutes
    return [bucket for bucket in buckets if first < bucket.start <= now_minute]
