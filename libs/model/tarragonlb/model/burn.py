"""Service-level burn: counts of good, slow and bad requests per service.

Each entry VM counts its own requests and periodically writes a small summary
to the log.  The fold adds up the summaries of all entry VMs, so when an entry
VM fails, the report loses only the counts that it had not written yet.
"""

from dataclasses import dataclass
from typing import TypeAlias

from tarragonlb.model.record import Record

MINUTES_PER_DAY = 24 * 60
LatencyCounts: TypeAlias = tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCount:
    """Requests of one service in one period.

    ``service`` is written as TEAM/SERVICE.  ``good`` requests were answered in
    time, ``slow`` ones were answered late, ``bad`` ones were refused or failed.
    ``latency`` counts answers by the buckets of
    ``tarragonlb.telemetry.latency``, and ``causes`` describes in words what was
    going on while requests were bad or slow.
    """

    service: str
    good: int = 0
    slow: int = 0
    bad: int = 0
    latency: LatencyCounts = ()
    causes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnReported(Record):
    """The request counts of one entry VM in one period.

    ``minute`` is the first minute of the period, in minutes since 1970 by the
    wall clock of the writer.  It places the counts in the report; no decision
    depends on it.
    """

    entry: str
    minute: int
    counts: tuple[ServiceCount, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnBucket:
    """The counts of all entry VMs in one time interval.

    ``start`` is in minutes since 1970.  Only the latest one-day buckets keep
    ``latency``.
    """

    start: int
    good: int = 0
    slow: int = 0
    bad: int = 0
    latency: LatencyCounts = ()
    causes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnEntry:
    """The latest buckets of one service, oldest first, in three widths.

    ``tarragonlb.journal.burnfold`` defines the widths.
    """

    service: str
    fine: tuple[BurnBucket, ...] = ()
    hours: tuple[BurnBucket, ...] = ()
    days: tuple[BurnBucket, ...] = ()
