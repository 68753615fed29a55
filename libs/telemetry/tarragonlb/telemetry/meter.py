"""Counts the requests of one entry VM between two summaries.

The daemon tells the meter of each answer and cuts a summary now and then.
How often follows from the size of a summary and the number of entry VMs, so
that all of them together stay within a fixed rate.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from tarragonlb.model.burn import ServiceCount
from tarragonlb.settings.schema import ObjectiveSettings
from tarragonlb.telemetry.latency import LatencyCounter

MAX_REPORT_BYTES_PER_SECOND = 400
SECONDS_PER_MINUTE = 60
MAX_REPORT_INTERVAL_MINUTES = 24 * 60


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestResult:
    """How one request of a service went; ``seconds`` from arrival to end.

    ``service`` is written as TEAM/SERVICE.
    """

    service: str
    seconds: float
    answered: bool


class ServiceMeter:
    """The counts of one service since the last summary."""

    __slots__ = ('_causes', '_latencies', 'bad', 'good', 'slow')

    def __init__(self) -> None:
        """Start at zero."""
        self.good = 0
        self.slow = 0
        self.bad = 0
        self._latencies = LatencyCounter()
        self._causes: dict[str, None] = {}

    def add(
        self, seen: RequestResult, objective: ObjectiveSettings | None
    ) -> None:
        """Count one request by what was promised for it."""
        if not seen.answered:
            self.bad += 1
            return
        self._latencies.add(seen.seconds)
        if objective and seen.seconds > objective.latency_seconds:
            self.slow += 1
        else:
            self.good += 1

    def add_causes(self, causes: Iterable[str]) -> None:
        """Remember what is going on around the service."""
        self._causes.update(dict.fromkeys(causes))

    def summarize(self, service: str) -> ServiceCount:
        """Return the counts; causes only if there was something to cause."""
        is_clean = not self.bad and not self.slow
        return ServiceCount(
            service=service,
            good=self.good,
            slow=self.slow,
            bad=self.bad,
            latency=self._latencies.list_counts(),
            causes=() if is_clean else tuple(self._causes),
        )


class BurnMeter:
    """The counts of all services since the last summary."""

    __slots__ = ('_services',)

    def __init__(self) -> None:
        """Start without any service."""
        self._services: dict[str, ServiceMeter] = {}

    def add(
        self, seen: RequestResult, objective: ObjectiveSettings | None
    ) -> None:
        """Count one request."""
        meter = self._services.setdefault(seen.service, ServiceMeter())
        meter.add(seen, objective)

    def list_services(self) -> tuple[str, ...]:
        """Return the services that had requests."""
        return tuple(self._services)

    def add_causes(self, service: str, causes: Iterable[str]) -> None:
        """Remember what is going on around a service that had requests."""
        self._services[service].add_causes(causes)

    def collect_and_reset(self) -> tuple[ServiceCount, ...]:
        """Return the counts and start again at zero."""
        counts = tuple(
            meter.summarize(service)
            for service, meter in sorted(self._services.items())
        )
        self._services = {}
        return counts


def choose_report_interval(summary_bytes: int, entries: int) -> int:
    """Return the minutes between two summaries of one entry VM.

    All entry VMs together write at most ``MAX_REPORT_BYTES_PER_SECOND``, unless
    a summary a day is already more than that.
    """
    seconds = summary_bytes * entries / MAX_REPORT_BYTES_PER_SECOND
    minutes = math.ceil(seconds / SECONDS_PER_MINUTE)
    return min(max(minutes, 1), MAX_REPORT_INTERVAL_MINUTES)
