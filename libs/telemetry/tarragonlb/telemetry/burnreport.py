"""Builds the burn report of a service from its aggregated request counts."""

from dataclasses import dataclass

from tarragonlb.model.burn import MINUTES_PER_DAY, BurnBucket, BurnEntry
from tarragonlb.settings.schema import ObjectiveSettings
from tarragonlb.telemetry.burnrate import (
    Budget,
    Objective,
    count_bad,
    count_slow,
    evaluate_objective,
    select_recent,
)
from tarragonlb.telemetry.latency import find_quantile

MEDIAN_QUANTILE = 0.5
TAIL_QUANTILE = 0.99
SECONDS_PER_MINUTE = 60


@dataclass(frozen=True, slots=True, kw_only=True)
class ReportDay:
    """Request counts of one day; ``start`` is in seconds since 1970."""

    start: int
    requests: int
    bad: int
    slow: int
    median_seconds: float | None
    tail_seconds: float | None
    causes: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceReport:
    """Objectives of a service and how well they were met in the window."""

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
    """Return the report of one service; ``now_minute`` counts from 1970."""
    window = objective.window_days
    days = select_recent(entry.days, window * MINUTES_PER_DAY, now_minute)
    availability = Objective(objective.availability, window, count_bad)
    latency = Objective(objective.within_latency, window, count_slow)
    return ServiceReport(
        service=entry.service,
        window_days=window,
        latency_seconds=objective.latency_seconds,
        requests=count_bad(days).total,
        bad=count_bad(days).failed,
        slow=count_slow(days).failed,
        availability=evaluate_objective(entry, availability, now_minute),
        latency=evaluate_objective(entry, latency, now_minute),
        days=tuple(_describe_day(day) for day in days),
    )


def _describe_day(day: BurnBucket) -> ReportDay:
    return ReportDay(
        start=day.start * SECONDS_PER_MINUTE,
        requests=count_bad((day,)).total,
        bad=day.bad,
        slow=day.slow,
        median_seconds=find_quantile(day.latency, MEDIAN_QUANTILE),
        tail_seconds=find_quantile(day.latency, TAIL_QUANTILE),
        causes=day.causes,
    )
