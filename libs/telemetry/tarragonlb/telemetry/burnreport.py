"""The report on service-level burn: from folded counts to what is shown."""

from dataclasses import dataclass

from tarragonlb.model.burn import MINUTES_PER_DAY, BurnBucket, BurnEntry
from tarragonlb.settings.schema import ObjectiveSettings
from tarragonlb.telemetry.burnrate import (
    Budget,
    Promise,
    count_bad,
    count_slow,
    take_latest,
    weigh_promise,
)
from tarragonlb.telemetry.latency import find_quantile

MEDIAN = 0.5
TAIL = 0.99
SECONDS_PER_MINUTE = 60


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportDay:
    """One day of a service; ``start`` in seconds since 1970."""

    start: int
    requests: int
    bad: int
    slow: int
    median_seconds: float | None
    tail_seconds: float | None
    causes: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceReport:
    """What was promised of a service, and what happened."""

    service: str
    window_days: int
    latency_seconds: float
    requests: int
    bad: int
    slow: int
    availability: Budget
    latency: Budget
    days: tuple[ReportDay, ...]


def report_service(
    entry: BurnEntry, objective: ObjectiveSettings, now_minute: int
) -> ServiceReport:
    """Return the report on one service at a minute since 1970."""
    window = objective.window_days
    days = take_latest(entry.days, window * MINUTES_PER_DAY, now_minute)
    availability = Promise(objective.availability, window, count_bad)
    latency = Promise(objective.within_latency, window, count_slow)
    return ServiceReport(
        service=entry.service,
        window_days=window,
        latency_seconds=objective.latency_seconds,
        requests=count_bad(days).total,
        bad=count_bad(days).failed,
        slow=count_slow(days).failed,
        availability=weigh_promise(entry, availability, now_minute),
        latency=weigh_promise(entry, latency, now_minute),
        days=tuple(_describe_day(day) for day in days),
    )


def _describe_day(day: BurnBucket) -> ReportDay:
    return ReportDay(
        start=day.start * SECONDS_PER_MINUTE,
        requests=count_bad((day,)).total,
        bad=day.bad,
        slow=day.slow,
        median_seconds=find_quantile(day.latency, MEDIAN),
        tail_seconds=find_quantile(day.latency, TAIL),
        causes=day.causes,
    )
