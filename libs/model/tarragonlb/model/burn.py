"""Service-level burn: how requests went, summed up per team and service.

Each entry VM counts its own requests and writes a small summary into the log
now and then.  The fold adds the summaries of all entry VMs up, so the report
loses nothing with an entry VM but what it had not written yet.
"""

from dataclasses import dataclass
from typing import TypeAlias

from tarragonlb.model.record import Record

MINUTES_PER_DAY = 24 * 60
LatencyCounts: TypeAlias = tuple[tuple[int, int], ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceCount:
    """Requests of one service in one period.

    ``service`` is written as TEAM/SERVICE.  ``good`` were answered in time,
    ``slow`` were answered late, ``bad`` were refused or failed.  ``latency``
    counts answers by the buckets of ``tarragonlb.telemetry.latency``, and
    ``causes`` says in words what was going on while requests were bad or slow.
    """

    service: str
    good: int = 0
    slow: int = 0
    bad: int = 0
    latency: LatencyCounts = ()
    causes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnReported(Record):
    """What one entry VM has counted.

    ``minute`` is the first minute of the period since 1970 by the wall clock
    of the writer.  It places the counts in the report; no decision rests on
    it.
    """

    entry: str
    minute: int
    counts: tuple[ServiceCount, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnBucket:
    """The counts of all entry VMs in one span of time.

    ``start`` is in minutes since 1970.  Only the latest buckets of whole days
    keep ``latency``.
    """

    start: int
    good: int = 0
    slow: int = 0
    bad: int = 0
    latency: LatencyCounts = ()
    causes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class BurnEntry:
    """The latest buckets of one service, oldest first, in three widths."""

    service: str
    fine: tuple[BurnBucket, ...] = ()
    hours: tuple[BurnBucket, ...] = ()
    days: tuple[BurnBucket, ...] = ()
