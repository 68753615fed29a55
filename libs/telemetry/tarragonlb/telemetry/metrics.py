"""OpenTelemetry metrics of a daemon: names, units and instruments.

``METRICS`` lists the definitions from which ``docs/METRICS.md`` is generated.
``GET /metrics`` returns the values as OTLP JSON.  Nothing is pushed, so a
daemon needs no further protocol and no address of a collector.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from opentelemetry.metrics import (
    CallbackOptions,
    Observation,
    get_meter,
    set_meter_provider,
)
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

METER_NAME = 'tarragonlb'
NO_METRICS = '{"resource_metrics": []}'
_READER = InMemoryMetricReader()

GaugeReader: TypeAlias = Callable[[], Mapping[str, float]]


@dataclass(frozen=True, slots=True)
class Metric:
    """Definition of a metric; ``unit`` is in the notation of UCUM."""

    name: str
    kind: str
    unit: str
    attributes: tuple[str, ...]
    description: str


REQUESTS = Metric(
    'tarragonlb.requests',
    'counter',
    '{request}',
    ('service', 'status', 'verdict'),
    'Requests of callers that have ended.',
)
REQUEST_SECONDS = Metric(
    'tarragonlb.request.duration',
    'histogram',
    's',
    ('service',),
    'From the arrival of a request to the last byte of its answer.',
)
COMMIT_SECONDS = Metric(
    'tarragonlb.commit.duration',
    'histogram',
    's',
    ('kind',),
    'From a record to its reading back, or to giving up.',
)
LOG_OFFSET = Metric(
    'tarragonlb.log.offset',
    'gauge',
    '{record}',
    ('stream',),
    'Offset in the log up to which this entry VM has read.',
)
VMS_UNAVAILABLE = Metric(
    'tarragonlb.vms.unavailable',
    'gauge',
    '{vm}',
    ('pool',),
    'VMs that count as unavailable.',
)
JOBS = Metric(
    'tarragonlb.jobs',
    'gauge',
    '{job}',
    ('phase',),
    'Jobs that this entry VM knows.',
)
CONNECTIONS = Metric(
    'tarragonlb.http.connections',
    'counter',
    '{connection}',
    ('event',),
    'Connections of clients, by what happened to them.',
)
METRICS = (
    REQUESTS,
    REQUEST_SECONDS,
    COMMIT_SECONDS,
    LOG_OFFSET,
    VMS_UNAVAILABLE,
    JOBS,
    CONNECTIONS,
)


class Gauge:
    """Reads the values of a gauge when the metrics are collected."""

    __slots__ = ('_attribute', '_read')

    def __init__(self, attribute: str, read: GaugeReader) -> None:
        """Label each value with one attribute; ``read`` returns the values."""
        self._attribute = attribute
        self._read = read

    def observe(self, options: CallbackOptions) -> Iterable[Observation]:
        """Yield one observation per value of the attribute."""
        for label, number in self._read().items():
            yield Observation(number, {self._attribute: label})


class Instruments:
    """The instruments of one daemon, called by its components.

    A process needs one object; a second one records into the same metrics.
    """

    __slots__ = ('_commit_seconds', '_meter', '_request_seconds', '_requests')

    def __init__(self) -> None:
        """Create the instruments with the meter provider of the process."""
        self._meter = get_meter(METER_NAME)
        self._requests = self._meter.create_counter(
            REQUESTS.name, REQUESTS.unit, REQUESTS.description
        )
        self._request_seconds = self._meter.create_histogram(
            REQUEST_SECONDS.name,
            REQUEST_SECONDS.unit,
            REQUEST_SECONDS.description,
        )
        self._commit_seconds = self._meter.create_histogram(
            COMMIT_SECONDS.name,
            COMMIT_SECONDS.unit,
            COMMIT_SECONDS.description,
        )

    def observe_request(
        self, service: str, status: int, verdict: str, seconds: float
    ) -> None:
        """Record a finished request; ``status`` is 0 if it got no answer."""
        labels: dict[str, str | int] = {
            'service': service,
            'status': status,
            'verdict': verdict,
        }
        self._requests.add(1, labels)
        self._request_seconds.record(seconds, {'service': service})

    def observe_commit(self, kind: str, seconds: float) -> None:
        """Record the time until a record was read back or abandoned."""
        self._commit_seconds.record(seconds, {'kind': kind})

    def register_gauge(self, metric: Metric, read: GaugeReader) -> None:
        """Register a gauge; ``read`` returns its value per attribute value."""
        self._meter.create_observable_gauge(
            metric.name,
            [Gauge(metric.attributes[0], read).observe],
            metric.unit,
            metric.description,
        )


def start_metrics() -> None:
    """Collect the metrics of this process in memory; call once at start."""
    set_meter_provider(MeterProvider(metric_readers=[_READER]))


def read_metrics() -> str:
    """Return all metrics as OTLP JSON."""
    collected = _READER.get_metrics_data()
    return collected.to_json(indent=None) if collected else NO_METRICS
