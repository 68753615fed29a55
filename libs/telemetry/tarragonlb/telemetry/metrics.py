"""Metrics by OpenTelemetry: names, units and what they count.

All instruments are made here, so that ``docs/METRICS.md`` and the code can
be compared at a glance.
"""

from opentelemetry import metrics

METER_NAME = 'tarragonlb'


class Instruments:
    """The instruments of one daemon."""

    __slots__ = ('commit_seconds', 'refusals', 'request_seconds', 'requests')

    def __init__(self) -> None:
        """Make all instruments from the process's meter provider."""
        meter = metrics.get_meter(METER_NAME)
        self.requests = meter.create_counter(
            'tarragonlb.requests', unit='{request}', description='Answers sent.'
        )
        self.refusals = meter.create_counter(
            'tarragonlb.refusals', unit='{request}', description='Refusals.'
        )
        self.request_seconds = meter.create_histogram(
            'tarragonlb.request.duration',
            unit='s',
            description='From the arrival of a request to its last byte.',
        )
        self.commit_seconds = meter.create_histogram(
            'tarragonlb.commit.duration',
            unit='s',
            description='From a record to its reading back.',
        )
