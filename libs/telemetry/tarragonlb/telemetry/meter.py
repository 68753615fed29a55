"""Counts the requests of one entry VM between two burn reports.

The daemon adds each request to the meter and periodically collects the counts
for a report.  The interval depends on the size of a report and the number of
entry VMs, so that all of them together stay below a fixed rate of bytes.
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
    """Result of one request; ``seconds`` is the time from arrival to end.

    ``service`` has the form TEAM/SERVICE.
    """

    service: str
    seconds: float
    answered: bool


class ServiceMeter:
    """Request counts of one service since the last report."""

    __slots__ = ('_causes', '_latencies', 'bad', 'good', 'slow')

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.good = 0
        self.slow = 0
        self.bad = 0
        self._latencies = LatencyCounter()
        self._causes: dict[str, None] = {}

    def add(
        self, result: RequestResult, objective: ObjectiveSettings | None
    ) -> None:
        """Count a request as good, slow or bad by the objective."""
        if not result.answered:
            self.bad += 1
            return
        self._latencies.add(result.seconds)
        if objective and result.seconds > objective.latency_seconds:
            self.slow += 1
        else:
            self.good += 1

    def add_causes(self, causes: Iterable[str]) -> None:
        """Add possible causes of failures, such as a maintenance wave."""
        self._causes.update(dict.fromkeys(causes))

    def build_count(self, service: str) -> ServiceCount:
        """Return the counts, with causes only if a request was bad or slow."""
        all_good = not self.bad and not self.slow
        return ServiceCount(
            service=service,
            good=self.good,
            slow=self.slow,
            bad=self.bad,
            latency=self._latencies.list_counts(),
            causes=() if all_good else tuple(self._causes),
        )


class BurnMeter:
    """Request counts of all services since the last report."""

    __slots__ = ('_services',)

    def __init__(self) -> None:
        """Start without services."""
        self._services: dict[str, ServiceMeter] = {}

    def add(
        self, result: RequestResult, objective: ObjectiveSettings | None
    ) -> None:
        """Count a request of a service."""
        meter = self._services.setdefault(result.service, ServiceMeter())
        meter.add(result, objective)

    def list_services(self) -> tuple[str, ...]:
        """Return the services that received requests."""
        return tuple(self._services)

    def add_causes(self, service: str, causes: Iterable[str]) -> None:
        """Add possible causes of failures of a service in ``list_services``."""
        self._services[service].add_causes(causes)

    def collect_and_reset(self) -> tuple[ServiceCount, ...]:
        """Return the counts of all services and reset them to zero."""
        counts = tuple(
            meter.build_count(service)
            for service, meter in sorted(self._services.items())
        )
        self._services = {}
        return counts


def choose_report_interval(report_bytes: int, entries: int) -> int:
    """Return the minutes between two reports of one entry VM.

    All entry VMs together write at most ``MAX_REPORT_BYTES_PER_SECOND``, unless
    one report a day per entry VM already exceeds it.
    """
    seconds = report_bytes * entries / MAX_REPORT_BYTES_PER_SECOND
    minutes = math.ceil(seconds / SECONDS_PER_MINUTE)
    return min(max(minutes, 1), MAX_REPORT_INTERVAL_MINUTES)
