"""Metrics by OpenTelemetry: names, units and what they count.

All instruments are made here, so that ``docs/METRICS.md`` and the code can
be compared at a glance.  They are read in the JSON of OTLP by ``GET
/metrics``; nothing is sent anywhere.
"""

from opentelemetry import metrics
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

METER_NAME = 'tarragonlb'
EMPTY = '{"resource_metrics": []}'
_READER = InMemoryMetricReader()


class Instruments:
    """The instruments of one daemon."""

    __slots__ = ('commit_seconds', 'refusals', 'request_seconds', 'requests')

    def __init__(self) -> None:
        """Make all instruments from the process's meter provider."""
        meter = metrics.get_meter(METER_NAME)
        self.requests = meter.create_counter(
            'tarragonlb.requests',
            unit='{request}',
            description='Requests of callers, by service, status and verdict.',
        )
        self.request_seconds = meter.create_histogram(
            'tarragonlb.request.duration',
            unit='s',
            description='From the arrival of a request to its last byte.',
        )
        self.refusals = meter.create_counter(
            'tarragonlb.refusals',
            unit='{request}',
            description='Requests that did not run, by service.',
        )
        self.commit_seconds = meter.create_histogram(
            'tarragonlb.commit.duration',
            unit='s',
            description='From a record to its reading back, by its kind.',
        )


def start_metrics() -> None:
    """Keep the metrics of this process in memory; call once at start."""
    metrics.set_meter_provider(MeterProvider(metric_readers=[_READER]))


def read_metrics() -> str:
    """Return all metrics as OTLP JSON."""
    collected = _READER.get_metrics_data()
    return collected.to_json(indent=None) if collected else EMPTY
